package replay_test

import (
	"testing"

	"github.com/matryer/is"

	"hawthorncourse/internal/bench/replay"
)

// TestRepeats checks that the same seed gives the same result.
func TestRepeats(t *testing.T) {
	is := is.New(t)
	p, err := replay.Load("dead")
	is.NoErr(err)
	first, second := replay.Run(replay.Config{Pattern: p, Seed: 3}), replay.Run(replay.Config{Pattern: p, Seed: 3})
	is.Equal(first.String(), second.String())
}

func TestPrint(t *testing.T) {
	list, err := replay.Patterns()
	if err != nil {
		t.Fatal(err)
	}
	for _, p := range list {
		t.Log(p.Name, replay.Run(replay.Config{Pattern: p, Seed: 1}))
	}
}
