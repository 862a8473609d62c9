package tools

import (
	"context"
	"flag"
	"fmt"
	"strings"
	"time"

	"hawthorncourse/internal/bench/drive"
	"hawthorncourse/internal/bench/fleet"
	"hawthorncourse/internal/stand/caller"
)

// balanceCommand compares balancing policies on upstreams of different speed.
type balanceCommand struct {
	policies string
	seconds  int
	bookers  int
	readers  int
	seed     uint64
}

func newBalance() *command {
	c := &balanceCommand{}
	return &command{
		name:     "balance",
		synopsis: "compare balancing policies on upstreams of different speed",
		usage:    "[-policies LIST] [-seconds N]\n  Print the imbalance and the latency of each policy.",
		flags:    c.setFlags,
		run:      c.run,
	}
}

// balanceWarmUpTime is the time under load before the measurement starts.
const balanceWarmUpTime = 8 * time.Second

func (c *balanceCommand) setFlags(f *flag.FlagSet) {
	f.StringVar(&c.policies, "policies", "utilisation,completion,random,roundRobin", "comma-separated list of policies to compare")
	f.IntVar(&c.seconds, "seconds", 10, "seconds to measure each policy for")
	f.IntVar(&c.bookers, "bookers", 10, "callers of each service that send bookings")
	f.IntVar(&c.readers, "readers", 6, "callers of each service that send reads")
	f.Uint64Var(&c.seed, "seed", 1, "seed of all random number generators")
}

func (c *balanceCommand) run(ctx context.Context) error {
	for _, policy := range strings.Split(c.policies, ",") {
		cfg := fleet.Config{Setup: fleet.Regie(), Seed: c.seed, Policy: policy}
		if err := withFleet(ctx, cfg, func(f *fleet.Fleet) error { return c.measure(ctx, f, policy) }); err != nil {
			return err
		}
	}
	return nil
}

// measure prints the results of a policy.
func (c *balanceCommand) measure(ctx context.Context, f *fleet.Fleet, policy string) error {
	if err := f.AwaitUsableSlots(ctx, len(f.Upstreams)); err != nil {
		return err
	}
	load, err := drive.Start(drive.Config{Fleet: f, Bookers: c.bookers, Readers: c.readers, ThinkTime: time.Millisecond, RefreshInterval: time.Second, Seed: c.seed})
	if err != nil {
		return err
	}
	defer load.Stop()
	time.Sleep(balanceWarmUpTime)
	load.ResetLatency()
	upstreams := f.Upstreams[:fleet.Regie().Services[0].Upstreams]
	busyBefore, started := drive.BusyTimes(upstreams), time.Now()
	time.Sleep(time.Duration(c.seconds) * time.Second)
	imbalance := drive.Imbalance(upstreams, busyBefore)
	done := load.Bookings(started)[caller.OutcomeDone]
	load.Stop()
	h := load.Latency()
	fmt.Printf("%-12s imbalance %.2f, bookings %d, latency p50 %.1f ms, p99 %.1f ms, not done %v\n",
		policy, imbalance, done, float64(h.ValueAtQuantile(50))/1000, float64(h.ValueAtQuantile(99))/1000, load.Refused())
	return nil
}
