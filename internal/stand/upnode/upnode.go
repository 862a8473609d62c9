// Package upnode is a stand-in for an upstream: requests with slots, streams, drains, cold starts, shedding and misleading reports.
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

// Config is what a Node is built from.
type Config struct {
	// Name is told in every answer.
	Name string
	// Service is the only service address whose packets belong here.
	Service netip.AddrPort
	// Address receives packets.
	Address netip.AddrPort
	// Slots, Connections, ColdSlots, ColdConnections and ColdFor are what the upstream bears.
	Slots, Connections         int
	ColdSlots, ColdConnections int
	ColdFor                    time.Duration
	// RequestTime is the mean time of one request.
	RequestTime time.Duration
	// NotificationInterval is the time between two notifications of a stream.
	NotificationInterval time.Duration
	// Opaque makes the node echo datagrams instead of speaking CoAP.
	Opaque bool
	// Seed feeds service times.
	Seed uint64
}

// Stats is what a node has seen since it was made, over all its starts.
type Stats struct {
	// Executions counts the runs of each booking by its reference.
	Executions map[string]int
	// Misrouted counts packets of other services.
	Misrouted int
	// Packets counts all packets.
	Packets int
	// LastPacket is when the last packet of a caller came.
	LastPacket time.Time
	// Requests counts requests that were run; Shed those that were not.
	Requests, Shed int
	// StreamsOpened counts streams opened, LastOpened is when the last one was.
	StreamsOpened int
	// LastArrival is when the last new request or stream came.
	LastArrival time.Time
	// MaxColdRunning and ColdOpened are the most requests at once and streams opened during any cold start, shed ones too.
	MaxColdRunning, MaxColdOpened int
	// MaxRunning is the most requests at once, shed ones too.
	MaxRunning int
	// BusyTime adds up the time that slots were in use.
	BusyTime time.Duration
}

// Node is one stand-in upstream.
type Node struct {
	cfg            Config
	conn           *net.UDPConn
	healthServer   *http.Server
	healthListener net.Listener

	mu sync.Mutex
	// all below is guarded by mu.
	rng             *rand.Rand
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

// HealthReport is what the health endpoint says.
type HealthReport struct {
	State       string `json:"state"`
	Connections int    `json:"connections"`
}

// New opens the sockets of a node, which is warm.
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

// Address returns where the node receives packets.
func (n *Node) Address() netip.AddrPort {
	return n.conn.LocalAddr().(*net.UDPAddr).AddrPort()
}

// HealthAddress returns the address of the health and load endpoint.
func (n *Node) HealthAddress() netip.AddrPort {
	return n.healthListener.Addr().(*net.TCPAddr).AddrPort()
}

// Run serves until the context ends.
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

// Kill makes the node silent and forgets its streams.
func (n *Node) Kill() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.down = true
	n.running = 0
	clear(n.streams)
}

// Restart makes a new start, in cold start.
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

// SetDraining makes the node say that it drains.
func (n *Node) SetDraining(on bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.draining = on
}

// SetShedding makes the node refuse every request.
func (n *Node) SetShedding(on bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.shedding = on
}

// OverrideHealth makes the health endpoint say r, whatever is true; nil ends it.
func (n *Node) OverrideHealth(r *HealthReport) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.healthOverride = r
}

// Stats returns a copy of what the node has seen.
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

// Streams returns the number of open streams.
func (n *Node) Streams() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return len(n.streams)
}

// Name returns the node's name.
func (n *Node) Name() string {
	return n.cfg.Name
}

// handlePacket handles one packet.
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

// send sends a payload back the way that f came.
func (n *Node) send(caller netip.AddrPort, payload []byte, to netip.AddrPort, boot uint64) {
	raw, err := frame.Format(frame.Frame{Source: n.cfg.Service, Dest: caller, Boot: bootID(boot), Payload: payload})
	if err != nil {
		return
	}
	_, _ = n.conn.WriteToUDPAddrPort(raw, to)
}

// cold reports whether the node is in cold start; mu must be held.
func (n *Node) cold() bool {
	return time.Now().Before(n.coldUntil)
}
