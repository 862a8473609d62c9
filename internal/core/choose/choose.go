// Package choose picks one of several free upstreams.
package choose

import (
	"math/rand/v2"
	"time"
)

// Policy picks an index out of candidates, of which there is at least one.
type Policy[T any] interface {
	Pick(candidates []T, rng *rand.Rand) int
}

// Score tells how good a candidate is; a lower one is better.
type Score[T any] func(T) float64

// TwoChoices picks the better of two random candidates.
type TwoChoices[T any] struct {
	Score Score[T]
}

// Pick implements Policy.
func (p TwoChoices[T]) Pick(candidates []T, rng *rand.Rand) int {
	a := rng.IntN(len(candidates))
	b := rng.IntN(len(candidates))
	if p.Score(candidates[b]) < p.Score(candidates[a]) {
		return b
	}
	return a
}

// BestOf picks the best of N random candidates.
type BestOf[T any] struct {
	// N is at least one.
	N     int
	Score Score[T]
}

// Pick implements Policy.
func (p BestOf[T]) Pick(candidates []T, rng *rand.Rand) int {
	best, top := -1, 0.0
	for range p.N {
		i := rng.IntN(len(candidates))
		if score := p.Score(candidates[i]); best < 0 || score < top {
			best, top = i, score
		}
	}
	return best
}

// Random picks any candidate.
type Random[T any] struct{}

// Pick implements Policy.
func (Random[T]) Pick(candidates []T, rng *rand.Rand) int {
	return rng.IntN(len(candidates))
}

// Least picks the best of all candidates.
type Least[T any] struct {
	Score Score[T]
}

// Pick implements Policy.
func (p Least[T]) Pick(candidates []T, _ *rand.Rand) int {
	best, top := 0, 0.0
	for i, c := range candidates {
		score := p.Score(c)
		if i == 0 || score < top {
			best, top = i, score
		}
	}
	return best
}

const (
	gain       = 0.1
	stepBound  = 2.0
	firstGuess = 20 * time.Millisecond
)

// LatencyAverage follows the service time of one upstream; one sample moves it little.
type LatencyAverage struct {
	mean float64
}

// Observe adds the time that one request took.
func (s *LatencyAverage) Observe(d time.Duration) {
	sample := max(float64(d), 1)
	if s.mean == 0 {
		s.mean = sample
		return
	}
	sample = min(max(sample, s.mean/stepBound), s.mean*stepBound)
	s.mean += gain * (sample - s.mean)
}

// Mean returns the expected time of one request.
func (s *LatencyAverage) Mean() time.Duration {
	if s.mean == 0 {
		return firstGuess
	}
	return time.Duration(s.mean)
}
