// Package engine implements the forwarding decisions of one instance that relays both directions of the traffic. It does no I/O and
// reads no clock: callers pass packets and times in and carry out the returned actions.
//
// An upstream has a number of slots, each owned by one instance. The owner of an upstream's first slot is the upstream's primary: it alone
// sends to the upstream during a cold start or while no recent answer confirms that the upstream has not restarted. The home of a flow is
// the instance that rendezvous hashing ranks first for the flow's addresses; any instance can compute it without coordination. The boot of
// an upstream is the boot ID of its current run. A bound packet carries a binding, a signed token that names the upstream of a stream or the issuer of a request
// that must run at most once; see package bind.
package engine

import (
	"maps"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"hawthorncourse/internal/core/bind"
	"hawthorncourse/internal/core/choose"
	"hawthorncourse/internal/core/model"
	"hawthorncourse/internal/core/once"
	"hawthorncourse/internal/core/rendez"
	"hawthorncourse/internal/core/units"
)

// Config configures an Engine.
type Config struct {
	// Self describes this instance.
	Self model.Member
	// Start is the wall-clock time that corresponds to instant zero.
	Start time.Time
	// Seed seeds the random number generator behind every random choice.
	Seed uint64
	// StreamLimit is the maximum number of streams, and of flows, that the engine tracks at the same time.
	StreamLimit int
	// Policy selects an upstream among those with a free slot; nil selects the default policy.
	Policy choose.Policy[Candidate]
}

// Engine holds the forwarding state of one instance. It is not safe for concurrent use.
type Engine struct {
	cfg    Config
	rng    *rand.Rand
	policy choose.Policy[Candidate]

	doc     *model.Document
	members []model.Member
	// orphaned marks the failure domains without a live instance, whose slots instances of other domains may own.
	orphaned map[model.DomainID]bool
	// homes holds every member that accepts new packets, including this instance unless it is shutting down.
	homes []rendez.Candidate[model.InstanceID]
	// homesAndLeaving holds homes and the instances in a graceful shutdown, which may still hold the assignment of a flow.
	homesAndLeaving []rendez.Candidate[model.InstanceID]
	// issuers maps the issuer tags of all instances that are not dead.
	issuers map[model.IssuerTag]model.InstanceID
	// partitioned marks the dead issuers whose whole failure domain is dead: they may still be running behind a network partition.
	partitioned map[model.IssuerTag]bool
	// peerLoads holds the utilisation that each peer last reported, by service.
	peerLoads map[loadKey]float64

	// ownership holds the owner of each slot.
	ownership *units.Table
	// successors is the ownership without this instance; it is empty until the graceful shutdown starts.
	successors      *units.Table
	signer          bind.Signer
	ledger          *once.Ledger
	lastSerial      uint64
	services        map[netip.AddrPort]*service
	upstreams       map[model.UpstreamID]*upstream
	upstreamsByAddr map[netip.AddrPort]*upstream
	// exchanges holds the requests that are queued or forwarded, and the finished ones.
	exchanges map[model.ExchangeKey]*exchange
	streams   streamTable
	// pendingReplies holds the confirmable messages that callers have yet to acknowledge.
	pendingReplies replyTable
	flows          flowTable
	// finished holds completed exchanges until a late answer can no longer arrive.
	finished finishedQueue

	lastStep model.Instant
	// topologyChangedAt is when the document or the members last changed or this instance's graceful shutdown started; zero for never.
	topologyChangedAt model.Instant
	// peersContacted is set once this instance has contacted every instance that the platform lists, so that homesAndLeaving is complete.
	peersContacted bool
	// shutdownStartedAt is when the graceful shutdown started; zero if it has not.
	shutdownStartedAt model.Instant
	// updateUrgent is set while PeerUpdates should be sent without waiting for the next interval.
	updateUrgent bool
	// actions and candidates are buffers that are reused from call to call.
	actions    []model.Action
	candidates []Candidate
}

