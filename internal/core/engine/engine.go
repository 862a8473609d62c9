// Package engine decides what happens to each packet; it does no I/O and reads no clock.
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

// Config is what an Engine is built from.
type Config struct {
	// Self is this instance.
	Self model.Member
	// Start is the wall time of instant zero.
	Start time.Time
	// Seed feeds every random choice.
	Seed uint64
	// StreamLimit is the most streams that are remembered at once.
	StreamLimit int
	// Policy picks one of several free upstreams; nil for the default policy.
	Policy choose.Policy[Candidate]
}

// Engine decides for one instance; its methods must not be called at the same time.
type Engine struct {
	cfg    Config
	rng    *rand.Rand
	policy choose.Policy[Candidate]

	doc     *model.Document
	members []model.Member
	adopted map[model.DomainID]bool
	// homes holds every member that takes packets, this instance included.
	homes []rendez.Candidate[model.InstanceID]
	// elders holds the homes and the instances that are leaving, which may know flows yet.
	elders  []rendez.Candidate[model.InstanceID]
	issuers map[model.IssuerTag]model.InstanceID
	// severed holds the issuers whose whole domain is silent: they may live on beyond a cut.
	severed map[model.IssuerTag]bool
	// loads holds what peers last said of how busy they are.
	loads map[loadKey]float64

	table *units.Table
	// heirs is who owns what once this instance has stopped; it is empty before its planned stop.
	heirs     *units.Table
	sealer    bind.Sealer
	ledger    *once.Ledger
	serial    uint64
	services  map[netip.AddrPort]*service
	upstreams map[model.UpstreamID]*upstream
	senders   map[netip.AddrPort]*upstream
	open      map[model.ExchangeKey]*exchange
	streams   streamTable
	replies   replyTable
	flows     flowTable
	// late holds ended exchanges until their late answers can come no more.
	late lateQueue

	lastStep model.Instant
	// movedAt is when homes of flows last moved; zero for never.
	movedAt model.Instant
	// met is set once this instance has asked everyone that the platform lists, so that it knows its elders.
	met bool
	// stopAt is when the planned stop began; zero while there is none.
	stopAt  model.Instant
	urgent  bool
	actions []model.Action
	free    []Candidate
}

// New returns an engine that refuses everything until it has a document, keys and members.
func New(cfg Config) *Engine {
	e := &Engine{
		cfg:       cfg,
		rng:       rand.New(rand.NewPCG(cfg.Seed, uint64(cfg.Self.Boot))),
		policy:    cfg.Policy,
		issuers:   map[model.IssuerTag]model.InstanceID{},
		severed:   map[model.IssuerTag]bool{},
		loads:     map[loadKey]float64{},
		table:     units.NewTable(units.Config{Self: cfg.Self.ID}),
		heirs:     units.NewTable(units.Config{Self: cfg.Self.ID}),
		ledger:    once.NewLedger(),
		services:  map[netip.AddrPort]*service{},
		upstreams: map[model.UpstreamID]*upstream{},
		senders:   map[netip.AddrPort]*upstream{},
		open:      map[model.ExchangeKey]*exchange{},
		streams:   newStreamTable(cfg.StreamLimit),
		replies:   newReplyTable(),
		flows:     newFlowTable(cfg.StreamLimit),
	}
	if e.policy == nil {
		e.policy, _ = PolicyByName(DefaultPolicy)
	}
	e.members = []model.Member{cfg.Self}
	e.indexMembers()
	return e
}

// SetKeys replaces the binding keys unless they are older than those in use.
func (e *Engine) SetKeys(keys bind.Keys) {
	e.sealer.SetKeys(keys)
}

// SetDocument puts a document in force; it reports false for one that is not newer.
func (e *Engine) SetDocument(now model.Instant, doc *model.Document) bool {
	if e.doc != nil && doc.Version <= e.doc.Version {
		return false
	}
	e.begin(now)
	e.doc = doc
	e.indexDocument(now)
	e.own(now)
	e.copyFlows(now)
	return true
}

// SetMembers replaces what is known of the instances; adopted names domains whose slots may be owned from elsewhere.
func (e *Engine) SetMembers(now model.Instant, members []model.Member, adopted map[model.DomainID]bool) {
	e.begin(now)
	e.members, e.adopted = members, adopted
	e.indexMembers()
	e.own(now)
	e.copyFlows(now)
}

// SetPeersContacted notes that this instance has asked every instance that the platform lists.
func (e *Engine) SetPeersContacted() {
	e.met = true
}

// Stop begins the planned stop: new work goes to peers, and what is bound here is finished.
func (e *Engine) Stop(now model.Instant) {
	e.begin(now)
	if e.stopAt == 0 {
		e.stopAt = max(now, 1)
		e.indexMembers()
		e.copyFlows(now)
		e.own(now)
	}
}

