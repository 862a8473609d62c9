// Package mesh connects the instances: it runs the gossip-based failure detection, replicates configuration objects, and carries
// observations of upstreams and flow assignments between instances.
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

// Kind identifies an object that is replicated to all instances.
type Kind uint8

// The replicated objects.
const (
	// KindDocument is the operators' configuration document.
	KindDocument Kind = iota
	// KindKeys holds the binding keys.
	KindKeys
	kindCount
)

const (
	// indirectProbes is the number of members asked to probe an instance that did not answer.
	indirectProbes = 2
	// updatesPerCall bounds the membership updates in one probe or reply.
	updatesPerCall = 12
	// pushFanout is the number of members probed for one Push.
	pushFanout   = 3
	pullRingSize = 16
	pushRingSize = 16
	callTimeout  = 2 * time.Second
)

// Host is the instance that a Mesh belongs to. The Mesh calls it without holding the lock on the membership list, so that its methods may use
// the Mesh.
type Host interface {
	// Object returns where the active state of an object was written, and its body; the position is zero if there is none.
	Object(kind Kind) (model.Position, []byte)
	// Offer receives an object that is active at a peer.
	Offer(kind Kind, at model.Position, body []byte)
	// ApplyPeerUpdate receives a peer's observations of upstreams.
	ApplyPeerUpdate(u engine.PeerUpdate)
	// Loads returns the utilisation of this instance's slots, by service.
	Loads() []engine.Load
	// SetPeerLoads receives the utilisation of a peer's slots.
	SetPeerLoads(from model.InstanceID, loads []engine.Load)
	// AddAssignments receives flow assignments from a peer.
	AddAssignments(assignments []engine.FlowAssignment)
	// MembersChanged receives all members, this instance included, after a change of any of them.
	MembersChanged(members []model.Member)
}

// Config configures a Mesh.
type Config struct {
	// Listener accepts RPC connections from peers.
	Listener net.Listener
	// Member configures the membership list.
	Member member.Config
	Host   Host
	Log    logs.Logger
	Counts *count.Set
	// Start is the process start, from which instants are counted.
	Start time.Time
}

// Mesh is the local end of the mesh. It is safe for concurrent use.
type Mesh struct {
	cfg          Config
	links        *links.Pool
	pullRequests *ring.Ring[pullRequest]
	pushRequests *ring.Ring[struct{}]

	// notifyMu serialises calls of MembersChanged, so that the host sees changes in order.
	notifyMu sync.Mutex

	mu sync.Mutex
	// list is the membership list, guarded by mu.
	list *member.List
	// notified is the list's change count at the last MembersChanged, guarded by mu.
	notified uint64
}

// New returns a mesh whose only member is this instance.
func New(cfg Config) *Mesh {
	return &Mesh{
		cfg:          cfg,
		links:        links.New(links.Config{Name: "mesh", Local: cfg.Listener.Addr(), Counts: cfg.Counts}),
		pullRequests: ring.New[pullRequest](pullRingSize),
		pushRequests: ring.New[struct{}](pushRingSize),
		list:         member.New(cfg.Member),
	}
}

// Run serves and probes peers until ctx is cancelled.
func (m *Mesh) Run(ctx context.Context) error {
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error { return m.serve(ctx) })
	g.Go(func() error { return m.probe(ctx) })
	g.Go(func() error { return m.servePulls(ctx) })
	g.Go(func() error { return m.servePushes(ctx) })
	err := g.Wait()
	m.links.Close()
	return err
}

// SetDetection sets the time within which a dead instance is detected.
func (m *Mesh) SetDetection(d time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.list.SetDetection(d)
}

// Members returns all known instances, this one first.
func (m *Mesh) Members() []model.Member {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.list.Members()
}

// DomainDown reports whether no live instance of the domain is known.
func (m *Mesh) DomainDown(domain model.DomainID) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.list.DomainDown(domain)
}

// Leave announces to the peers that this instance is shutting down.
func (m *Mesh) Leave() {
	m.mu.Lock()
	m.list.Leave()
	m.mu.Unlock()
	m.Push()
}

// SendPeerUpdate sends observations of upstreams to the update's peer.
func (m *Mesh) SendPeerUpdate(ctx context.Context, u engine.PeerUpdate) error {
	return m.callPeer(ctx, u.Peer, "Tell", peerUpdateToWire(u))
}

// SendAssignments sends flow assignments to a peer.
func (m *Mesh) SendAssignments(ctx context.Context, peer model.InstanceID, assignments []engine.FlowAssignment) error {
	return m.callPeer(ctx, peer, "Copy", assignmentsToWire(assignments))
}

// callPeer calls a method that returns no data.
func (m *Mesh) callPeer(ctx context.Context, id model.InstanceID, method string, args any) error {
	peer, known := m.find(id)
	if !known {
		return errUnknownPeer
	}
	var done Done
	return m.links.Call(ctx, peer.Control, serviceName+"."+method, args, &done, callTimeout)
}

func (m *Mesh) find(id model.InstanceID) (model.Member, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.list.Find(id)
}

func (m *Mesh) now() model.Instant {
	return model.Instant(time.Since(m.cfg.Start))
}