// New returns an engine without a document, keys and peers. Until SetDocument, it refuses every packet, or drops it if it carries a binding.
func New(cfg Config) *Engine {
	e := &Engine{
		cfg:             cfg,
		rng:             rand.New(rand.NewPCG(cfg.Seed, uint64(cfg.Self.Boot))),
		policy:          cfg.Policy,
		issuers:         map[model.IssuerTag]model.InstanceID{},
		partitioned:     map[model.IssuerTag]bool{},
		peerLoads:       map[loadKey]float64{},
		ownership:       units.NewTable(units.Config{Self: cfg.Self.ID}),
		successors:      units.NewTable(units.Config{Self: cfg.Self.ID}),
		ledger:          once.NewLedger(),
		services:        map[netip.AddrPort]*service{},
		upstreams:       map[model.UpstreamID]*upstream{},
		upstreamsByAddr: map[netip.AddrPort]*upstream{},
		exchanges:       map[model.ExchangeKey]*exchange{},
		streams:         newStreamTable(cfg.StreamLimit),
		pendingReplies:  newReplyTable(),
		flows:           newFlowTable(cfg.StreamLimit),
	}
	if e.policy == nil {
		e.policy, _ = PolicyByName(DefaultPolicy)
	}
	e.members = []model.Member{cfg.Self}
	e.indexMembers()
	return e
}

// SetKeys replaces the binding keys; keys that are not newer than those in use are ignored.
func (e *Engine) SetKeys(keys bind.Keys) {
	e.signer.SetKeys(keys)
}

// SetDocument applies a document; it reports false and changes nothing if the document is not newer than the current one.
func (e *Engine) SetDocument(now model.Instant, doc *model.Document) bool {
	if e.doc != nil && doc.At().Compare(e.doc.At()) <= 0 {
		return false
	}
	e.beginStep(now)
	e.doc = doc
	e.indexDocument(now)
	e.updateOwnership(now)
	e.queueDisplacedFlows(now)
	return true
}

// SetMembers replaces the list of instances. orphaned marks the failure domains whose slots instances of other domains may own.
func (e *Engine) SetMembers(now model.Instant, members []model.Member, orphaned map[model.DomainID]bool) {
	e.beginStep(now)
	e.members, e.orphaned = members, orphaned
	e.indexMembers()
	e.updateOwnership(now)
	e.queueDisplacedFlows(now)
}

// SetPeersContacted records that this instance has contacted every instance that the platform lists.
func (e *Engine) SetPeersContacted() {
	e.peersContacted = true
}

// Stop starts the graceful shutdown: new requests go to peers, and requests bound to this instance are completed.
func (e *Engine) Stop(now model.Instant) {
	e.beginStep(now)
	if e.shutdownStartedAt == 0 {
		e.shutdownStartedAt = max(now, 1)
		e.indexMembers()
		e.queueDisplacedFlows(now)
		e.updateOwnership(now)
	}
}

// Stopped reports whether the graceful shutdown is complete: no request is running, and the longest time for which a caller may still depend on
// this instance has passed.
func (e *Engine) Stopped(now model.Instant) bool {
	if e.shutdownStartedAt == 0 {
		return false
	}
	if e.doc == nil {
		return true
	}
	wait := e.doc.Timing.BindingLife
	for _, s := range e.services {
		wait = max(wait, s.cfg.RefreshInterval+s.cfg.RequestTimeout)
	}
	return now.Sub(e.shutdownStartedAt) >= wait+e.doc.Timing.Detection && e.running() == 0
}

// Version returns the version of the current document, or zero if there is none.
func (e *Engine) Version() model.Version {
	if e.doc == nil {
		return 0
	}
	return e.doc.Version
}

// beginStep starts one call into the engine. A gap of half the detection time since the last call means that the process stalled:
// peers may have taken over its slots, so every slot is treated as newly gained and every upstream as unconfirmed.
func (e *Engine) beginStep(now model.Instant) {
	e.actions = e.actions[:0]
	gap := now.Sub(e.lastStep)
	e.lastStep = now
	if e.doc == nil || gap < e.doc.Timing.Detection/2 {
		return
	}
	e.ownership.RestartHoldOff()
	e.updateOwnership(now)
	for _, up := range e.upstreams {
		up.confirmedAt = 0
	}
	e.countReason(model.ReasonWoken)
}

// updateOwnership recomputes the owners of all slots.
func (e *Engine) updateOwnership(now model.Instant) {
	if e.doc == nil {
		return
	}
	e.ownership.Update(now, units.Inputs{Document: e.doc, Members: e.ownershipMembers(now), Orphaned: e.orphaned})
	if e.shutdownStartedAt != 0 {
		e.successors.Update(now, units.Inputs{Document: e.doc, Members: e.otherMembers(), Orphaned: e.orphaned})
	}
	for _, s := range e.services {
		e.indexOwners(s)
	}
}

