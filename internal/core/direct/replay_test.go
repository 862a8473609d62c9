package direct_test

import (
	"testing"

	"hawthorncourse/internal/bench/replay"
	"hawthorncourse/internal/core/choose"
	"hawthorncourse/internal/core/direct"
)

// sumLosses adds up the late and the failed requests of several replays with different seeds.
func sumLosses(cfg replay.Config) (late, failed int) {
	const seeds = 4
	for cfg.Seed = 1; cfg.Seed <= seeds; cfg.Seed++ {
		result := replay.Run(cfg)
		late, failed = late+result.Late, failed+result.Failed
	}
	return late, failed
}

// TestDecisions replays load patterns with and without one feature or policy, and checks that it avoids the expected share of lost
// requests.
func TestDecisions(t *testing.T) {
	cases := map[string]struct {
		pattern string
		// without disables the feature; policy replaces the default one.
		without direct.Disabled
		policy  choose.Policy[replay.Candidate]
		// saved is the smallest share of the losses without the feature that it must avoid.
		saved float64
		// failures compares failed requests only, instead of late and failed ones.
		failures bool
	}{
		"retries of SYNs, unresponsive upstreams":                     {pattern: "third", without: direct.Disabled{Resend: true}, saved: 0.03},
		"probes, unresponsive upstreams":                              {pattern: "dead", without: direct.Disabled{Probes: true}, saved: 0.9, failures: true},
		"resets of idempotent flows, unresponsive upstreams":          {pattern: "dead", without: direct.Disabled{Resets: true}, saved: 0.9, failures: true},
		"resets of idempotent flows, partitioned domain":              {pattern: "cut", without: direct.Disabled{Resets: true}, saved: 0.9, failures: true},
		"leaving the rotation, no upstream reachable":                 {pattern: "outcut", without: direct.Disabled{Isolation: true}, saved: 0.5},
		"default policy against random, upstreams of different speed": {pattern: "calm", policy: choose.Random[replay.Candidate]{}, saved: 0.25},
		"default policy against random, twice the load":               {pattern: "burst", policy: choose.Random[replay.Candidate]{}, saved: 0.5},
		"default policy against random, partitioned domain":           {pattern: "cut", policy: choose.Random[replay.Candidate]{}, saved: 0.4},
		"default policy against least running, recovery of all":       {pattern: "power", policy: choose.Least[replay.Candidate]{Score: replay.Running}, saved: 0.1},
		"default policy against two choices, failure of a third":      {pattern: "third", policy: choose.TwoChoices[replay.Candidate]{Score: replay.Running}, saved: 0.15},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			pattern, err := replay.Load(tc.pattern)
			if err != nil {
				t.Fatal(err)
			}
			late, failed := sumLosses(replay.Config{Pattern: pattern})
			lateWithout, failedWithout := sumLosses(replay.Config{Pattern: pattern, Disabled: tc.without, Policy: tc.policy})
			lost, lostWithout := late+failed, lateWithout+failedWithout
			if tc.failures {
				lost, lostWithout = failed, failedWithout
			}
			if float64(lost) > (1-tc.saved)*float64(lostWithout) {
				t.Errorf("%d requests lost with the feature, %d without: want at least %.0f%% fewer", lost, lostWithout, 100*tc.saved)
			}
		})
	}
}

// TestPowerLossRecovery replays a power loss of all instances and checks that the returning callers cause no second overload. The bound is
// a requirement: of the requests made 300 ms or more after the recovery, all but 2% meet their target. A window of 2 s contains 1.05 s of
// outage.
func TestPowerLossRecovery(t *testing.T) {
	pattern, err := replay.Load("power")
	if err != nil {
		t.Fatal(err)
	}
	result := replay.Run(replay.Config{Pattern: pattern, Seed: 1})
	const outage, settle, missedShare = 1.05, 0.3, 0.02
	if want := (2 - outage - settle) / 2 * (1 - missedShare); result.WorstWindows[0] < want {
		t.Errorf("%.3f of the requests in the worst window met their target, want at least %.3f", result.WorstWindows[0], want)
	}
	if result.WorstWindows[1] < 1-missedShare {
		t.Errorf("%.3f of the requests in the second worst window met their target", result.WorstWindows[1])
	}
	if result.DuplicateBookings > 0 {
		t.Errorf("%d bookings ran more than once", result.DuplicateBookings)
	}
}
