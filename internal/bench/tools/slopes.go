package tools

import (
	"context"
	"flag"
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/prometheus/procfs"

	"hawthorncourse/internal/bench/drive"
	"hawthorncourse/internal/bench/fleet"
	"hawthorncourse/internal/core/model"
	"hawthorncourse/internal/oper/change"
)

// slopesCommand measures what one node spends on control, against the number of peers and of upstreams.
type slopesCommand struct {
	instanceCounts  string
	absentUpstreams string
	seconds         int
	settleTime      time.Duration
	load            bool
	changes         int
	seed            uint64
}

// newSlopes returns the command.
func newSlopes() *command {
	c := &slopesCommand{}
	return &command{
		name:     "slopes",
		synopsis: "measure what a node spends on control",
		usage:    "[-peers LIST] [-ghosts LIST] [-changes N] [-load]\n  Print bytes, processor time and memory a node for each pair of sizes.",
		flags:    c.setFlags,
		run:      c.run,
	}
}

const (
	slopeThinkTime = 2 * time.Millisecond
	slopeCallers   = 20
)

func (c *slopesCommand) setFlags(f *flag.FlagSet) {
	f.StringVar(&c.instanceCounts, "peers", "7,14,28,56,112", "numbers of instances")
	f.StringVar(&c.absentUpstreams, "ghosts", "0", "numbers of further upstreams in the document")
	f.IntVar(&c.seconds, "seconds", 10, "seconds to measure each for")
	f.DurationVar(&c.settleTime, "settle", 10*time.Second, "time to let the first news pass before measuring")
	f.IntVar(&c.changes, "changes", 0, "changes of the document while measuring")
	f.BoolVar(&c.load, "load", false, "let callers work while measuring")
	f.Uint64Var(&c.seed, "seed", 1, "seed of every random choice")
}

func (c *slopesCommand) run(ctx context.Context) error {
	instanceCounts, err := parseNumbers(c.instanceCounts)
	if err != nil {
		return err
	}
	absentCounts, err := parseNumbers(c.absentUpstreams)
	if err != nil {
		return err
	}
	fmt.Println("instances upstreams   in B/s  out B/s  cpu %   RSS MB  platform calls/s  in force")
	for _, n := range instanceCounts {
		for _, absent := range absentCounts {
			setup := fleet.Regie()
			setup.Instances, setup.AbsentUpstreams = n, absent
			cfg := fleet.Config{Setup: setup, Seed: c.seed, LogLevel: "warning"}
			if err := withFleet(ctx, cfg, func(f *fleet.Fleet) error { return c.measure(ctx, f, absent) }); err != nil {
				return err
			}
		}
	}
	return nil
}

func parseNumbers(list string) ([]int, error) {
	var out []int
	for _, item := range strings.Split(list, ",") {
		n, err := strconv.Atoi(item)
		if err != nil {
			return nil, err
		}
		out = append(out, n)
	}
	return out, nil
}

// resourceUsage is what all nodes used up so far.
type resourceUsage struct {
	bytesIn, bytesOut int64
	cpu               float64
	rss               int
	platformCalls     int
	// forwards counts packets sent to upstreams.
	forwards int64
}

func (c *slopesCommand) measure(ctx context.Context, f *fleet.Fleet, absentUpstreams int) error {
	if c.load {
		load, err := drive.Start(drive.Config{Fleet: f, Streams: slopeCallers, Bookers: slopeCallers, Readers: slopeCallers, ThinkTime: slopeThinkTime, RefreshInterval: time.Second, Seed: c.seed})
		if err != nil {
			return err
		}
		defer load.Stop()
	}
	time.Sleep(c.settleTime)
	return c.measureUsage(ctx, f, f.InstanceCount(), absentUpstreams)
}

func (c *slopesCommand) measureUsage(ctx context.Context, f *fleet.Fleet, instances, absentUpstreams int) error {
	before, err := readUsage(ctx, f, f.Instances)
	if err != nil {
		return err
	}
	started := time.Now()
	slowest, err := c.editDocument(ctx, f)
	if err != nil {
		return err
	}
	time.Sleep(time.Duration(c.seconds)*time.Second - time.Since(started))
	after, err := readUsage(ctx, f, f.Instances)
	if err != nil {
		return err
	}
	elapsed := time.Since(started).Seconds()
	instanceSeconds := elapsed * float64(instances)
	fmt.Printf("%9d %9d %8.0f %8.0f %6.2f %8.1f %17.1f %9s\n",
		instances, len(f.Upstreams)+absentUpstreams,
		float64(after.bytesIn-before.bytesIn)/instanceSeconds, float64(after.bytesOut-before.bytesOut)/instanceSeconds,
		100*(after.cpu-before.cpu)/instanceSeconds, float64(after.rss)/float64(instances)/(1<<20),
		float64(after.platformCalls-before.platformCalls)/elapsed, slowest.Round(time.Millisecond))
	return nil
}

// editDocument edits the document a few times and returns the longest time until one was in force everywhere.
func (c *slopesCommand) editDocument(ctx context.Context, f *fleet.Fleet) (slowest time.Duration, err error) {
	for n := range c.changes {
		started := time.Now()
		v, err := f.Edit(ctx, func(d change.StoredDocument) ([]byte, error) {
			return change.SetUpstreamLeaving(d, model.UpstreamID(f.Upstreams[0].Name()), n%2 == 0, "")
		})
		if err != nil {
			return 0, err
		}
		if err := f.AwaitVersion(ctx, v); err != nil {
			return 0, err
		}
		slowest = max(slowest, time.Since(started))
	}
	return slowest, nil
}

// readUsage adds up what the instances used so far.
func readUsage(ctx context.Context, f *fleet.Fleet, instances []*fleet.Instance) (u resourceUsage, err error) {
	for _, in := range instances {
		w, err := in.Status(ctx)
		if err != nil {
			return u, err
		}
		u.bytesIn += w.Counter("mesh.bytes_in")
		u.bytesOut += w.Counter("mesh.bytes_out")
		u.forwards += w.Counter("forward")
		proc, err := procfs.NewProc(in.PID())
		if err != nil {
			return u, err
		}
		stat, err := proc.Stat()
		if err != nil {
			return u, err
		}
		u.cpu += stat.CPUTime()
		u.rss += stat.ResidentMemory()
	}
	calls := f.Store.Calls()
	u.platformCalls = calls.Reads + calls.Writes
	return u, nil
}
