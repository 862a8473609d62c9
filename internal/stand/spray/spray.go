// Package spray is a stand-in for the fabric: it hands each packet to any entry instance.
package spray

import (
	"context"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"

	"golang.org/x/sync/errgroup"

	"hawthorncourse/internal/wire/frame"
)

const (
	maxDatagram  = 64 << 10
	socketBuffer = 8 << 20
)

// Config is what a Fabric is built from.
type Config struct {
	// EgressAddress is the address to which instances send packets for callers.
	EgressAddress netip.AddrPort
	// Services holds the service addresses that callers send to.
	Services []netip.AddrPort
	// Seed feeds the choice of instances.
	Seed uint64
	// DuplicateRate is the share of callers' packets that are sent twice, from 0 to 1.
	DuplicateRate float64
}

// Fabric moves packets between callers and instances.
type Fabric struct {
	cfg       Config
	egress    *net.UDPConn
	services  map[netip.AddrPort]*net.UDPConn
	instances atomic.Pointer[[]netip.AddrPort]

	mu sync.Mutex
	// rng is guarded by mu.
	rng *rand.Rand
}

// New opens the sockets of a fabric.
func New(cfg Config) (*Fabric, error) {
	f := &Fabric{cfg: cfg, services: map[netip.AddrPort]*net.UDPConn{}, rng: rand.New(rand.NewPCG(cfg.Seed, 0))}
	var err error
	if f.egress, err = listen(cfg.EgressAddress); err != nil {
		return nil, err
	}
	for _, addr := range cfg.Services {
		if f.services[addr], err = listen(addr); err != nil {
			f.Close()
			return nil, err
		}
	}
	f.instances.Store(&[]netip.AddrPort{})
	return f, nil
}

func listen(addr netip.AddrPort) (*net.UDPConn, error) {
	conn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(addr))
	if err != nil {
		return nil, err
	}
	if err := conn.SetReadBuffer(socketBuffer); err != nil {
		return nil, err
	}
	return conn, nil
}

// EgressAddress returns the address to which instances send packets for callers.
func (f *Fabric) EgressAddress() netip.AddrPort {
	return f.egress.LocalAddr().(*net.UDPAddr).AddrPort()
}

// SetInstances replaces the instances that packets are sprayed over.
func (f *Fabric) SetInstances(instances []netip.AddrPort) {
	list := append([]netip.AddrPort{}, instances...)
	f.instances.Store(&list)
}

// Run moves packets until the context ends.
func (f *Fabric) Run(ctx context.Context) error {
	g, ctx := errgroup.WithContext(ctx)
	stop := context.AfterFunc(ctx, f.Close)
	defer stop()
	g.Go(func() error { return f.forwardEgress(ctx) })
	for addr, conn := range f.services {
		g.Go(func() error { return f.forwardIngress(ctx, addr, conn) })
	}
	return g.Wait()
}

// Close closes every socket.
func (f *Fabric) Close() {
	_ = f.egress.Close()
	for _, conn := range f.services {
		if conn != nil {
			_ = conn.Close()
		}
	}
}

// forwardIngress sprays callers' packets over the instances.
func (f *Fabric) forwardIngress(ctx context.Context, service netip.AddrPort, conn *net.UDPConn) error {
	buf := make([]byte, maxDatagram)
	for {
		n, from, err := conn.ReadFromUDPAddrPort(buf)
		if ctx.Err() != nil {
			return nil
		}
		if err != nil {
			continue
		}
		caller := netip.AddrPortFrom(from.Addr().Unmap(), from.Port())
		raw, err := frame.Format(frame.Frame{Source: caller, Dest: service, Payload: buf[:n]})
		if err != nil {
			continue
		}
		for range f.copyCount() {
			if instance := f.pickInstance(); instance.IsValid() {
				_, _ = f.egress.WriteToUDPAddrPort(raw, instance)
			}
		}
	}
}

func (f *Fabric) copyCount() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.cfg.DuplicateRate > 0 && f.rng.Float64() < f.cfg.DuplicateRate {
		return 2
	}
	return 1
}

func (f *Fabric) pickInstance() netip.AddrPort {
	instances := *f.instances.Load()
	if len(instances) == 0 {
		return netip.AddrPort{}
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	return instances[f.rng.IntN(len(instances))]
}

// forwardEgress sends the instances' packets to callers from the service address.
func (f *Fabric) forwardEgress(ctx context.Context) error {
	buf := make([]byte, maxDatagram)
	for {
		n, _, err := f.egress.ReadFromUDPAddrPort(buf)
		if ctx.Err() != nil {
			return nil
		}
		if err != nil {
			continue
		}
		fr, err := frame.Parse(buf[:n])
		if err != nil {
			continue
		}
		if conn := f.services[fr.Source]; conn != nil {
			_, _ = conn.WriteToUDPAddrPort(fr.Payload, fr.Dest)
		}
	}
}
