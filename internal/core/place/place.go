package place

import (
	"math/rand/v2"
	"slices"

	"hawthorncourse/internal/core/choose"
)

const (
	// sampleSize is the number of random upstreams that are compared for one flow. If instances compared all upstreams, they would all
	// choose the same one.
	sampleSize = 3
	// flowWeight is the weight of an open flow relative to a running request: long-lived flows send about one request per second, which
	// takes 20 to 50 ms.
	flowWeight = 0.03
	// remotePenalty multiplies the score of upstreams in other failure domains, because traffic between domains is billed and may be
	// interrupted by a network partition.
	remotePenalty = 2
)

// Candidate is one upstream that a new flow may be assigned to.
type Candidate[T any] struct {
	Value T
	Load  *Load
	// Local is true if the upstream is in the instance's own failure domain.
	Local bool
}

// NewPolicy returns the policy that selects the upstream of a new flow: the best of a random sample, with a preference for the instance's
// own failure domain.
func NewPolicy[T any]() choose.Policy[Candidate[T]] {
	return localFirst[T]{sample: choose.BestOf[Candidate[T]]{N: sampleSize, Score: score[T]}}
}

// localFirst picks an upstream in the instance's own failure domain unless one in another domain is better even with remotePenalty.
type localFirst[T any] struct {
	sample choose.Policy[Candidate[T]]
}

// Pick implements choose.Policy. It reorders candidates.
func (p localFirst[T]) Pick(candidates []Candidate[T], rng *rand.Rand) int {
	slices.SortStableFunc(candidates, func(a, b Candidate[T]) int { return localityRank(a.Local) - localityRank(b.Local) })
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
	bestLocal, bestRemote := p.sample.Pick(local, rng), p.sample.Pick(remote, rng)
	if score(remote[bestRemote])*remotePenalty < score(local[bestLocal]) {
		return n + bestRemote
	}
	return bestLocal
}

// localityRank is the sort key that places local candidates first.
func localityRank(local bool) int {
	if local {
		return 0
	}
	return 1
}

// score estimates the answer time of one more request, in nanoseconds.
func score[T any](c Candidate[T]) float64 {
	work := 1 + float64(c.Load.Running) + flowWeight*float64(c.Load.Flows)
	return float64(c.Load.AnswerTime()) * work
}

// PickWeighted returns a random value, with probability proportional to its weight. There must be at least one value; weights must be
// greater than zero.
func PickWeighted[T any](values []T, weight func(T) float64, rng *rand.Rand) T {
	if len(values) == 1 {
		return values[0]
	}
	var sum float64
	for _, v := range values {
		sum += weight(v)
	}
	remaining := rng.Float64() * sum
	for _, v := range values {
		if remaining -= weight(v); remaining < 0 {
			return v
		}
	}
	return values[len(values)-1]
}
