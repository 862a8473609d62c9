// Package upnode provides a fake upstream. It runs requests in a limited number of slots, keeps CoAP observe streams, and simulates crashes,
// cold starts, drains, load shedding and false health reports.
package upnode

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"hawthorncourse/internal/wire/frame"
)

const (
	maxDatagram  = 64 << 10
	socketBuffer = 4 << 20
)

// Config configures a Node.
type Config struct {
	// Name is the node's name, which is part of every response.
	Name string
	// Service is the address of the node's service; packets to other services are counted as misrouted and dropped.
	Service netip.AddrPort
	// Address is the UDP address that packets arrive at.
	Address netip.AddrPort
	// Slots and Connections limit the concurrent requests and the open streams.
	Slots, Connections int
	// ColdSlots replaces Slots during a cold start. ColdConnections is the number of streams that may be opened in a cold start; the node does
	// not enforce it, but counts the opened streams in Stats.MaxColdOpened.
	ColdSlots, ColdConnections int
	// ColdFor is the duration of a cold start.
	ColdFor time.Duration
	// RequestTime is the mean duration of a request.
	RequestTime time.Duration
	// NotificationInterval is the time between two notifications of a stream.
	NotificationInterval time.Duration
	// Opaque makes the node echo datagrams instead of handling CoAP.
	Opaque bool
	// Seed is the random seed of request times, boot IDs and stream IDs.
	Seed uint64
}

// Stats holds what a node has counted since New, over all restarts.
type Stats struct {
	// Executions counts the executions of each booking, by its reference. Bookings are POST requests, which must not run twice.
	Executions map[string]int
	// Misrouted counts packets to other services.
	Misrouted int
	// Packets counts all packets, also those that arrived while the node was down.
	Packets int
	// LastPacket is when the last packet arrived.
	LastPacket time.Time
	// Requests counts the requests that were run, and Shed the requests and streams that were refused.
	Requests, Shed int
	// StreamsOpened counts the streams and opaque flows that were opened.
	StreamsOpened int
	// LastArrival is when the last request, new stream or new opaque flow arrived, refused ones included.
	LastArrival time.Time
	// MaxColdRunning and MaxColdOpened are the maxima over all cold starts of concurrent requests and of opened streams, refused ones included.
	MaxColdRunning, MaxColdOpened int
	// MaxRunning is the maximum of concurrent requests, refused ones included.
	MaxRunning int
	// BusyTime is the sum of the durations of all finished requests.
	BusyTime time.Duration
}

// Node is one fake upstream.
type Node struct {
	cfg            Config
	conn           *net.UDPConn
	healthServer   *http.Server
	healthListener net.Listener

	mu sync.Mutex
	// All below is guarded by mu.
	rng *rand.Rand
	// boot is the boot ID, which changes with every restart.
	boot            uint64
	down            bool
	coldUntil       time.Time
	openedWhileCold int
	draining        bool
	shedding        bool
	healthOverride  *HealthReport
	running         int
	streams         map[streamKey]*stream
	stats           Stats
	messageID       uint16
}

// HealthReport is the response of the health endpoint. State is warm, cold or draining; Connections is the number of open streams.
type HealthReport struct {
	State       string `json:"state"`
	Connections int    `json:"connections"`
}

// New opens the sockets of a node, which starts warm. Packets are handled once Run is called.
func New(cfg Config) (*Node, error) {
	conn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(cfg.Address))
	if err != nil {
		return nil, err
	}
	_ = conn.SetReadBuffer(socketBuffer)
	healthListener, err := net.Listen("tcp", netip.AddrPortFrom(cfg.Address.Addr(), 0).String())
	if err != nil {
		_ = conn.Close()
		return nil, err
	}
	n := &Node{
		cfg:            cfg,
		conn:           conn,
		healthListener: healthListener,
		rng:            rand.New(rand.NewPCG(cfg.Seed, 1)),
		streams:        map[streamKey]*stream{},
		stats:          Stats{Executions: map[string]int{}},
	}
	n.boot = n.rng.Uint64() | 1
	n.healthServer = &http.Server{Handler: http.HandlerFunc(n.serveHealth), ReadHeaderTimeout: time.Second}
	return n, nil
}

