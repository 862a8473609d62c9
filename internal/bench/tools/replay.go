package tools

import (
	"context"
	"flag"
	"fmt"
	"os"
	"strings"

	"github.com/rotisserie/eris"

	"hawthorncourse/internal/bench/replay"
)

// replayCommand simulates load patterns against the decision engine for direct flows.
type replayCommand struct {
	patterns string
	variants string
	file     string
	seeds    int
}

func newReplay() *command {
	c := &replayCommand{}
	return &command{
		name:     "replay",
		synopsis: "simulate load patterns against the decision engine in virtual time",
		usage:    "[-patterns LIST] [-variants LIST] [-file PATTERN.json] [-seeds N]\n  Print the request outcomes of each pattern, with the default decisions and with simpler ones.",
		flags:    c.setFlags,
		run:      c.run,
	}
}

func (c *replayCommand) setFlags(f *flag.FlagSet) {
	f.StringVar(&c.patterns, "patterns", "", "comma-separated list of patterns to simulate; all if empty")
	f.StringVar(&c.variants, "variants", "", "comma-separated list of variants to compare; all if empty")
	f.StringVar(&c.file, "file", "", "JSON file with a pattern to simulate instead of the built-in ones")
	f.IntVar(&c.seeds, "seeds", 4, "number of seeds to simulate each pattern and variant with")
}

func (c *replayCommand) run(ctx context.Context) error {
	if c.seeds < 1 {
		return eris.New("-seeds must be at least 1")
	}
	patterns, err := c.loadPatterns()
	if err != nil {
		return err
	}
	runs := 0
	for _, p := range patterns {
		for _, v := range replay.Variants() {
			if ctx.Err() != nil {
				return ctx.Err()
			}
			if inList(c.patterns, p.Name) && inList(c.variants, v.Name) {
				c.runVariant(p, v)
				runs++
			}
		}
	}
	if runs == 0 {
		return eris.New("no pattern and variant match -patterns and -variants")
	}
	return nil
}

func (c *replayCommand) loadPatterns() ([]*replay.Pattern, error) {
	if c.file == "" {
		return replay.Patterns()
	}
	text, err := os.ReadFile(c.file)
	if err != nil {
		return nil, err
	}
	p, err := replay.ParsePattern(c.file, text)
	return []*replay.Pattern{p}, err
}

func (c *replayCommand) runVariant(p *replay.Pattern, v replay.Variant) {
	for seed := 1; seed <= c.seeds; seed++ {
		r := replay.Run(replay.Config{Pattern: p, Seed: uint64(seed), Policy: v.Policy, Disabled: v.Disabled})
		fmt.Printf("%-8s %-14s seed %d  %s\n", p.Name, v.Name, seed, r)
	}
}

// inList reports whether a comma-separated list contains name. An empty list contains every name.
func inList(list, name string) bool {
	if list == "" {
		return true
	}
	for _, item := range strings.Split(list, ",") {
		if strings.TrimSpace(item) == name {
			return true
		}
	}
	return false
}
