package admit

import (
	"math"
	"time"

	"hawthorncourse/internal/core/model"
)

// meterWindow is the time constant, in nanoseconds, of the measured rates: one interval between reports of a service that is not full.
const meterWindow = time.Second

// meter measures a rate of events as an exponentially weighted mean. The zero value has seen no event.
type meter struct {
	// perSecond is the rate at the time of the last event.
	perSecond float64
	at        model.Instant
}

// add records one event.
func (m *meter) add(now model.Instant) {
	m.perSecond = m.rate(now) + 1/meterWindow.Seconds()
	m.at = max(m.at, now)
}

// rate returns the events per second.
func (m *meter) rate(now model.Instant) float64 {
	if now <= m.at || m.perSecond == 0 {
		return m.perSecond
	}
	return m.perSecond * math.Exp(-now.Sub(m.at).Seconds()/meterWindow.Seconds())
}