// otherMembers returns every member except this instance.
func (e *Engine) otherMembers() []model.Member {
	return slices.DeleteFunc(slices.Clone(e.members), func(m model.Member) bool { return m.ID == e.cfg.Self.ID })
}

// ownershipMembers returns the members from which ownership is computed: an instance that is shutting down keeps its slots for the detection
// time, until its peers have noticed the shutdown.
func (e *Engine) ownershipMembers(now model.Instant) []model.Member {
	members := make([]model.Member, 0, len(e.members))
	for _, m := range e.members {
		if m.ID == e.cfg.Self.ID {
			m.State = model.MemberAlive
			if e.shutdownStartedAt != 0 && now.Sub(e.shutdownStartedAt) > e.doc.Timing.Detection {
				m.State = model.MemberLeaving
			}
		}
		members = append(members, m)
	}
	return members
}

func (e *Engine) indexMembers() {
	clear(e.issuers)
	clear(e.partitioned)
	e.homes, e.homesAndLeaving = e.homes[:0], e.homesAndLeaving[:0]
	liveDomains, deadInstances := map[model.DomainID]bool{}, map[model.InstanceID]bool{}
	for _, m := range e.members {
		liveDomains[m.Domain] = liveDomains[m.Domain] || m.State != model.MemberDead
		deadInstances[m.ID] = m.State == model.MemberDead
	}
	maps.DeleteFunc(e.peerLoads, func(k loadKey, _ float64) bool { return deadInstances[k.peer] })
	for _, m := range e.members {
		if m.State == model.MemberDead {
			e.partitioned[m.Tag()] = !liveDomains[m.Domain]
			continue
		}
		e.issuers[m.Tag()] = m.ID
		c := rendez.NewCandidate(string(m.ID), m.ID)
		e.homesAndLeaving = append(e.homesAndLeaving, c)
		if m.State != model.MemberLeaving && (m.ID != e.cfg.Self.ID || e.shutdownStartedAt == 0) {
			e.homes = append(e.homes, c)
		}
	}
}

// home returns the home instance of the flow, which keeps the state that is looked up by the flow alone; empty if there is no home.
func (e *Engine) home(flow model.FlowKey) model.InstanceID {
	id, _ := rendez.First(rendez.Key(flow.Hash()), e.homes)
	return id
}

// unixTime returns the wall-clock time in seconds since 1970.
func (e *Engine) unixTime(now model.Instant) int64 {
	return e.cfg.Start.Add(time.Duration(now)).Unix()
}

func (e *Engine) emit(a model.Action) {
	e.actions = append(e.actions, a)
}

// countReason counts a reason without dropping a packet.
func (e *Engine) countReason(reason model.Reason) {
	e.emit(model.Action{Verb: model.VerbDrop, Reason: reason})
}

func (e *Engine) drop(p *model.Packet, reason model.Reason) {
	e.emit(model.Action{Verb: model.VerbDrop, Reason: reason, Packet: p})
}

func (e *Engine) handOff(p *model.Packet, peer model.InstanceID, reason model.Reason) {
	e.emit(model.Action{Verb: model.VerbHandOff, Reason: reason, Packet: p, Peer: peer})
}

func (e *Engine) reportUnknown(p *model.Packet, reason model.Reason) {
	e.emit(model.Action{Verb: model.VerbOutcomeUnknown, Reason: reason, Packet: p})
}

const (
	// retryAfter is how long a refused caller should wait before it retries.
	retryAfter = time.Second
	// flowSettleTime is how long peers may take to receive the assignments of flows whose home is now theirs.
	flowSettleTime = 30 * time.Second
)

// refuse answers the caller that its request was not run; the request must never be forwarded afterwards.
func (e *Engine) refuse(p *model.Packet, reason model.Reason) {
	e.emit(model.Action{Verb: model.VerbRefuse, Reason: reason, Packet: p, RetryAfter: retryAfter})
}

func (e *Engine) forward(p *model.Packet, up *upstream) {
	e.emit(model.Action{Verb: model.VerbForward, Packet: p, Upstream: up.cfg.ID, Address: up.cfg.Address})
}
