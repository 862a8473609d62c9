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
	// proxyPort, proxyGroup and proxyHostBase form the addresses of the proxies, which are numbered from 1. Proxy n listens at
	// 127.x.proxyGroup.(proxyHostBase+n):proxyPort, where x is the second byte of the fleet's own addresses.
	proxyPort     = 7500
	proxyGroup    = 60
	proxyHostBase = 15
	maxDatagram   = 64 << 10
)

// datagramFaults holds the probabilities that a datagram is dropped, duplicated or delayed, from 0 to 1.
type datagramFaults struct {
	dropRate, duplicateRate, delayRate float64
	// maxDelay is the upper bound of a delayed datagram's delay, which is drawn uniformly.
	maxDelay time.Duration
}

// faultNetwork is a set of fault proxies on the links of a fleet. It blocks links between failure domains, and drops, delays, reorders and
// duplicates datagrams.
type faultNetwork struct {
	t *testing.T

	mu sync.Mutex
	// All below is guarded by mu.
	closers    []func()
	rng        *rand.Rand
	proxyCount int
	// names holds the name of the instance at each address, and domains the failure domain of each instance and upstream.
	names   map[netip.Addr]string
	domains map[string]string
	// blocked holds the blocked directions between failure domains, as pairs of sender and receiver.
	blocked map[[2]string]bool
	faults  datagramFaults
}

func newFaultNetwork(t *testing.T) *faultNetwork {
	return &faultNetwork{
		t:       t,
		rng:     rand.New(rand.NewPCG(seed, 3)),
		names:   map[netip.Addr]string{},
		domains: map[string]string{"platform": "platform"},
		blocked: map[[2]string]bool{},
	}
}

// register records the addresses and failure domains of the fleet's instances and the failure domains of its upstreams.
func (n *faultNetwork) register(f *fleet.Fleet) {
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

func (n *faultNetwork) close() {
	n.mu.Lock()
	closers := n.closers
	n.closers = nil
	n.mu.Unlock()
	for _, c := range closers {
		c()
	}
}

// addCloser adds a function that close calls.
func (n *faultNetwork) addCloser(c func()) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.closers = append(n.closers, c)
}

// partition blocks both directions between two failure domains; "platform" names the platform's store.
func (n *faultNetwork) partition(a, b model.DomainID) {
	n.setBlocked(a, b, true)
}

// heal ends all partitions.
func (n *faultNetwork) heal() {
	n.mu.Lock()
	pairs := make([][2]string, 0, len(n.blocked))
	for pair := range n.blocked {
		pairs = append(pairs, pair)
	}
	n.mu.Unlock()
	for _, pair := range pairs {
		n.setBlocked(model.DomainID(pair[0]), model.DomainID(pair[1]), false)
	}
}

func (n *faultNetwork) setBlocked(a, b model.DomainID, blocked bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.blocked[[2]string{string(a), string(b)}] = blocked
	n.blocked[[2]string{string(b), string(a)}] = blocked
}

func (n *faultNetwork) setDatagramFaults(faults datagramFaults) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.faults = faults
}

// Blocked implements tunnel.Links.
func (n *faultNetwork) Blocked(from, to string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.blocked[[2]string{n.domains[from], n.domains[to]}]
}

// Delay implements tunnel.Links.
func (n *faultNetwork) Delay(string, string) time.Duration {
	return 0
}

// instanceAt returns the name of the instance at the address, or the empty string if there is none.
func (n *faultNetwork) instanceAt(addr netip.Addr) string {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.names[addr.Unmap()]
}

// drawDelays draws the delay of each copy of a datagram: none if it is lost, two if it is duplicated, which mayRepeat allows.
func (n *faultNetwork) drawDelays(mayRepeat bool) []time.Duration {
	n.mu.Lock()
	defer n.mu.Unlock()
	faults := n.faults
	if n.rng.Float64() < faults.dropRate {
		return nil
	}
	delays := []time.Duration{0}
	if mayRepeat && n.rng.Float64() < faults.duplicateRate {
		delays = append(delays, 0)
	}
	for i := range delays {
		if n.rng.Float64() < faults.delayRate {
			delays[i] = time.Duration(n.rng.Float64() * float64(faults.maxDelay))
		}
	}
	return delays
}

