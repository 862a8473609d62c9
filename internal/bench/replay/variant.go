package replay

import (
	"hawthorncourse/internal/core/choose"
	"hawthorncourse/internal/core/direct"
	"hawthorncourse/internal/core/place"
	"hawthorncourse/internal/core/roster"
)

// Candidate is one upstream that a policy may pick.
type Candidate = place.Candidate[*roster.Upstream]

// Variant is the product, or the product with one decision replaced by a simpler one.
type Variant struct {
	Name     string
	Policy   choose.Policy[Candidate]
	Disabled direct.Disabled
}

// Running is the number of requests under way, which simpler policies go by.
func Running(c Candidate) float64 {
	return float64(c.Load.Running)
}

// expectedLatency is the answer time that is to be expected, without a preference for the own failure domain.
func expectedLatency(c Candidate) float64 {
	return float64(c.Load.AnswerTime()) * (1 + Running(c))
}

// Variants returns the product first, then its alternatives.
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
