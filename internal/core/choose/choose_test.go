package choose_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"hawthorncourse/internal/core/choose"
)

func score(n int) float64 { return float64(n) }

// TestPolicies checks how often each policy picks the best of four candidates.
func TestPolicies(t *testing.T) {
	const picks = 10_000
	cases := map[string]struct {
		policy    choose.Policy[int]
		low, high int
	}{
		"least":       {policy: choose.Least[int]{Score: score}, low: picks, high: picks},
		"two choices": {policy: choose.TwoChoices[int]{Score: score}, low: picks * 4 / 10, high: picks * 47 / 100},
		"random":      {policy: choose.Random[int]{}, low: picks * 23 / 100, high: picks * 27 / 100},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			rng := rand.New(rand.NewPCG(1, 1))
			candidates := []int{3, 1, 4, 2}
			best := 0
			for range picks {
				if candidates[tc.policy.Pick(candidates, rng)] == 1 {
					best++
				}
			}
			is.True(best >= tc.low)
			is.True(best <= tc.high)
		})
	}
}

// TestRetryBudget checks that a new budget of 10 % allows the burst of 10 retries, and 100 first attempts another 10 at most.
func TestRetryBudget(t *testing.T) {
	is := is.New(t)
	b := choose.RetryBudget{Percent: 10}
	withdrawn := 0
	for b.TryWithdraw() {
		withdrawn++
	}
	is.Equal(withdrawn, 10)
	for range 100 {
		b.Deposit()
	}
	for b.TryWithdraw() {
		withdrawn++
	}
	is.True(withdrawn >= 19 && withdrawn <= 20)
}

// TestLatencyAverage checks that one outlier changes the mean only a little and that many equal samples change it completely.
func TestLatencyAverage(t *testing.T) {
	is := is.New(t)
	var s choose.LatencyAverage
	s.Observe(10 * time.Millisecond)
	s.Observe(10 * time.Second)
	is.True(s.Mean() <= 12*time.Millisecond)
	for range 200 {
		s.Observe(40 * time.Millisecond)
	}
	is.True(s.Mean() > 39*time.Millisecond)
}
