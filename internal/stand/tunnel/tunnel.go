// Package tunnel provides a TCP proxy that delays and blocks traffic between a client and a server, for tests of network faults.
package tunnel

import (
	"net"
	"net/netip"
	"sync"
	"time"
)

const (
	// pollInterval is the time between two checks whether a blocked direction is still blocked.
	pollInterval = 10 * time.Millisecond
	// bufferSize is the maximum size of a chunk of data, in bytes.
	bufferSize = 64 << 10
)

// Links describes the current faults between parties, which are given by name. The two directions between two parties are independent.
type Links interface {
	// Blocked reports whether traffic is currently blocked.
	Blocked(from, to string) bool
	// Delay returns the delay that is added to each chunk of data.
	Delay(from, to string) time.Duration
}

// Proxy accepts connections on behalf of one server and forwards them to it.
type Proxy struct {
	listener   net.Listener
	target     netip.AddrPort
	serverName string
	clientName func(netip.Addr) string
	links      Links

	// closed is closed by Close, which ends the waits for the end of a block.
	closed    chan struct{}
	closeOnce sync.Once

	mu sync.Mutex
	// conns maps the open connections of clients to the client's name; it is guarded by mu.
	conns map[net.Conn]string
}

// Config configures a Proxy.
type Config struct {
	// Listener accepts the connections to forward; the proxy closes it.
	Listener net.Listener
	// Target is the address of the server.
	Target netip.AddrPort
	// ServerName is the name of the server in calls of Links.
	ServerName string
	// ClientName returns the name of the client that connects from an address.
	ClientName func(netip.Addr) string
	// Links describes the faults to inject.
	Links Links
}

// New starts a proxy that forwards connections until Close.
func New(cfg Config) *Proxy {
	p := &Proxy{
		listener: cfg.Listener, target: cfg.Target, serverName: cfg.ServerName, clientName: cfg.ClientName, links: cfg.Links,
		closed: make(chan struct{}), conns: map[net.Conn]string{},
	}
	go p.serve()
	return p
}

// Close closes the listener and resets all connections, also those that wait for the end of a block.
func (p *Proxy) Close() {
	_ = p.listener.Close()
	p.closeOnce.Do(func() { close(p.closed) })
	p.Reset("")
}

// Reset resets the connections of a client, or all connections if the name is empty: clients see a TCP RST instead of a regular close.
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

// handle forwards one connection in both directions. While a direction is blocked, its data is held and nothing is closed, as in a network
// partition. A connection whose data was held, or that was opened during the block, is closed once the block is lifted.
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

// waitUnblocked waits until a direction is not blocked or the proxy is closed, and reports whether it had to wait.
func (p *Proxy) waitUnblocked(from, to string) (wasBlocked bool) {
	for p.links.Blocked(from, to) {
		wasBlocked = true
		select {
		case <-p.closed:
			return true
		case <-time.After(pollInterval):
		}
	}
	return wasBlocked
}

// forward copies data from src to dst until one of them fails, then closes dst. After a block that held data is lifted, it drops the data and
// closes dst too.
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
