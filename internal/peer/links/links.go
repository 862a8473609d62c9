// Package links pools the net/rpc connections between instances and counts their traffic.
package links

import (
	"context"
	"net"
	"net/netip"
	"net/rpc"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"github.com/uber-go/tally/v4"

	"hawthorncourse/internal/base/count"
)

const (
	maxClients  = 64
	dialTimeout = time.Second
)

// ErrTimeout is returned by Call if the peer does not reply within the timeout. If the caller's context ends first, Call returns its error.
var ErrTimeout = eris.New("peer did not reply before the call timed out")

// Pool is a client pool with one connection per peer, opened by the first call. It is safe for concurrent use.
type Pool struct {
	dialer  net.Dialer
	in, out tally.Counter
	// acceptFailed counts failed calls of Accept.
	acceptFailed tally.Counter
	// onSent is called with the bytes of each write.
	onSent func(bytes int)

	mu sync.Mutex
	// clients holds at most maxClients entries and is guarded by mu.
	clients map[netip.AddrPort]*rpc.Client
}

// Config configures a Pool.
type Config struct {
	// Name is the prefix of the pool's counters.
	Name string
	// Local is the address whose IP address is the source of the connections, unless it is unspecified.
	Local net.Addr
	// Counts holds the counters.
	Counts *count.Set
	// OnSent, if not nil, is called with the bytes of each write.
	OnSent func(bytes int)
}

// New returns an empty pool.
func New(cfg Config) *Pool {
	p := &Pool{
		in:           cfg.Counts.Counter(cfg.Name + ".bytes_in"),
		out:          cfg.Counts.Counter(cfg.Name + ".bytes_out"),
		acceptFailed: cfg.Counts.Counter(cfg.Name + ".accept_failed"),
		onSent:       cfg.OnSent,
		clients:      map[netip.AddrPort]*rpc.Client{},
	}
	if p.onSent == nil {
		p.onSent = func(int) {}
	}
	p.dialer.Timeout = dialTimeout
	if addr, ok := cfg.Local.(*net.TCPAddr); ok && !addr.IP.IsUnspecified() {
		p.dialer.LocalAddr = &net.TCPAddr{IP: addr.IP}
	}
	return p
}

// Call invokes an RPC method of the peer at addr, opening a connection if there is none. The timeout covers both. After an error, including
// one returned by the method itself, the connection is closed.
func (p *Pool) Call(ctx context.Context, addr netip.AddrPort, method string, args, reply any, timeout time.Duration) error {
	callCtx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	c, err := p.client(callCtx, addr)
	if err != nil {
		return err
	}
	call := c.Go(method, args, reply, make(chan *rpc.Call, 1))
	select {
	case <-call.Done:
		if call.Error != nil {
			p.drop(addr, c)
		}
		return call.Error
	case <-callCtx.Done():
		p.drop(addr, c)
		if ctx.Err() != nil {
			return ctx.Err()
		}
		return ErrTimeout
	}
}

// Connect opens a connection to the peer at addr if there is none.
func (p *Pool) Connect(ctx context.Context, addr netip.AddrPort) error {
	_, err := p.client(ctx, addr)
	return err
}

// client returns the connection to addr, and opens one if there is none.
func (p *Pool) client(ctx context.Context, addr netip.AddrPort) (*rpc.Client, error) {
	p.mu.Lock()
	c := p.clients[addr]
	p.mu.Unlock()
	if c != nil {
		return c, nil
	}
	conn, err := p.dialer.DialContext(ctx, "tcp", addr.String())
	if err != nil {
		return nil, err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if existing := p.clients[addr]; existing != nil {
		_ = conn.Close()
		return existing, nil
	}
	c = rpc.NewClient(p.CountBytes(conn))
	if len(p.clients) >= maxClients {
		p.evict()
	}
	p.clients[addr] = c
	return c, nil
}

// evict closes an arbitrary connection; p.mu must be held.
func (p *Pool) evict() {
	for addr, c := range p.clients {
		delete(p.clients, addr)
		_ = c.Close()
		return
	}
}

// drop closes c and removes it from the pool.
func (p *Pool) drop(addr netip.AddrPort, c *rpc.Client) {
	p.mu.Lock()
	if p.clients[addr] == c {
		delete(p.clients, addr)
	}
	p.mu.Unlock()
	_ = c.Close()
}

// Close closes every connection.
func (p *Pool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for addr, c := range p.clients {
		delete(p.clients, addr)
		_ = c.Close()
	}
}

// CountBytes wraps conn so that its traffic is counted.
func (p *Pool) CountBytes(conn net.Conn) net.Conn {
	return countedConn{Conn: conn, in: p.in, out: p.out, onSent: p.onSent}
}

// countedConn counts the bytes read from and written to a connection.
type countedConn struct {
	net.Conn
	in, out tally.Counter
	onSent  func(bytes int)
}

func (c countedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.in.Inc(int64(n))
	return n, err
}

func (c countedConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.out.Inc(int64(n))
	c.onSent(n)
	return n, err
}

// acceptRetryDelay keeps Serve from busy-looping while the process is out of file descriptors.
const acceptRetryDelay = 10 * time.Millisecond

// Serve accepts connections and serves RPCs on them until ctx is cancelled; it then closes the listener and the accepted connections.
func (p *Pool) Serve(ctx context.Context, listener net.Listener, srv *rpc.Server) error {
	stop := context.AfterFunc(ctx, func() { _ = listener.Close() })
	defer stop()
	for {
		conn, err := listener.Accept()
		if ctx.Err() != nil {
			return nil
		}
		if err != nil {
			p.acceptFailed.Inc(1)
			time.Sleep(acceptRetryDelay)
			continue
		}
		go serveConn(ctx, srv, p.CountBytes(conn))
	}
}

// serveConn serves RPCs on a connection until the peer closes it or ctx is cancelled.
func serveConn(ctx context.Context, srv *rpc.Server, conn net.Conn) {
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	defer stop()
	srv.ServeConn(conn)
}
