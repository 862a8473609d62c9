package replay_test

import (
	"testing"

	"github.com/matryer/is"

	"hawthorncourse/internal/bench/replay"
)

// TestDeterministic checks that two replays with the same seed have the same result.
func TestDeterministic(t *testing.T) {
	is := is.New(t)
	p, err := replay.Load("dead")
	is.NoErr(err)
	first, second := replay.Run(replay.Config{Pattern: p, Seed: 3}), replay.Run(replay.Config{Pattern: p, Seed: 3})
	is.Equal(first.String(), second.String())
}

// TestOutcomes checks for every pattern and variant that no booking is executed twice and that every request has an outcome.
func TestOutcomes(t *testing.T) {
	list, err := replay.Patterns()
	if err != nil {
		t.Fatal(err)
	}
	for _, p := range list {
		for _, v := range replay.Variants() {
			t.Run(p.Name+"/"+v.Name, func(t *testing.T) {
				t.Parallel()
				is := is.New(t)
				r := replay.Run(replay.Config{Pattern: p, Seed: 9, Policy: v.Policy, Disabled: v.Disabled})
				is.Equal(r.DuplicateBookings, 0)
				is.Equal(r.OnTime+r.Late+r.Failed, r.Requests)
			})
		}
	}
}

// TestInvalidPatterns checks that ParsePattern rejects invalid patterns.
func TestInvalidPatterns(t *testing.T) {
	cases := map[string]string{
		"no JSON":          `{`,
		"unknown kind":     `{"events": [{"at": "1s", "kind": "flood"}]}`,
		"unknown field":    `{"size": "5s"}`,
		"length too short": `{"length": "1ms"}`,
		"no speeds":        `{"domains": ["a"], "speeds": []}`,
		"no domains":       `{"speeds": ["1"]}`,
		"burst, no factor": `{"domains": ["a"], "speeds": ["1"], "events": [{"at": "1s", "kind": "burst"}]}`,
		"slow, no factor":  `{"domains": ["a"], "speeds": ["1"], "events": [{"at": "1s", "kind": "slow", "count": 1}]}`,
	}
	for name, text := range cases {
		t.Run(name, func(t *testing.T) {
			_, err := replay.ParsePattern("x", []byte(text))
			is.New(t).True(err != nil)
		})
	}
}
