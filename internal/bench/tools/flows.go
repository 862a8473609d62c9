package tools

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"os"
	"path/filepath"
	"time"

	"github.com/google/subcommands"

	"hawthorncourse/internal/bench/fleet"
	"hawthorncourse/internal/wire/frame"
)

// flowsCommand measures control under many new opaque flows and while membership changes.
type flowsCommand struct {
	rate    int
	seconds int
	seed    uint64
}

// Name implements subcommands.Command.
func (*flowsCommand) Name() string { return "flows" }

// Synopsis implements subcommands.Command.
func (*flowsCommand) Synopsis() string { return "measure control under many new opaque flows" }

// Usage implements subcommands.Command.
func (*flowsCommand) Usage() string {
	return "flows [-rate N] [-seconds N]\n  Print bytes and processor time a node at rest, under new flows, and while an instance joins.\n"
}

// SetFlags implements subcommands.Command.
func (c *flowsCommand) SetFlags(f *flag.FlagSet) {
	f.IntVar(&c.rate, "rate", 2000, "new flows a second for each instance")
	f.IntVar(&c.seconds, "seconds", 10, "seconds to measure each phase for")
	f.Uint64Var(&c.seed, "seed", 1, "seed of every random choice")
}

const (
	flowWarmUp  = 12 * time.Second
	flowTick    = 5 * time.Millisecond
	flowPackets = 2
	flowPort    = 1024
)

// Execute implements subcommands.Command.
func (c *flowsCommand) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	dir, err := os.MkdirTemp("", "flows")
	if err != nil {
		return fail(err)
	}
	defer func() { _ = os.RemoveAll(dir) }()
	if err := c.run(ctx, dir); err != nil {
		return fail(err)
	}
	return subcommands.ExitSuccess
}

func (c *flowsCommand) run(ctx context.Context, dir string) error {
	binary, err := program(ctx, dir)
	if err != nil {
		return err
	}
	if binary, err = filepath.Abs(binary); err != nil {
		return err
	}
	setup := fleet.Ikirere()
	setup.Services = []fleet.Service{{ID: "stock-feed", Kind: "datagram", Upstreams: 14, Slots: 3, Connections: 1_000_000}}
	f, err := fleet.Start(ctx, fleet.Config{Setup: setup, Binary: binary, Dir: dir, Seed: c.seed, LogLevel: "warning"})
	if err != nil {
		return err
	}
	defer f.Close()
	if err := f.AwaitVersion(ctx, 1); err != nil {
		return err
	}
	time.Sleep(flowWarmUp)
	if err := c.phase(ctx, f, "at rest"); err != nil {
		return err
	}
	work, cancel := context.WithCancel(ctx)
	defer cancel()
	go c.spray(work, f)
	time.Sleep(flowWarmUp)
	if err := c.phase(ctx, f, "new flows"); err != nil {
		return err
	}
	if _, err := f.AddInstance(setup.Domains[0]); err != nil {
		return err
	}
	return c.phase(ctx, f, "instance joins")
}

// phase prints what the first instances spend in one phase.
func (c *flowsCommand) phase(ctx context.Context, f *fleet.Fleet, name string) error {
	nodes := f.Instances[:f.Size()]
	before, err := used(ctx, f, nodes)
	if err != nil {
		return err
	}
	time.Sleep(time.Duration(c.seconds) * time.Second)
	after, err := used(ctx, f, nodes)
	if err != nil {
		return err
	}
	each := float64(c.seconds * len(nodes))
	fmt.Printf("%-15s control in %6.0f B/s, out %6.0f B/s, cpu %6.2f %%, RSS %.1f MB a node; packets forwarded %.0f/s in all\n",
		name, float64(after.in-before.in)/each, float64(after.out-before.out)/each, 100*(after.cpu-before.cpu)/each,
		float64(after.rss)/float64(len(nodes))/(1<<20), float64(after.forwards-before.forwards)/float64(c.seconds))
	return nil
}

// spray sends the first packets of new flows to random instances as the fabric would, at an even rate.
func (c *flowsCommand) spray(ctx context.Context, f *fleet.Fleet) {
	conn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(netip.AddrPortFrom(f.CallerIP(), 0)))
	if err != nil {
		return
	}
	defer conn.Close()
	rng := rand.New(rand.NewPCG(c.seed, 4))
	service := f.Services["stock-feed"]
	began, serial := time.Now(), 0
	for ctx.Err() == nil {
		due := int(time.Since(began).Seconds() * float64(c.rate*f.Size()))
		for ; serial < due; serial++ {
			raw, err := frame.Format(frame.Frame{Source: f.Address(90, 1+serial>>16, flowPort+serial&0x7fff), Dest: service, Payload: []byte("tick")})
			if err != nil {
				return
			}
			for range flowPackets {
				_, _ = conn.WriteToUDPAddrPort(raw, f.Instances[rng.IntN(f.Size())].Front)
			}
		}
		time.Sleep(flowTick)
	}
}
