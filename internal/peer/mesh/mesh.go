// Package mesh joins the instances: who is alive, which objects are in force, what was heard of upstreams.
package mesh

import (
	"context"
	"net"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"hawthorncourse/internal/base/count"
	"hawthorncourse/internal/base/logs"
	"hawthorncourse/internal/base/ring"
	"hawthorncourse/internal/core/engine"
	"hawthorncourse/internal/core/member"
	"hawthorncourse/internal/core/model"
	"hawthorncourse/internal/peer/links"
)

// Kind names one of the objects that instances keep alike.
type Kind uint8

// The kinds of objects.
const (
	KindDocument Kind = iota
	KindKeys
	kindCount
)

const (
	helperCount = 2
	newsPerCall = 12
	pushFan     = 3
	pullRing    = 16
	pushRing    = 16
	pullTimeout = 2 * time.Second
)

// Host is the instance that the mesh serves; the mesh holds no lock of its own while it calls.
type Host interface {
	// Object returns the object in force; version zero for none.
	Object(kind Kind) (model.Version, []byte)
	// Offer takes an object that a peer has in force.
	Offer(kind Kind, version model.Version, body []byte)
	// ApplyPeerUpdate takes a peer's letter.
	ApplyPeerUpdate(l engine.PeerUpdate)
	// Loads returns how busy this instance is.
	Loads() []engine.Load
	// SetPeerLoads takes what a peer says of how busy it is.
	SetPeerLoads(from model.InstanceID, loads []engine.Load)
	// AddAssignments takes a peer's word of flows.
	AddAssignments(copies []engine.FlowAssignment)
	// MembersChanged takes the members after any change.
	MembersChanged(members []model.Member)
}

// Config is what a Mesh is built from.
type Config struct {
	// Listener accepts calls of peers.
	Listener net.Listener
	// Member is what the membership list is built from.
	Member member.Config
	Host   Host
	Log    logs.Logger
	Counts *count.Set
	// Start is the instant zero of the process.
	Start time.Time
}

// Mesh is this instance's part of the mesh.
type Mesh struct {
	cfg   Config
	links *links.Pool
	pulls *ring.Ring[pull]
	push  *ring.Ring[struct{}]

	// reporting keeps reports to the host in order.
	reporting sync.Mutex

	mu sync.Mutex
	// list is guarded by mu.
	list *member.List
	// told is the change that the host was last told of, guarded by mu.
	told uint64
}

// New returns a mesh that knows nobody yet.
func New(cfg Config) *Mesh {
	return &Mesh{
		cfg:   cfg,
		links: links.New("mesh", cfg.Listener.Addr(), cfg.Counts),
		pulls: ring.New[pull](pullRing),
		push:  ring.New[struct{}](pushRing),
		list:  member.New(cfg.Member),
	}
}

// Run serves peers and probes them until the context ends.
func (m *Mesh) Run(ctx context.Context) error {
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error { return m.serve(ctx) })
	g.Go(func() error { return m.probe(ctx) })
	g.Go(func() error { return m.pullAll(ctx) })
	g.Go(func() error { return m.pushAll(ctx) })
	err := g.Wait()
	m.links.Close()
	return err
}

// SetDetection changes the detection time.
func (m *Mesh) SetDetection(d time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.list.SetDetection(d)
}

// Members returns every known instance.
func (m *Mesh) Members() []model.Member {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.list.Members()
}

// DomainDown reports whether no instance of the domain is believed to live.
func (m *Mesh) DomainDown(domain model.DomainID) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.list.DomainDown(domain)
}

// Leave tells the peers that this instance stops.
func (m *Mesh) Leave() {
	m.mu.Lock()
	m.list.Leave()
	m.mu.Unlock()
	m.Push()
}

// SendPeerUpdate sends a letter to a peer.
func (m *Mesh) SendPeerUpdate(ctx context.Context, l engine.PeerUpdate) error {
	return m.callPeer(ctx, l.Peer, "Tell", letterToWire(l))
}

// SendAssignments tells a peer where flows sit.
func (m *Mesh) SendAssignments(ctx context.Context, peer model.InstanceID, copies []engine.FlowAssignment) error {
	return m.callPeer(ctx, peer, "Copy", copiesToWire(copies))
}

func (m *Mesh) callPeer(ctx context.Context, id model.InstanceID, method string, args any) error {
	peer, known := m.find(id)
	if !known {
		return errUnknownPeer
	}
	var done Done
	return m.links.Call(ctx, peer.Control, serviceName+"."+method, args, &done, pullTimeout)
}

func (m *Mesh) find(id model.InstanceID) (model.Member, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.list.Find(id)
}

func (m *Mesh) now() model.Instant {
	return model.Instant(time.Since(m.cfg.Start))
}
