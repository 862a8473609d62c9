package whole

import (
	"errors"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"testing"
	"time"

	"hawthorncourse/internal/bench/fleet"
	"hawthorncourse/internal/core/model"
	"hawthorncourse/internal/stand/tunnel"
)

const (
	relayPort  = 7500
	relayGroup = 60
	relayBase  = 15
	maxPacket  = 64 << 10
)

// weather is what happens to datagrams.
type weather struct {
	drop, double, delay float64
	// late is how long a delayed datagram takes at most.
	late time.Duration
}

// faultNet stands between the parts of a fleet: it cuts links, and drops, delays, reorders and doubles datagrams.
type faultNet struct {
	t      *testing.T
	closed []func()

	mu sync.Mutex
	// all below is guarded by mu.
	rng     *rand.Rand
	hosts   int
	names   map[netip.Addr]string
	domains map[string]string
	cuts    map[[2]string]bool
	weather weather
}

func newFaultNet(t *testing.T) *faultNet {
	return &faultNet{
		t:       t,
		rng:     rand.New(rand.NewPCG(seed, 3)),
		names:   map[netip.Addr]string{},
		domains: map[string]string{"platform": "platform"},
		cuts:    map[[2]string]bool{},
	}
}

// attach learns which instance has which address, and where upstreams are.
func (n *faultNet) attach(f *fleet.Fleet) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, in := range f.Instances {
		n.names[in.Control.Addr()] = string(in.ID)
		n.domains[string(in.ID)] = string(in.Domain)
	}
	for name, domain := range f.UpstreamDomains() {
		n.domains[name] = string(domain)
	}
}

func (n *faultNet) close() {
	for _, c := range n.closed {
		c()
	}
}

// cut severs both directions between two domains; "platform" counts as one.
func (n *faultNet) cut(a, b model.DomainID) {
	n.set(a, b, true)
}

// heal ends every cut.
func (n *faultNet) heal() {
	n.mu.Lock()
	pairs := make([][2]string, 0, len(n.cuts))
	for pair := range n.cuts {
		pairs = append(pairs, pair)
	}
	n.mu.Unlock()
	for _, pair := range pairs {
		n.set(model.DomainID(pair[0]), model.DomainID(pair[1]), false)
	}
}

func (n *faultNet) set(a, b model.DomainID, cut bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cuts[[2]string{string(a), string(b)}] = cut
	n.cuts[[2]string{string(b), string(a)}] = cut
}

func (n *faultNet) setWeather(w weather) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.weather = w
}

// Blocked implements tunnel.Links.
func (n *faultNet) Blocked(from, to string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.cuts[[2]string{n.domains[from], n.domains[to]}]
}

// Delay implements tunnel.Links.
func (n *faultNet) Delay(string, string) time.Duration {
	return 0
}

func (n *faultNet) nameOf(addr netip.Addr) string {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.names[addr.Unmap()]
}

// fate returns the delays after which a datagram arrives: none for a lost one, two for a doubled one.
func (n *faultNet) fate() []time.Duration {
	n.mu.Lock()
	defer n.mu.Unlock()
	w := n.weather
	if n.rng.Float64() < w.drop {
		return nil
	}
	delays := []time.Duration{0}
	if n.rng.Float64() < w.double {
		delays = append(delays, 0)
	}
	for i := range delays {
		if n.rng.Float64() < w.delay {
			delays[i] = time.Duration(n.rng.Float64() * float64(w.late))
		}
	}
	return delays
}

// wire implements fleet.Wiring.
func (n *faultNet) wire(role fleet.Role, owner string, real netip.AddrPort) (netip.AddrPort, error) {
	n.mu.Lock()
	n.hosts++
	host := n.hosts
	n.mu.Unlock()
	ip := real.Addr().As4()
	addr := netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, ip[1], relayGroup, byte(relayBase + host)}), relayPort)
	if role == fleet.RoleControl || role == fleet.RolePlatform {
		return addr, n.relayTCP(addr, owner, real)
	}
	return addr, n.relayUDP(addr, owner, real, role == fleet.RoleUpstream)
}

func (n *faultNet) relayTCP(addr netip.AddrPort, owner string, real netip.AddrPort) error {
	l, err := net.Listen("tcp", addr.String())
	if err != nil {
		return err
	}
	t := tunnel.New(tunnel.Config{Listener: l, Target: real, ServerName: owner, ClientName: n.nameOf, Links: n})
	n.closed = append(n.closed, t.Close)
	return nil
}

func (n *faultNet) relayUDP(addr netip.AddrPort, owner string, real netip.AddrPort, answers bool) error {
	conn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(addr))
	if err != nil {
		return err
	}
	_ = conn.SetReadBuffer(4 << 20)
	n.closed = append(n.closed, func() { _ = conn.Close() })
	r := &udpRelay{n: n, conn: conn, owner: owner, real: real, answers: answers, back: map[netip.AddrPort]*net.UDPConn{}}
	go r.run()
	return nil
}

// udpRelay passes datagrams to one owner, and its answers back the way they came.
type udpRelay struct {
	n       *faultNet
	conn    *net.UDPConn
	owner   string
	real    netip.AddrPort
	answers bool
	back    map[netip.AddrPort]*net.UDPConn
}

func (r *udpRelay) run() {
	buf := make([]byte, maxPacket)
	for {
		size, from, err := r.conn.ReadFromUDPAddrPort(buf)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			continue
		}
		name := r.n.nameOf(from.Addr())
		out, err := r.toward(from, name)
		if err != nil || r.n.Blocked(name, r.owner) {
			continue
		}
		r.n.deliver(buf[:size], func(raw []byte) { _, _ = out.Write(raw) })
	}
}

// toward returns the socket that speaks to the owner for one source.
func (r *udpRelay) toward(from netip.AddrPort, name string) (*net.UDPConn, error) {
	if out := r.back[from]; out != nil {
		return out, nil
	}
	out, err := net.DialUDP("udp", nil, net.UDPAddrFromAddrPort(r.real))
	if err != nil {
		return nil, err
	}
	r.back[from] = out
	r.n.mu.Lock()
	r.n.closed = append(r.n.closed, func() { _ = out.Close() })
	r.n.mu.Unlock()
	if r.answers {
		go r.answer(out, from, name)
	}
	return out, nil
}

func (r *udpRelay) answer(out *net.UDPConn, to netip.AddrPort, name string) {
	buf := make([]byte, maxPacket)
	for {
		size, err := out.Read(buf)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil || r.n.Blocked(r.owner, name) {
			continue
		}
		r.n.deliver(buf[:size], func(raw []byte) { _, _ = r.conn.WriteToUDPAddrPort(raw, to) })
	}
}

// deliver sends a datagram according to its fate.
func (n *faultNet) deliver(raw []byte, send func([]byte)) {
	for _, delay := range n.fate() {
		if delay == 0 {
			send(raw)
			continue
		}
		kept := append([]byte{}, raw...)
		time.AfterFunc(delay, func() { send(kept) })
	}
}
