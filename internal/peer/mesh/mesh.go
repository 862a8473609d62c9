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
	// Hear takes a peer's letter.
	Hear(l engine.Letter)
	// Loads returns how busy this instance is.
	Loads() []engine.Load
	// HearLoads takes what a peer says of how busy it is.
	HearLoads(from model.InstanceID, loads []engine.Load)
	// Learn takes a peer's word of flows.
	Learn(copies []engine.FlowCopy)
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
	Log    logs.Part
	Counts *count.Set
	// Start is the instant zero of the process.
	Start time.Time
}

// Mesh is this instance's part of the mesh.
type Mesh struct {
	cfg   Config
	links *links
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

type pull struct {
	kind Kind
	from model.Member
}

// New returns a mesh that knows nobody yet.
func New(cfg Config) *Mesh {
	return &Mesh{
		cfg:   cfg,
		links: newLinks(cfg.Listener.Addr(), cfg.Counts),
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
	m.links.close()
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

// Quiet reports whether no instance of the domain is believed to live.
func (m *Mesh) Quiet(domain model.DomainID) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.list.Quiet(domain)
}

// Leave tells the peers that this instance stops.
func (m *Mesh) Leave() {
	m.mu.Lock()
	m.list.Leave()
	m.mu.Unlock()
	m.Push()
}

// Push tells some peers at once what is new here.
func (m *Mesh) Push() {
	m.push.Offer(struct{}{})
}

// Seed makes the addresses known, which a first probe turns into members.
func (m *Mesh) Seed(ctx context.Context, seeds []model.Member) {
	for _, s := range seeds {
		if _, known := m.find(s.ID); known || s.ID == m.cfg.Member.Self.ID {
			continue
		}
		if err := m.ping(ctx, s); err != nil {
			m.cfg.Log.With("peer", s.ID).Debug("A listed instance does not answer.")
		}
	}
}

// Tell sends a letter to a peer.
func (m *Mesh) Tell(ctx context.Context, l engine.Letter) error {
	return m.callPeer(ctx, l.Peer, "Tell", letterToWire(l))
}

// Copy tells a peer where flows sit.
func (m *Mesh) Copy(ctx context.Context, peer model.InstanceID, copies []engine.FlowCopy) error {
	return m.callPeer(ctx, peer, "Copy", copiesToWire(copies))
}

func (m *Mesh) callPeer(ctx context.Context, id model.InstanceID, method string, args any) error {
	peer, known := m.find(id)
	if !known {
		return errUnknownPeer
	}
	var done Done
	return m.links.call(ctx, peer.Control, method, args, &done, pullTimeout)
}

func (m *Mesh) find(id model.InstanceID) (model.Member, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.list.Find(id)
}

func (m *Mesh) now() model.Instant {
	return model.Instant(time.Since(m.cfg.Start))
}

// probe asks one instance after another whether it lives.
func (m *Mesh) probe(ctx context.Context) error {
	for {
		m.mu.Lock()
		target, ok := m.list.Tick(m.now())
		period := m.list.Period()
		m.mu.Unlock()
		m.report()
		if ok {
			go m.check(ctx, target)
		}
		select {
		case <-time.After(period):
		case <-ctx.Done():
			return nil
		}
	}
}

// check probes an instance, by way of others if it does not answer.
func (m *Mesh) check(ctx context.Context, target model.Member) {
	if m.ping(ctx, target) == nil {
		return
	}
	m.cfg.Counts.Counter("mesh.ping_lost").Inc(1)
	m.mu.Lock()
	helpers := m.list.Helpers(helperCount, target.ID)
	patience := 2 * m.list.Patience()
	m.mu.Unlock()
	answered := make(chan bool, len(helpers))
	for _, h := range helpers {
		go func() {
			var reply HelpReply
			err := m.links.call(ctx, h.Control, "Help", HelpArgs{Target: toWire(target)}, &reply, patience)
			answered <- err == nil && reply.Answered
		}()
	}
	for range helpers {
		if <-answered {
			return
		}
	}
	m.mu.Lock()
	m.list.Silent(m.now(), target.ID)
	m.mu.Unlock()
	m.report()
}

// ping probes an instance and exchanges word with it.
func (m *Mesh) ping(ctx context.Context, target model.Member) error {
	args := PingArgs{Versions: m.versions(), Loads: loadsToWire(m.cfg.Host.Loads())}
	m.mu.Lock()
	args.From, args.News = toWire(m.list.Self()), toWireAll(m.list.News(newsPerCall))
	patience := m.list.Patience()
	m.mu.Unlock()
	var reply PingReply
	if err := m.links.call(ctx, target.Control, "Ping", args, &reply, patience); err != nil {
		return err
	}
	m.mu.Lock()
	m.list.Heard(m.now(), target.ID)
	m.list.Learn(m.now(), fromWireAll(reply.News))
	m.mu.Unlock()
	m.report()
	m.cfg.Host.HearLoads(target.ID, loadsFromWire(reply.Loads))
	m.compare(target, reply.Versions)
	return nil
}

func (m *Mesh) versions() (v [kindCount]uint64) {
	for kind := range kindCount {
		version, _ := m.cfg.Host.Object(kind)
		v[kind] = uint64(version)
	}
	return v
}

// compare asks for each object that a peer has at a higher version.
func (m *Mesh) compare(from model.Member, versions [kindCount]uint64) {
	for kind := range kindCount {
		have, _ := m.cfg.Host.Object(kind)
		if versions[kind] > uint64(have) && !m.pulls.Offer(pull{kind: kind, from: from}) {
			m.cfg.Counts.Counter("mesh.pull_ring_full").Inc(1)
		}
	}
}

func (m *Mesh) pullAll(ctx context.Context) error {
	for {
		p, ok := m.pulls.Take(ctx)
		if !ok {
			return nil
		}
		m.pullOne(ctx, p)
	}
}

func (m *Mesh) pullOne(ctx context.Context, p pull) {
	have, _ := m.cfg.Host.Object(p.kind)
	var reply PullReply
	args := PullArgs{Kind: uint8(p.kind), Above: uint64(have)}
	if err := m.links.call(ctx, p.from.Control, "Pull", args, &reply, pullTimeout); err != nil {
		m.cfg.Counts.Counter("mesh.pull_failed").Inc(1)
		return
	}
	if reply.Version > uint64(have) {
		m.cfg.Host.Offer(p.kind, model.Version(reply.Version), reply.Body)
	}
}

// pushAll probes a few instances out of turn when there is something new.
func (m *Mesh) pushAll(ctx context.Context) error {
	for {
		if _, ok := m.push.Take(ctx); !ok {
			return nil
		}
		m.mu.Lock()
		targets := m.list.Helpers(pushFan, "")
		m.mu.Unlock()
		for _, target := range targets {
			go func() {
				if m.ping(ctx, target) != nil {
					m.cfg.Counts.Counter("mesh.push_failed").Inc(1)
				}
			}()
		}
	}
}

// report tells the host of changed members.
func (m *Mesh) report() {
	m.reporting.Lock()
	defer m.reporting.Unlock()
	m.mu.Lock()
	changes := m.list.Changes()
	changed := changes != m.told
	m.told = changes
	members := m.list.Members()
	m.mu.Unlock()
	if changed {
		m.cfg.Host.MembersChanged(members)
	}
}
