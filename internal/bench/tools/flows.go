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

// flowsCommand measures the control traffic of instances under many new opaque flows and during a change of membership.
type flowsCommand struct {
	rate    int
	seconds int
	seed    uint64
}

func newFlows() *command {
	c := &flowsCommand{}
	return &command{
		name:     "flows",
		synopsis: "measure the control traffic under many new opaque flows",
		usage:    "[-rate N] [-seconds N]\n  Print control bytes, CPU time and memory per instance without load, under new flows and while an instance joins.",
		flags:    c.setFlags,
		run:      c.run,
	}
}

func (c *flowsCommand) setFlags(f *flag.FlagSet) {
	f.IntVar(&c.rate, "rate", 2000, "new flows per second and instance")
	f.IntVar(&c.seconds, "seconds", 10, "seconds to measure each phase for")
	f.Uint64Var(&c.seed, "seed", 1, "seed of all random number generators")
}

const (
	// flowWarmUpTime is the time before each of the first two measurements.
	flowWarmUpTime = 12 * time.Second
	// flowSendInterval is the interval between bursts of new flows.
	flowSendInterval = 5 * time.Millisecond
	// packetsPerFlow is the number of packets of each flow, sent to independently chosen instances.
	packetsPerFlow = 2
	firstFlowPort  = 1024
)

func (c *flowsCommand) run(ctx context.Context) error {
	setup := fleet.Ikirere()
	setup.Services = []fleet.Service{{ID: "stock-feed", Kind: "datagram", Upstreams: 14, Slots: 3, Connections: 1_000_000}}
	cfg := fleet.Config{Setup: setup, Seed: c.seed, LogLevel: "warning"}
	return withFleet(ctx, cfg, func(f *fleet.Fleet) error { return c.measure(ctx, f, setup.Domains[0]) })
}

// measure prints the resource usage without load, under new flows and while an instance joins.
func (c *flowsCommand) measure(ctx context.Context, f *fleet.Fleet, domain model.DomainID) error {
	time.Sleep(flowWarmUpTime)
	if err := c.measurePhase(ctx, f, "at rest"); err != nil {
		return err
	}
	sendCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	go c.sendNewFlows(sendCtx, f)
	time.Sleep(flowWarmUpTime)
	if err := c.measurePhase(ctx, f, "new flows"); err != nil {
		return err
	}
	if _, err := f.AddInstance(domain); err != nil {
		return err
	}
	return c.measurePhase(ctx, f, "instance joins")
}

// measurePhase prints the resource usage of the initial instances during a phase.
func (c *flowsCommand) measurePhase(ctx context.Context, f *fleet.Fleet, name string) error {
	instances := f.Instances[:f.InstanceCount()]
	before, err := readUsage(ctx, f, instances)
	if err != nil {
		return err
	}
	time.Sleep(time.Duration(c.seconds) * time.Second)
	after, err := readUsage(ctx, f, instances)
	if err != nil {
		return err
	}
	instanceSeconds := float64(c.seconds * len(instances))
	fmt.Printf("%-15s control in %6.0f B/s, out %6.0f B/s, cpu %6.2f %%, RSS %.1f MB a node; packets forwarded %.0f/s in all\n",
		name, float64(after.bytesIn-before.bytesIn)/instanceSeconds, float64(after.bytesOut-before.bytesOut)/instanceSeconds, 100*(after.cpu-before.cpu)/instanceSeconds,
		float64(after.rss)/float64(len(instances))/(1<<20), float64(after.forwards-before.forwards)/float64(c.seconds))
	return nil
}

// sendNewFlows sends the first packets of new flows to random instances, as the fabric would, at a constant rate until ctx is done.
func (c *flowsCommand) sendNewFlows(ctx context.Context, f *fleet.Fleet) {
	conn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(netip.AddrPortFrom(f.CallerIP(), 0)))
	if err != nil {
		return
	}
	defer conn.Close()
	rng := rand.New(rand.NewPCG(c.seed, 4))
	service := f.Services["stock-feed"]
	started, sent := time.Now(), 0
	for ctx.Err() == nil {
		want := int(time.Since(started).Seconds() * float64(c.rate*f.InstanceCount()))
		for ; sent < want; sent++ {
			raw, err := frame.Format(frame.Frame{Source: f.Address(90, 1+sent>>16, firstFlowPort+sent&0x7fff), Dest: service, Payload: []byte("tick")})
			if err != nil {
				return
			}
			for range packetsPerFlow {
				_, _ = conn.WriteToUDPAddrPort(raw, f.Instances[rng.IntN(f.InstanceCount())].Front)
			}
		}
		time.Sleep(flowSendInterval)
	}
}
