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
	peers   string
	ghosts  string
	seconds int
	settle  time.Duration
	load    bool
	changes int
	seed    uint64
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
	slopeThink   = 2 * time.Millisecond
	slopeCallers = 20
)

func (c *slopesCommand) setFlags(f *flag.FlagSet) {
	f.StringVar(&c.peers, "peers", "7,14,28,56,112", "numbers of instances")
	f.StringVar(&c.ghosts, "ghosts", "0", "numbers of further upstreams in the document")
	f.IntVar(&c.seconds, "seconds", 10, "seconds to measure each for")
	f.DurationVar(&c.settle, "settle", 10*time.Second, "time to let the first news pass before measuring")
	f.IntVar(&c.changes, "changes", 0, "changes of the document while measuring")
	f.BoolVar(&c.load, "load", false, "let callers work while measuring")
	f.Uint64Var(&c.seed, "seed", 1, "seed of every random choice")
}

func (c *slopesCommand) run(ctx context.Context) error {
	peers, err := numbers(c.peers)
	if err != nil {
		return err
	}
	ghosts, err := numbers(c.ghosts)
	if err != nil {
		return err
	}
	fmt.Println("instances upstreams   in B/s  out B/s  cpu %   RSS MB  platform calls/s  in force")
	for _, n := range peers {
		for _, g := range ghosts {
			setup := fleet.Regie()
			setup.Instances, setup.Ghosts = n, g
			cfg := fleet.Config{Setup: setup, Seed: c.seed, LogLevel: "warning"}
			if err := withFleet(ctx, cfg, func(f *fleet.Fleet) error { return c.measure(ctx, f, g) }); err != nil {
				return err
			}
		}
	}
	return nil
}

func numbers(list string) ([]int, error) {
	var out []int
	for _, word := range strings.Split(list, ",") {
		n, err := strconv.Atoi(word)
		if err != nil {
			return nil, err
		}
		out = append(out, n)
	}
	return out, nil
}

// usage is what all nodes used up so far.
type usage struct {
	in, out int64
	cpu     float64
	rss     int
	calls   int
	// forwards counts packets sent to upstreams.
	forwards int64
}

func (c *slopesCommand) measure(ctx context.Context, f *fleet.Fleet, ghosts int) error {
	if c.load {
		load, err := drive.Start(drive.Config{Fleet: f, Streams: slopeCallers, Bookers: slopeCallers, Readers: slopeCallers, Think: slopeThink, Refresh: time.Second, Seed: c.seed})
		if err != nil {
			return err
		}
		defer load.Stop()
	}
	time.Sleep(c.settle)
	return c.print(ctx, f, f.Size(), ghosts)
}

func (c *slopesCommand) print(ctx context.Context, f *fleet.Fleet, peers, ghosts int) error {
	before, err := used(ctx, f, f.Instances)
	if err != nil {
		return err
	}
	began := time.Now()
	slowest, err := c.change(ctx, f)
	if err != nil {
		return err
	}
	time.Sleep(time.Duration(c.seconds)*time.Second - time.Since(began))
	after, err := used(ctx, f, f.Instances)
	if err != nil {
		return err
	}
	span := time.Since(began).Seconds()
	each := span * float64(peers)
	fmt.Printf("%9d %9d %8.0f %8.0f %6.2f %8.1f %17.1f %9s\n",
		peers, len(f.Nodes)+ghosts,
		float64(after.in-before.in)/each, float64(after.out-before.out)/each,
		100*(after.cpu-before.cpu)/each, float64(after.rss)/float64(peers)/(1<<20),
		float64(after.calls-before.calls)/span, slowest.Round(time.Millisecond))
	return nil
}

// change edits the document a few times and returns the longest time until one was in force everywhere.
func (c *slopesCommand) change(ctx context.Context, f *fleet.Fleet) (slowest time.Duration, err error) {
	for n := range c.changes {
		began := time.Now()
		v, err := f.Edit(ctx, func(d change.StoredDocument) ([]byte, error) {
			return change.SetUpstreamLeaving(d, model.UpstreamID(f.Nodes[0].Name()), n%2 == 0, "")
		})
		if err != nil {
			return 0, err
		}
		if err := f.AwaitVersion(ctx, v); err != nil {
			return 0, err
		}
		slowest = max(slowest, time.Since(began))
	}
	return slowest, nil
}

// used adds up what the instances used so far.
func used(ctx context.Context, f *fleet.Fleet, instances []*fleet.Instance) (u usage, err error) {
	for _, in := range instances {
		w, err := in.Status(ctx)
		if err != nil {
			return u, err
		}
		u.in += w.Counter("mesh.bytes_in")
		u.out += w.Counter("mesh.bytes_out")
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
	u.calls = calls.Reads + calls.Writes
	return u, nil
}