// Address returns the UDP address that packets arrive at.
func (n *Node) Address() netip.AddrPort {
	return n.conn.LocalAddr().(*net.UDPAddr).AddrPort()
}

// HealthAddress returns the TCP address of the health endpoint.
func (n *Node) HealthAddress() netip.AddrPort {
	return n.healthListener.Addr().(*net.TCPAddr).AddrPort()
}

// Run handles packets and health checks until ctx ends.
func (n *Node) Run(ctx context.Context) error {
	stop := context.AfterFunc(ctx, func() {
		_ = n.conn.Close()
		_ = n.healthServer.Close()
	})
	defer stop()
	go func() { _ = n.healthServer.Serve(n.healthListener) }()
	go n.runNotifications(ctx)
	buf := make([]byte, maxDatagram)
	for {
		size, from, err := n.conn.ReadFromUDPAddrPort(buf)
		if ctx.Err() != nil {
			return nil
		}
		if err != nil {
			continue
		}
		raw := make([]byte, size)
		copy(raw, buf[:size])
		f, err := frame.Parse(raw)
		if err != nil {
			continue
		}
		n.handlePacket(ctx, f, netip.AddrPortFrom(from.Addr().Unmap(), from.Port()))
	}
}

// Kill simulates a crash: the node drops its requests and streams and does not respond until Restart.
func (n *Node) Kill() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.down = true
	n.running = 0
	clear(n.streams)
}

// Restart simulates a restart: the node has a new boot ID and no streams, and starts cold.
func (n *Node) Restart() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.down = false
	n.boot = n.rng.Uint64() | 1
	n.coldUntil = time.Now().Add(n.cfg.ColdFor)
	n.openedWhileCold = 0
	n.running = 0
	clear(n.streams)
}

// SetDraining sets whether the health endpoint reports that the node is draining. Requests are still accepted.
func (n *Node) SetDraining(on bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.draining = on
}

// SetShedding sets whether the node sheds every request. New streams are still accepted.
func (n *Node) SetShedding(on bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.shedding = on
}

// OverrideHealth makes the health endpoint report r regardless of the node's state, even while it is down. A nil r restores true reports.
func (n *Node) OverrideHealth(r *HealthReport) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.healthOverride = r
}

// Stats returns a copy of the node's counts.
func (n *Node) Stats() Stats {
	n.mu.Lock()
	defer n.mu.Unlock()
	out := n.stats
	out.Executions = make(map[string]int, len(n.stats.Executions))
	for ref, executions := range n.stats.Executions {
		out.Executions[ref] = executions
	}
	return out
}

// Streams returns the number of open streams and opaque flows.
func (n *Node) Streams() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return len(n.streams)
}

// Name returns the node's name.
func (n *Node) Name() string {
	return n.cfg.Name
}

// handlePacket handles one packet, which the instance at from has forwarded.
func (n *Node) handlePacket(ctx context.Context, f frame.Frame, from netip.AddrPort) {
	n.mu.Lock()
	n.stats.Packets++
	n.stats.LastPacket = time.Now()
	misrouted := f.Dest != n.cfg.Service
	if misrouted {
		n.stats.Misrouted++
	}
	down := n.down
	n.mu.Unlock()
	if down || misrouted {
		return
	}
	if n.cfg.Opaque {
		n.echo(f, from)
		return
	}
	n.handleCoAP(ctx, f, from)
}

// send sends a payload to a caller through the instance at to.
func (n *Node) send(caller netip.AddrPort, payload []byte, to netip.AddrPort, boot uint64) {
	raw, err := frame.Format(frame.Frame{Source: n.cfg.Service, Dest: caller, Boot: bootID(boot), Payload: payload})
	if err != nil {
		return
	}
	_, _ = n.conn.WriteToUDPAddrPort(raw, to)
}

// cold reports whether the node is in a cold start; mu must be held.
func (n *Node) cold() bool {
	return time.Now().Before(n.coldUntil)
}
