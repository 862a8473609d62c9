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

// slopesCommand measures the resources that an instance spends on control traffic, by the number of instances and of upstreams.
type slopesCommand struct {
	instanceCounts  string
	absentUpstreams string
	seconds         int
	settleTime      time.Duration
	load            bool
	changes         int
	seed            uint64
}

func newSlopes() *command {
	c := &slopesCommand{}
	return &command{
		name:     "slopes",
		synopsis: "measure how the control traffic grows with instances and upstreams",
		usage:    "[-peers LIST] [-ghosts LIST] [-changes N] [-load]\n  Print control bytes, CPU time and memory per instance for each pair of sizes.",
		flags:    c.setFlags,
		run:      c.run,
	}
}

const (
	slopeThinkTime = 2 * time.Millisecond
	// slopeCallers is the number of callers of each type and service when -load is given.
	slopeCallers = 20
)

func (c *slopesCommand) setFlags(f *flag.FlagSet) {
	f.StringVar(&c.instanceCounts, "peers", "7,14,28,56,112", "comma-separated list of numbers of instances")
	f.StringVar(&c.absentUpstreams, "ghosts", "0", "comma-separated list of numbers of additional upstreams in the document, which do not exist")
	f.IntVar(&c.seconds, "seconds", 10, "seconds to measure each pair of sizes for")
	f.DurationVar(&c.settleTime, "settle", 10*time.Second, "time before the measurement in which the initial state spreads to all instances")
	f.IntVar(&c.changes, "changes", 0, "number of document changes during the measurement")
	f.BoolVar(&c.load, "load", false, "generate load during the measurement")
	f.Uint64Var(&c.seed, "seed", 1, "seed of all random number generators")
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

// parseNumbers parses a comma-separated list of integers.
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

// resourceUsage is the cumulative resource usage of several instances. bytesIn and bytesOut count control traffic, cpu is in seconds,
// rss is the current memory in bytes and platformCalls counts calls of the platform's API.
type resourceUsage struct {
	bytesIn, bytesOut int64
	cpu               float64
	rss               int
	platformCalls     int
	// forwards counts packets forwarded to upstreams.
	forwards int64
}

// measure starts the load if requested, waits for settleTime and runs the measurement.
func (c *slopesCommand) measure(ctx context.Context, f *fleet.Fleet, absentUpstreams int) error {
	if c.load {
		load, err := drive.Start(drive.Config{
			Fleet:           f,
			Streams:         slopeCallers,
			Bookers:         slopeCallers,
			Readers:         slopeCallers,
			ThinkTime:       slopeThinkTime,
			RefreshInterval: time.Second,
			Seed:            c.seed,
		})
		if err != nil {
			return err
		}
		defer load.Stop()
	}
	time.Sleep(c.settleTime)
	return c.measureUsage(ctx, f, f.InstanceCount(), absentUpstreams)
}

// measureUsage prints the resource usage per instance during the measurement, in which it also submits the document changes.
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

// editDocument submits the requested number of document changes in sequence and returns the longest time until all instances had applied one.
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

// readUsage returns the total resource usage of the instances.
func readUsage(ctx context.Context, f *fleet.Fleet, instances []*fleet.Instance) (u resourceUsage, err error) {
	for _, in := range instances {
		st, err := in.Status(ctx)
		if err != nil {
			return u, err
		}
		u.bytesIn += st.Counter("mesh.bytes_in")
		u.bytesOut += st.Counter("mesh.bytes_out")
		u.forwards += st.Counter("forward")
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
