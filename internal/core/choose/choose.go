// Package choose provides policies for selecting one of several upstreams, a latency average and a retry budget.
package choose

import (
	"math/rand/v2"
	"time"
)

// Policy selects one of several candidates.
type Policy[T any] interface {
	// Pick returns the index of the selected candidate; there must be at least one. It may reorder candidates: the index refers to the
	// slice after the call.
	Pick(candidates []T, rng *rand.Rand) int
}

// Score rates a candidate; lower is better.
type Score[T any] func(T) float64

// TwoChoices picks the better of two random candidates (power of two choices).
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

// BestOf picks the best of N random candidates, drawn with replacement.
type BestOf[T any] struct {
	// N is the sample size; at least one.
	N     int
	Score Score[T]
}

// Pick implements Policy.
func (p BestOf[T]) Pick(candidates []T, rng *rand.Rand) int {
	best, bestScore := -1, 0.0
	for range p.N {
		i := rng.IntN(len(candidates))
		if score := p.Score(candidates[i]); best < 0 || score < bestScore {
			best, bestScore = i, score
		}
	}
	return best
}

// Random picks a candidate at random, with equal probabilities.
type Random[T any] struct{}

// Pick implements Policy.
func (Random[T]) Pick(candidates []T, rng *rand.Rand) int {
	return rng.IntN(len(candidates))
}

// Least picks the candidate with the lowest score; the first of several.
type Least[T any] struct {
	Score Score[T]
}

// Pick implements Policy.
func (p Least[T]) Pick(candidates []T, _ *rand.Rand) int {
	best, bestScore := 0, 0.0
	for i, c := range candidates {
		score := p.Score(c)
		if i == 0 || score < bestScore {
			best, bestScore = i, score
		}
	}
	return best
}

const (
	// sampleWeight is the weight of one sample in the moving average.
	sampleWeight = 0.1
	// maxStepFactor limits samples to between half and twice the current mean.
	maxStepFactor = 2.0
	// initialMean is the mean that is assumed before the first sample.
	initialMean = 20 * time.Millisecond
)

// LatencyAverage is an exponentially weighted moving average of the service time of one upstream. Outliers have little influence, because
// samples are clamped to a factor of maxStepFactor around the current mean.
type LatencyAverage struct {
	mean float64
}

// Observe adds the duration of one request.
func (l *LatencyAverage) Observe(d time.Duration) {
	sample := max(float64(d), 1)
	if l.mean == 0 {
		l.mean = sample
		return
	}
	sample = min(max(sample, l.mean/maxStepFactor), l.mean*maxStepFactor)
	l.mean += sampleWeight * (sample - l.mean)
}

// Mean returns the average duration of a request; initialMean before the first sample.
func (l *LatencyAverage) Mean() time.Duration {
	if l.mean == 0 {
		return initialMean
	}
	return time.Duration(l.mean)
}
