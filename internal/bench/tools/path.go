package tools

import (
	"context"
	"flag"
	"fmt"
	"net/netip"
	"time"

	"hawthorncourse/internal/bench/drive"
	"hawthorncourse/internal/bench/fleet"
	"hawthorncourse/internal/stand/caller"
)

// pathCommand compares the latency and throughput of requests through the instances with those of requests sent directly to the upstreams.
type pathCommand struct {
	readers int
	rounds  int
	seconds int
	seed    uint64
}

func newPath() *command {
	c := &pathCommand{}
	return &command{
		name:     "path",
		synopsis: "measure the latency that instances add to a request",
		usage:    "[-readers N] [-rounds N]\n  Print the rate and latency of requests through the instances and of direct requests, alternating.",
		flags:    c.setFlags,
		run:      c.run,
	}
}

func (c *pathCommand) setFlags(f *flag.FlagSet) {
	f.IntVar(&c.readers, "readers", 8, "number of callers")
	f.IntVar(&c.rounds, "rounds", 3, "rounds, each of which measures both paths")
	f.IntVar(&c.seconds, "seconds", 5, "seconds to measure each path for")
	f.Uint64Var(&c.seed, "seed", 1, "seed of all random number generators")
}

// pathSlots is the number of slots of each upstream, large enough that no request waits.
const pathSlots = 64

func (c *pathCommand) run(ctx context.Context) error {
	setup := fleet.Regie()
	setup.Services = []fleet.Service{{ID: "ruche-service", Kind: "coap", Upstreams: 14, Slots: pathSlots, Connections: pathSlots}}
	setup.RequestTime = 0
	return withFleet(ctx, fleet.Config{Setup: setup, Seed: c.seed, LogLevel: "warning"}, c.compare)
}

// compare measures both paths alternately and prints a line per round. The result of a first, warm-up measurement is discarded.
func (c *pathCommand) compare(f *fleet.Fleet) error {
	var through, direct []netip.AddrPort
	for _, in := range f.Instances {
		through = append(through, in.Front)
	}
	for _, n := range f.Upstreams {
		direct = append(direct, n.Address())
	}
	if _, err := c.measure(f, through); err != nil {
		return err
	}
	for range c.rounds {
		throughResult, err := c.measure(f, through)
		if err != nil {
			return err
		}
		directResult, err := c.measure(f, direct)
		if err != nil {
			return err
		}
		fmt.Printf("through %6.0f/s p50 %4d us p99 %5d us   direct %6.0f/s p50 %4d us p99 %5d us   ratios p50 %.2f p99 %.2f\n",
			throughResult.rate, throughResult.p50, throughResult.p99, directResult.rate, directResult.p50, directResult.p99,
			float64(throughResult.p50)/float64(directResult.p50), float64(throughResult.p99)/float64(directResult.p99))
	}
	return nil
}

// pathResult holds the requests per second of a path and its latency percentiles in microseconds.
type pathResult struct {
	rate     float64
	p50, p99 int64
}

// measure sends reads to the targets, in place of the instances, and returns their rate and latency.
func (c *pathCommand) measure(f *fleet.Fleet, targets []netip.AddrPort) (r pathResult, err error) {
	f.Fabric.SetInstances(targets)
	load, err := drive.Start(drive.Config{Fleet: f, Readers: c.readers, RefreshInterval: time.Second, Seed: c.seed})
	if err != nil {
		return r, err
	}
	time.Sleep(time.Duration(c.seconds) * time.Second)
	load.Stop()
	h := load.Latency()
	r.rate = float64(load.Reads()[caller.OutcomeDone]) / float64(c.seconds)
	r.p50, r.p99 = h.ValueAtQuantile(50), h.ValueAtQuantile(99)
	return r, nil
}
