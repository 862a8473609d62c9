package direct_test

import (
	"testing"

	"hawthorncourse/internal/bench/replay"
	"hawthorncourse/internal/core/choose"
	"hawthorncourse/internal/core/direct"
)

// losses adds up the requests of several replays that were late or never served.
func losses(cfg replay.Config) (late, failed int) {
	const seeds = 4
	for cfg.Seed = 1; cfg.Seed <= seeds; cfg.Seed++ {
		r := replay.Run(cfg)
		late, failed = late+r.Late, failed+r.Failed
	}
	return late, failed
}

// TestDecisions replays the load that each decision answers, with the decision and with its simpler alternative.
func TestDecisions(t *testing.T) {
	cases := map[string]struct {
		pattern string
		// without is the simpler alternative.
		without direct.Disabled
		policy  choose.Policy[replay.Candidate]
		// saved is the least part of the alternative's losses that the decision must save.
		saved float64
		// failures compares requests that were never served in place of all losses.
		failures bool
	}{
		"resending, when upstreams fall silent":                         {pattern: "third", without: direct.Disabled{Resend: true}, saved: 0.03},
		"probing, when upstreams fall silent":                           {pattern: "dead", without: direct.Disabled{Probes: true}, saved: 0.9, failures: true},
		"resetting idempotent flows, when upstreams fall silent":        {pattern: "dead", without: direct.Disabled{Resets: true}, saved: 0.9, failures: true},
		"resetting idempotent flows, when a domain is cut off":          {pattern: "cut", without: direct.Disabled{Resets: true}, saved: 0.9, failures: true},
		"leaving the rotation, when nobody can be reached":              {pattern: "outcut", without: direct.Disabled{Isolation: true}, saved: 0.5},
		"speed and distance against chance, when speeds differ":         {pattern: "calm", policy: choose.Random[replay.Candidate]{}, saved: 0.25},
		"speed and distance against chance, under twice the load":       {pattern: "burst", policy: choose.Random[replay.Candidate]{}, saved: 0.5},
		"speed and distance against chance, when a domain is cut off":   {pattern: "cut", policy: choose.Random[replay.Candidate]{}, saved: 0.4},
		"speed and distance against the least running, when all return": {pattern: "power", policy: choose.Least[replay.Candidate]{Score: replay.Running}, saved: 0.1},
		"speed and distance against two choices, when a third dies":     {pattern: "third", policy: choose.TwoChoices[replay.Candidate]{Score: replay.Running}, saved: 0.15},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			p, err := replay.Load(tc.pattern)
			if err != nil {
				t.Fatal(err)
			}
			late, failed := losses(replay.Config{Pattern: p})
			lateWithout, failedWithout := losses(replay.Config{Pattern: p, Without: tc.without, Policy: tc.policy})
			lost, lostWithout := late+failed, lateWithout+failedWithout
			if tc.failures {
				lost, lostWithout = failed, failedWithout
			}
			if float64(lost) > (1-tc.saved)*float64(lostWithout) {
				t.Errorf("%d lost with the decision, %d without: less than %.0f%% are saved", lost, lostWithout, 100*tc.saved)
			}
		})
	}
}

// TestReturn replays a power loss of all instances: the callers that come back meet no second crowd. The bound is the
// users': of what is asked 300 ms or more after the return, all but 2% in aim; a window of 2 s holds 1.05 s of outage.
func TestReturn(t *testing.T) {
	p, err := replay.Load("power")
	if err != nil {
		t.Fatal(err)
	}
	r := replay.Run(replay.Config{Pattern: p, Seed: 1})
	const outage, settle, missed = 1.05, 0.3, 0.02
	if least := (2 - outage - settle) / 2 * (1 - missed); r.Worst[0] < least {
		t.Errorf("%.3f of the worst window in aim, want %.3f", r.Worst[0], least)
	}
	if r.Worst[1] < 1-missed {
		t.Errorf("%.3f of the second worst window in aim", r.Worst[1])
	}
	if r.Twice > 0 {
		t.Errorf("%d bookings ran twice", r.Twice)
	}
}
