package tools

import (
	"context"
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"time"

	"github.com/google/subcommands"

	"hawthorncourse/internal/bench/drive"
	"hawthorncourse/internal/bench/fleet"
	"hawthorncourse/internal/stand/caller"
)

// balanceCommand compares policies on upstreams of different speed.
type balanceCommand struct {
	policies string
	seconds  int
	bookers  int
	readers  int
	seed     uint64
}

func (*balanceCommand) Name() string     { return "balance" }
func (*balanceCommand) Synopsis() string { return "compare policies on upstreams of different speed" }
func (*balanceCommand) Usage() string {
	return "balance [-policies LIST] [-seconds N]\n  Print imbalance and latency for each policy in turn.\n"
}

const balanceWarmUp = 8 * time.Second

// SetFlags implements subcommands.Command.
func (c *balanceCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.policies, "policies", "utilisation,completion,random,roundRobin", "policies to compare")
	f.IntVar(&c.seconds, "seconds", 10, "seconds to measure each for")
	f.IntVar(&c.bookers, "bookers", 10, "callers of each service that book")
	f.IntVar(&c.readers, "readers", 6, "callers of each service that read")
	f.Uint64Var(&c.seed, "seed", 1, "seed of every random choice")
}

// Execute implements subcommands.Command.
func (c *balanceCommand) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	dir, err := os.MkdirTemp("", "balance")
	if err != nil {
		return fail(err)
	}
	defer func() { _ = os.RemoveAll(dir) }()
	for _, policy := range strings.Split(c.policies, ",") {
		if err := c.measure(ctx, dir, policy); err != nil {
			return fail(err)
		}
	}
	return subcommands.ExitSuccess
}

func (c *balanceCommand) measure(ctx context.Context, dir, policy string) error {
	binary, err := program(ctx, dir)
	if err != nil {
		return err
	}
	if binary, err = filepath.Abs(binary); err != nil {
		return err
	}
	setup := fleet.Regie()
	f, err := fleet.Start(ctx, fleet.Config{Setup: setup, Binary: binary, Dir: dir, Seed: c.seed, Policy: policy})
	if err != nil {
		return err
	}
	defer f.Close()
	if err := f.AwaitVersion(ctx, 1); err != nil {
		return err
	}
	if err := f.AwaitWarm(ctx, len(f.Nodes)); err != nil {
		return err
	}
	load, err := drive.Start(drive.Config{Fleet: f, Bookers: c.bookers, Readers: c.readers, Think: time.Millisecond, Refresh: time.Second, Seed: c.seed})
	if err != nil {
		return err
	}
	defer load.Stop()
	time.Sleep(balanceWarmUp)
	load.ResetLatency()
	nodes := f.Nodes[:setup.Services[0].Upstreams]
	before, began := drive.Busy(nodes), time.Now()
	time.Sleep(time.Duration(c.seconds) * time.Second)
	imbalance := drive.Imbalance(nodes, before)
	done := load.Bookings(began)[caller.OutcomeDone]
	load.Stop()
	h := load.Latency()
	fmt.Printf("%-12s imbalance %.2f, bookings %d, latency p50 %.1f ms, p99 %.1f ms, not done %v\n",
		policy, imbalance, done, float64(h.ValueAtQuantile(50))/1000, float64(h.ValueAtQuantile(99))/1000, load.Refused())
	return nil
}
