package engine

import (
	"math"
	"time"

	"hawthorncourse/internal/core/model"
)

// window counts events over a span of between one and two intervals up to now.
type window struct {
	start             model.Instant
	current, previous int
}

func (w *window) add(now model.Instant, interval time.Duration) {
	w.roll(now, interval)
	w.current++
}

func (w *window) sum(now model.Instant, interval time.Duration) int {
	w.roll(now, interval)
	return w.current + w.previous
}

func (w *window) roll(now model.Instant, interval time.Duration) {
	age := now.Sub(w.start)
	if age < interval {
		return
	}
	w.previous = w.current
	if age >= 2*interval {
		w.previous = 0
	}
	w.current, w.start = 0, now
}

// gaugeTimeConstant is the time after which a level has a weight of 1/e in the mean.
const gaugeTimeConstant = 2 * time.Second

// gauge is an exponentially weighted moving average of a level over time.
type gauge struct {
	mean, level float64
	updatedAt   model.Instant
}

func (g *gauge) set(now model.Instant, level float64) {
	g.mean = g.read(now)
	g.level, g.updatedAt = level, now
}

// read returns the mean at now, where the last level is assumed to have lasted until then.
func (g *gauge) read(now model.Instant) float64 {
	decay := math.Exp(-float64(now.Sub(g.updatedAt)) / float64(gaugeTimeConstant))
	return g.mean*decay + g.level*(1-decay)
}
