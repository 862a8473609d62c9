package engine

import (
	"math/rand/v2"

	"hawthorncourse/internal/core/choose"
)

// DefaultPolicy is the name of the policy that is used unless another is asked for.
const DefaultPolicy = "utilisation"

// policies holds the ways to pick one of several free upstreams, by name; the last two are baselines.
var policies = map[string]func() choose.Policy[Candidate]{
	"utilisation": func() choose.Policy[Candidate] { return choose.Least[Candidate]{Score: Utilisation} },
	"completion":  func() choose.Policy[Candidate] { return choose.TwoChoices[Candidate]{Score: Completion} },
	"random":      func() choose.Policy[Candidate] { return choose.Random[Candidate]{} },
	"roundRobin":  func() choose.Policy[Candidate] { return &roundRobin{} },
}

// PolicyByName returns the named policy; ok is false for an unknown name.
func PolicyByName(name string) (policy choose.Policy[Candidate], ok bool) {
	build, ok := policies[name]
	if !ok {
		return nil, false
	}
	return build(), true
}

// roundRobin takes free upstreams in turn, by their names.
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

// ID returns the upstream's name.
func (c Candidate) ID() string {
	return string(c.up.cfg.ID)
}