// wire implements fleet.Wiring: it starts a proxy in front of the target and returns the proxy's address.
func (n *faultNetwork) wire(role fleet.LinkKind, server string, target netip.AddrPort) (netip.AddrPort, error) {
	n.mu.Lock()
	n.proxyCount++
	host := n.proxyCount
	n.mu.Unlock()
	ip := target.Addr().As4()
	addr := netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, ip[1], proxyGroup, byte(proxyHostBase + host)}), proxyPort)
	if role == fleet.LinkControl || role == fleet.LinkPlatform {
		return addr, n.proxyTCP(addr, server, target)
	}
	return addr, n.proxyUDP(addr, server, target, role == fleet.LinkUpstream)
}

func (n *faultNetwork) proxyTCP(addr netip.AddrPort, server string, target netip.AddrPort) error {
	l, err := net.Listen("tcp", addr.String())
	if err != nil {
		return err
	}
	p := tunnel.New(tunnel.Config{Listener: l, Target: target, ServerName: server, ClientName: n.instanceAt, Links: n})
	n.addCloser(p.Close)
	return nil
}

func (n *faultNetwork) proxyUDP(addr netip.AddrPort, server string, target netip.AddrPort, replies bool) error {
	conn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(addr))
	if err != nil {
		return err
	}
	_ = conn.SetReadBuffer(4 << 20)
	n.addCloser(func() { _ = conn.Close() })
	p := &udpProxy{net: n, conn: conn, server: server, target: target, replies: replies, serverConns: map[netip.AddrPort]*net.UDPConn{}}
	go p.run()
	return nil
}

// udpProxy forwards datagrams to one server, and with replies also the server's datagrams back to the clients.
type udpProxy struct {
	net         *faultNetwork
	conn        *net.UDPConn
	server      string
	target      netip.AddrPort
	replies     bool
	serverConns map[netip.AddrPort]*net.UDPConn
}

func (p *udpProxy) run() {
	buf := make([]byte, maxDatagram)
	for {
		size, client, err := p.conn.ReadFromUDPAddrPort(buf)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			continue
		}
		clientName := p.net.instanceAt(client.Addr())
		out, err := p.serverConn(client, clientName)
		if err != nil || p.net.Blocked(clientName, p.server) {
			continue
		}
		// The fake upstreams detect no repeats, so nothing on the way can keep a booking that the network repeats to them from running twice.
		p.net.deliver(buf[:size], !p.replies, func(raw []byte) { _, _ = out.Write(raw) })
	}
}

// serverConn returns the socket that forwards the datagrams of one client to the server; it opens one for a new client.
func (p *udpProxy) serverConn(client netip.AddrPort, clientName string) (*net.UDPConn, error) {
	if out := p.serverConns[client]; out != nil {
		return out, nil
	}
	out, err := net.DialUDP("udp", nil, net.UDPAddrFromAddrPort(p.target))
	if err != nil {
		return nil, err
	}
	p.serverConns[client] = out
	p.net.addCloser(func() { _ = out.Close() })
	if p.replies {
		go p.forwardReplies(out, client, clientName)
	}
	return out, nil
}

// forwardReplies forwards the server's datagrams to one client until the socket is closed.
func (p *udpProxy) forwardReplies(out *net.UDPConn, client netip.AddrPort, clientName string) {
	buf := make([]byte, maxDatagram)
	for {
		size, err := out.Read(buf)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil || p.net.Blocked(p.server, clientName) {
			continue
		}
		p.net.deliver(buf[:size], true, func(raw []byte) { _, _ = p.conn.WriteToUDPAddrPort(raw, client) })
	}
}

// deliver sends the copies of a datagram after the delays that drawDelays returns. Copies with different delays can arrive out of order.
func (n *faultNetwork) deliver(raw []byte, mayRepeat bool, send func([]byte)) {
	for _, delay := range n.drawDelays(mayRepeat) {
		if delay == 0 {
			send(raw)
			continue
		}
		datagram := append([]byte{}, raw...)
		time.AfterFunc(delay, func() { send(datagram) })
	}
}
