// Package links keeps the connections of calls between instances.
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
	linkLimit   = 64
	dialTimeout = time.Second
)

// ErrTimeout means that a peer did not answer in time.
var ErrTimeout = eris.New("peer did not answer in time")

// Pool keeps a connection to each peer that was called lately.
type Pool struct {
	dialer  net.Dialer
	in, out tally.Counter
	// failed counts connections that could not be accepted.
	failed tally.Counter

	mu sync.Mutex
	// clients is guarded by mu and holds at most linkLimit.
	clients map[netip.AddrPort]*rpc.Client
}

// New returns links that call from the local address; counters begin with the name.
func New(name string, local net.Addr, counts *count.Set) *Pool {
	l := &Pool{
		in:      counts.Counter(name + ".bytes_in"),
		out:     counts.Counter(name + ".bytes_out"),
		failed:  counts.Counter(name + ".accept_failed"),
		clients: map[netip.AddrPort]*rpc.Client{},
	}
	l.dialer.Timeout = dialTimeout
	if addr, ok := local.(*net.TCPAddr); ok && !addr.IP.IsUnspecified() {
		l.dialer.LocalAddr = &net.TCPAddr{IP: addr.IP}
	}
	return l
}

// Call calls a method of the peer and gives up after the time.
func (l *Pool) Call(ctx context.Context, addr netip.AddrPort, method string, args, reply any, patience time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, patience)
	defer cancel()
	c, err := l.client(ctx, addr)
	if err != nil {
		return err
	}
	call := c.Go(method, args, reply, make(chan *rpc.Call, 1))
	select {
	case <-call.Done:
		if call.Error != nil {
			l.drop(addr, c)
		}
		return call.Error
	case <-ctx.Done():
		l.drop(addr, c)
		return ErrTimeout
	}
}

func (l *Pool) client(ctx context.Context, addr netip.AddrPort) (*rpc.Client, error) {
	l.mu.Lock()
	c := l.clients[addr]
	l.mu.Unlock()
	if c != nil {
		return c, nil
	}
	conn, err := l.dialer.DialContext(ctx, "tcp", addr.String())
	if err != nil {
		return nil, err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if other := l.clients[addr]; other != nil {
		_ = conn.Close()
		return other, nil
	}
	c = rpc.NewClient(l.CountBytes(conn))
	if len(l.clients) >= linkLimit {
		l.evict()
	}
	l.clients[addr] = c
	return c, nil
}

// evict closes any one connection.
func (l *Pool) evict() {
	for addr, c := range l.clients {
		delete(l.clients, addr)
		_ = c.Close()
		return
	}
}

func (l *Pool) drop(addr netip.AddrPort, c *rpc.Client) {
	l.mu.Lock()
	if l.clients[addr] == c {
		delete(l.clients, addr)
	}
	l.mu.Unlock()
	_ = c.Close()
}

// Close closes every connection.
func (l *Pool) Close() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for addr, c := range l.clients {
		delete(l.clients, addr)
		_ = c.Close()
	}
}

// CountBytes returns a connection whose bytes are counted.
func (l *Pool) CountBytes(conn net.Conn) net.Conn {
	return countedConn{Conn: conn, in: l.in, out: l.out}
}

// countedConn counts the bytes of a connection.
type countedConn struct {
	net.Conn
	in, out tally.Counter
}

func (c countedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.in.Inc(int64(n))
	return n, err
}

func (c countedConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.out.Inc(int64(n))
	return n, err
}

// acceptPause keeps a listener without descriptors from spinning.
const acceptPause = 10 * time.Millisecond

// Serve answers calls that arrive at the listener until ctx ends; it then closes the listener and every connection.
func (l *Pool) Serve(ctx context.Context, listener net.Listener, srv *rpc.Server) error {
	stop := context.AfterFunc(ctx, func() { _ = listener.Close() })
	defer stop()
	for {
		conn, err := listener.Accept()
		if ctx.Err() != nil {
			return nil
		}
		if err != nil {
			l.failed.Inc(1)
			time.Sleep(acceptPause)
			continue
		}
		counted := l.CountBytes(conn)
		context.AfterFunc(ctx, func() { _ = counted.Close() })
		go srv.ServeConn(counted)
	}
}
