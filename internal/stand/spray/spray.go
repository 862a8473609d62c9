// Package spray provides a fake network fabric with packet spraying: it sends each packet of a caller to a random instance, without regard to
// flows.
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

// Config configures a Fabric.
type Config struct {
	// EgressAddress is the UDP address to which instances send packets for callers.
	EgressAddress netip.AddrPort
	// Services holds the service addresses to which callers send packets.
	Services []netip.AddrPort
	// Seed is the random seed of the choice of instances and of duplicated packets.
	Seed uint64
	// DuplicateRate is the share of the callers' packets that are sent twice, from 0 to 1.
	DuplicateRate float64
}

// Fabric forwards packets between callers and instances.
type Fabric struct {
	cfg       Config
	egress    *net.UDPConn
	services  map[netip.AddrPort]*net.UDPConn
	instances atomic.Pointer[[]netip.AddrPort]

	mu sync.Mutex
	// rng is guarded by mu.
	rng *rand.Rand
}

// New opens the sockets of a fabric, which has no instances yet.
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
		_ = conn.Close()
		return nil, err
	}
	return conn, nil
}

// EgressAddress returns the UDP address to which instances send packets for callers.
func (f *Fabric) EgressAddress() netip.AddrPort {
	return f.egress.LocalAddr().(*net.UDPAddr).AddrPort()
}

// SetInstances replaces the instances over which packets are sprayed. Without instances, callers' packets are dropped.
func (f *Fabric) SetInstances(instances []netip.AddrPort) {
	list := append([]netip.AddrPort{}, instances...)
	f.instances.Store(&list)
}

// Run forwards packets until ctx ends.
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

// forwardIngress sprays the packets of callers to one service over the instances. Each copy of a duplicated packet goes to a random instance.
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

// copyCount returns how many times a packet is sent.
func (f *Fabric) copyCount() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.cfg.DuplicateRate > 0 && f.rng.Float64() < f.cfg.DuplicateRate {
		return 2
	}
	return 1
}

// pickInstance returns the address of a random instance, or an invalid address if there is none.
func (f *Fabric) pickInstance() netip.AddrPort {
	instances := *f.instances.Load()
	if len(instances) == 0 {
		return netip.AddrPort{}
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	return instances[f.rng.IntN(len(instances))]
}

// forwardEgress sends the packets of instances on to callers, from the service's address.
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
