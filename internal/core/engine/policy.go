package engine

import (
	"math/rand/v2"

	"hawthorncourse/internal/core/choose"
)

// DefaultPolicy is the name of the policy that is used unless another is configured.
const DefaultPolicy = "utilisation"

// policies holds the constructors of the selection policies, by name. "random" and "roundRobin" serve as baselines for comparison.
var policies = map[string]func() choose.Policy[Candidate]{
	"utilisation": func() choose.Policy[Candidate] { return choose.Least[Candidate]{Score: Utilisation} },
	"completion":  func() choose.Policy[Candidate] { return choose.TwoChoices[Candidate]{Score: CompletionTime} },
	"random":      func() choose.Policy[Candidate] { return choose.Random[Candidate]{} },
	"roundRobin":  func() choose.Policy[Candidate] { return &roundRobin{} },
}

// PolicyByName returns a new instance of the named policy; ok is false if the name is unknown.
func PolicyByName(name string) (policy choose.Policy[Candidate], ok bool) {
	build, ok := policies[name]
	if !ok {
		return nil, false
	}
	return build(), true
}

// roundRobin cycles through the candidates in the order of their IDs.
type roundRobin struct {
	last string
}

// Pick implements choose.Policy.
func (r *roundRobin) Pick(candidates []Candidate, _ *rand.Rand) int {
	first, next := 0, -1
	for i, c := range candidates {
		if c.ID() < candidates[first].ID() {
			first = i
		}
		if c.ID() > r.last && (next < 0 || c.ID() < candidates[next].ID()) {
			next = i
		}
	}
	if next < 0 {
		next = first
	}
	r.last = candidates[next].ID()
	return next
}

// ID returns the ID of the upstream.
func (c Candidate) ID() string {
	return string(c.up.cfg.ID)
}