// Stopped reports whether nothing is bound here any more.
func (e *Engine) Stopped(now model.Instant) bool {
	if e.stopAt == 0 {
		return false
	}
	if e.doc == nil {
		return true
	}
	wait := e.doc.Timing.BindingLife
	for _, s := range e.services {
		wait = max(wait, s.cfg.RefreshInterval+s.cfg.RequestTimeout)
	}
	return now.Sub(e.stopAt) >= wait+e.doc.Timing.Detection && e.running() == 0
}

// Version returns the version of the document in force, or zero.
func (e *Engine) Version() model.Version {
	if e.doc == nil {
		return 0
	}
	return e.doc.Version
}

// begin starts one step; after a gap the process was paused, and its units may have other owners.
func (e *Engine) begin(now model.Instant) {
	e.actions = e.actions[:0]
	gap := now.Sub(e.lastStep)
	e.lastStep = now
	if e.doc == nil || gap < e.doc.Timing.Detection/2 {
		return
	}
	e.table.RestartHoldOff()
	e.own(now)
	for _, up := range e.upstreams {
		up.heard = 0
	}
	e.note(model.ReasonWoken)
}

// own computes the ownership of units anew.
func (e *Engine) own(now model.Instant) {
	if e.doc == nil {
		return
	}
	e.table.Update(now, units.Inputs{Document: e.doc, Members: e.owners(now), Orphaned: e.adopted})
	if e.stopAt != 0 {
		e.heirs.Update(now, units.Inputs{Document: e.doc, Members: e.others(), Orphaned: e.adopted})
	}
	for _, s := range e.services {
		e.indexOwners(s)
	}
}

// others returns every member but this instance.
func (e *Engine) others() []model.Member {
	return slices.DeleteFunc(slices.Clone(e.members), func(m model.Member) bool { return m.ID == e.cfg.Self.ID })
}

// owners returns the members for ownership: a stopping instance keeps its own units until peers have noticed.
func (e *Engine) owners(now model.Instant) []model.Member {
	members := make([]model.Member, 0, len(e.members))
	for _, m := range e.members {
		if m.ID == e.cfg.Self.ID {
			m.State = model.MemberAlive
			if e.stopAt != 0 && now.Sub(e.stopAt) > e.doc.Timing.Detection {
				m.State = model.MemberLeaving
			}
		}
		members = append(members, m)
	}
	return members
}

func (e *Engine) indexMembers() {
	clear(e.issuers)
	clear(e.severed)
	e.homes, e.elders = e.homes[:0], e.elders[:0]
	live, dead := map[model.DomainID]bool{}, map[model.InstanceID]bool{}
	for _, m := range e.members {
		live[m.Domain] = live[m.Domain] || m.State != model.MemberDead
		dead[m.ID] = m.State == model.MemberDead
	}
	maps.DeleteFunc(e.loads, func(k loadKey, _ float64) bool { return dead[k.peer] })
	for _, m := range e.members {
		if m.State == model.MemberDead {
			e.severed[m.Tag()] = !live[m.Domain]
			continue
		}
		e.issuers[m.Tag()] = m.ID
		c := rendez.NewCandidate(string(m.ID), m.ID)
		e.elders = append(e.elders, c)
		if m.State != model.MemberLeaving && (m.ID != e.cfg.Self.ID || e.stopAt == 0) {
			e.homes = append(e.homes, c)
		}
	}
}

// home returns the instance that keeps what must be found by the flow alone.
func (e *Engine) home(flow model.FlowKey) model.InstanceID {
	id, _ := rendez.First(rendez.Key(flow.Hash()), e.homes)
	return id
}

// wall returns the wall time in seconds since 1970.
func (e *Engine) wall(now model.Instant) int64 {
	return e.cfg.Start.Add(time.Duration(now)).Unix()
}

func (e *Engine) emit(a model.Action) {
	e.actions = append(e.actions, a)
}

// note counts a reason that ends no packet.
func (e *Engine) note(reason model.Reason) {
	e.emit(model.Action{Verb: model.VerbDrop, Reason: reason})
}

func (e *Engine) drop(p *model.Packet, reason model.Reason) {
	e.emit(model.Action{Verb: model.VerbDrop, Reason: reason, Packet: p})
}

func (e *Engine) hand(p *model.Packet, peer model.InstanceID, reason model.Reason) {
	e.emit(model.Action{Verb: model.VerbHandOff, Reason: reason, Packet: p, Peer: peer})
}

func (e *Engine) unknown(p *model.Packet, reason model.Reason) {
	e.emit(model.Action{Verb: model.VerbOutcomeUnknown, Reason: reason, Packet: p})
}

const (
	retryAfter = time.Second
	// settleFor is how long peers take to hear of the flows that moved to them.
	settleFor = 30 * time.Second
)

// refuse tells the caller that its request was not run; it must never be forwarded after that.
func (e *Engine) refuse(p *model.Packet, reason model.Reason) {
	e.emit(model.Action{Verb: model.VerbRefuse, Reason: reason, Packet: p, RetryAfter: retryAfter})
}

func (e *Engine) forward(p *model.Packet, up *upstream) {
	e.emit(model.Action{Verb: model.VerbForward, Packet: p, Upstream: up.cfg.ID, Address: up.cfg.Address})
}
