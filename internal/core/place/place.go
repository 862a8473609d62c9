package place

import (
	"math/rand/v2"
	"slices"

	"hawthorncourse/internal/core/choose"
)

const (
	// sampleSize is how many upstreams are compared for one flow; instances that compare all would herd on the same one.
	sampleSize = 3
	// flowShare is the part of an open flow that counts as a running request: long flows ask about once a second, an answer takes 20 to 50 ms.
	flowShare = 0.03
	// remoteFactor is the price of another failure domain: bytes that are billed and a path that a cut breaks.
	remoteFactor = 2
)

// Candidate is one upstream that a new flow may go to.
type Candidate[T any] struct {
	Value T
	Load  *Load
	// Local is set for the instance's own failure domain.
	Local bool
}

// NewPolicy returns the way that upstreams of new flows are picked.
func NewPolicy[T any]() choose.Policy[Candidate[T]] {
	return localFirst[T]{sample: choose.BestOf[Candidate[T]]{N: sampleSize, Score: score[T]}}
}

// localFirst picks within the instance's own failure domain unless another one is better by far.
type localFirst[T any] struct {
	sample choose.Policy[Candidate[T]]
}

// Pick implements choose.Policy.
func (p localFirst[T]) Pick(candidates []Candidate[T], rng *rand.Rand) int {
	slices.SortStableFunc(candidates, func(a, b Candidate[T]) int { return order(a.Local) - order(b.Local) })
	n := 0
	for n < len(candidates) && candidates[n].Local {
		n++
	}
	local, remote := candidates[:n], candidates[n:]
	switch {
	case len(local) == 0:
		return p.sample.Pick(remote, rng)
	case len(remote) == 0:
		return p.sample.Pick(local, rng)
	}
	here, there := p.sample.Pick(local, rng), p.sample.Pick(remote, rng)
	if score(remote[there])*remoteFactor < score(local[here]) {
		return n + there
	}
	return here
}

// order sorts local candidates first.
func order(local bool) int {
	if local {
		return 0
	}
	return 1
}

// score is the expected answer time of one more request, in nanoseconds.
func score[T any](c Candidate[T]) float64 {
	work := 1 + float64(c.Load.Running) + flowShare*float64(c.Load.Flows)
	return float64(c.Load.AnswerTime()) * work
}

// PickWeighted picks one of several weighted values; weights are above zero.
func PickWeighted[T any](values []T, weight func(T) float64, rng *rand.Rand) T {
	if len(values) == 1 {
		return values[0]
	}
	var sum float64
	for _, v := range values {
		sum += weight(v)
	}
	mark := rng.Float64() * sum
	for _, v := range values {
		if mark -= weight(v); mark < 0 {
			return v
		}
	}
	return values[len(values)-1]
}
