// Package tunnel passes connections between two named parties and harms them as its links say.
package tunnel

import (
	"net"
	"net/netip"
	"sync"
	"time"
)

const (
	// pollInterval is how often a cut link looks whether it is whole again.
	pollInterval = 10 * time.Millisecond
	bufferSize   = 64 << 10
)

// Links tells what happens to bytes on their way from one party to another.
type Links interface {
	// Blocked reports whether nothing passes at present.
	Blocked(from, to string) bool
	// Delay is how much later bytes arrive.
	Delay(from, to string) time.Duration
}

// Proxy listens in the place of one party.
type Proxy struct {
	listener   net.Listener
	target     netip.AddrPort
	serverName string
	clientName func(netip.Addr) string
	links      Links

	mu sync.Mutex
	// conns holds the connections that are open, by their caller's name; it is guarded by mu.
	conns map[net.Conn]string
}

// Config is what a Tunnel is built from.
type Config struct {
	// Listener takes connections in the place of the owner.
	Listener net.Listener
	// Target is where the owner listens.
	Target netip.AddrPort
	// ServerName is the name of the party that is called.
	ServerName string
	// ClientName names the party that calls from an address.
	ClientName func(netip.Addr) string
	// Links tells what happens on the way.
	Links Links
}

// New returns a tunnel that passes connections until Close.
func New(cfg Config) *Proxy {
	p := &Proxy{listener: cfg.Listener, target: cfg.Target, serverName: cfg.ServerName, clientName: cfg.ClientName, links: cfg.Links, conns: map[net.Conn]string{}}
	go p.serve()
	return p
}

// Close ends the tunnel and its connections.
func (p *Proxy) Close() {
	_ = p.listener.Close()
	p.Reset("")
}

// Reset closes the connections of a caller, or of all if it is empty, without a farewell.
func (p *Proxy) Reset(client string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for conn, name := range p.conns {
		if client != "" && name != client {
			continue
		}
		if tcp, ok := conn.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		_ = conn.Close()
	}
}

func (p *Proxy) serve() {
	for {
		conn, err := p.listener.Accept()
		if err != nil {
			return
		}
		go p.handle(conn)
	}
}

// handle copies between two ends while their link is whole; a cut link is silent, and its connections end once it is healed.
func (p *Proxy) handle(conn net.Conn) {
	defer conn.Close()
	client := p.clientName(conn.RemoteAddr().(*net.TCPAddr).AddrPort().Addr().Unmap())
	if p.waitUnblocked(client, p.serverName) || p.waitUnblocked(p.serverName, client) {
		return
	}
	server, err := net.Dial("tcp", p.target.String())
	if err != nil {
		return
	}
	defer server.Close()
	p.track(conn, client)
	defer p.untrack(conn)
	var g sync.WaitGroup
	g.Go(func() { p.forward(server, conn, client, p.serverName) })
	g.Go(func() { p.forward(conn, server, p.serverName, client) })
	g.Wait()
}

func (p *Proxy) track(conn net.Conn, client string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.conns[conn] = client
}

func (p *Proxy) untrack(conn net.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.conns, conn)
}

// waitUnblocked waits until the link is whole; it reports whether it was cut.
func (p *Proxy) waitUnblocked(from, to string) (wasBlocked bool) {
	for p.links.Blocked(from, to) {
		wasBlocked = true
		time.Sleep(pollInterval)
	}
	return wasBlocked
}

func (p *Proxy) forward(dst, src net.Conn, from, to string) {
	defer dst.Close()
	buf := make([]byte, bufferSize)
	for {
		n, err := src.Read(buf)
		if err != nil || p.waitUnblocked(from, to) {
			return
		}
		time.Sleep(p.links.Delay(from, to))
		if _, err := dst.Write(buf[:n]); err != nil {
			return
		}
	}
}
