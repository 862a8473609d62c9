package tools

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"time"

	"hawthorncourse/internal/bench/fleet"
	"hawthorncourse/internal/core/model"
	"hawthorncourse/internal/wire/frame"
)

// flowsCommand measures control under many new opaque flows and while membership changes.
type flowsCommand struct {
	rate    int
	seconds int
	seed    uint64
}

// newFlows returns the command.
func newFlows() *command {
	c := &flowsCommand{}
	return &command{
		name:     "flows",
		synopsis: "measure control under many new opaque flows",
		usage:    "[-rate N] [-seconds N]\n  Print bytes and processor time a node at rest, under new flows, and while an instance joins.",
		flags:    c.setFlags,
		run:      c.run,
	}
}

func (c *flowsCommand) setFlags(f *flag.FlagSet) {
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

func (c *flowsCommand) run(ctx context.Context) error {
	setup := fleet.Ikirere()
	setup.Services = []fleet.Service{{ID: "stock-feed", Kind: "datagram", Upstreams: 14, Slots: 3, Connections: 1_000_000}}
	cfg := fleet.Config{Setup: setup, Seed: c.seed, LogLevel: "warning"}
	return withFleet(ctx, cfg, func(f *fleet.Fleet) error { return c.measure(ctx, f, setup.Domains[0]) })
}

// measure goes through the phases.
func (c *flowsCommand) measure(ctx context.Context, f *fleet.Fleet, domain model.DomainID) error {
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
	if _, err := f.AddInstance(domain); err != nil {
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
