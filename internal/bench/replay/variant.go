package replay

import (
	"hawthorncourse/internal/core/choose"
	"hawthorncourse/internal/core/direct"
	"hawthorncourse/internal/core/place"
	"hawthorncourse/internal/core/roster"
)

// Candidate is an upstream that a policy may choose.
type Candidate = place.Candidate[*roster.Upstream]

// Variant is a configuration of the decision engine: the default one, or one with a decision disabled or another policy.
type Variant struct {
	Name     string
	Policy   choose.Policy[Candidate]
	Disabled direct.Disabled
}

// Running returns the number of running requests of the candidate, which the simpler policies use as score.
func Running(c Candidate) float64 {
	return float64(c.Load.Running)
}

// expectedLatency estimates the response time at the candidate. Unlike the default policy, it does not prefer the own failure domain.
func expectedLatency(c Candidate) float64 {
	return float64(c.Load.AnswerTime()) * (1 + Running(c))
}

// Variants returns the default configuration, followed by its alternatives.
func Variants() []Variant {
	return []Variant{
		{Name: "product"},
		{Name: "no resend", Disabled: direct.Disabled{Resend: true}},
		{Name: "no probes", Disabled: direct.Disabled{Probes: true}},
		{Name: "no resets", Disabled: direct.Disabled{Resets: true}},
		{Name: "no word", Disabled: direct.Disabled{Suspicions: true}},
		{Name: "always ready", Disabled: direct.Disabled{Isolation: true}},
		{Name: "random", Policy: choose.Random[Candidate]{}},
		{Name: "least running", Policy: choose.Least[Candidate]{Score: Running}},
		{Name: "two choices", Policy: choose.TwoChoices[Candidate]{Score: Running}},
		{Name: "any domain", Policy: choose.BestOf[Candidate]{N: 3, Score: expectedLatency}},
	}
}
