// Package direct steers flows whose packets carry a routing tag and whose upstreams answer callers directly; it does no I/O and reads no clock.
package direct

import (
	"math/rand/v2"
	"net/netip"
	"time"

	"hawthorncourse/internal/core/choose"
	"hawthorncourse/internal/core/health"
	"hawthorncourse/internal/core/model"
	"hawthorncourse/internal/core/place"
	"hawthorncourse/internal/core/recent"
	"hawthorncourse/internal/core/roster"
)

const (
	// flowLimit bounds memory to about 60 MB; today's services hold 36,000 flows at most.
	flowLimit = 200_000
	// defaultFlowIdle is used until a configuration states how long an idle flow is kept.
	defaultFlowIdle = 15 * time.Second
)

// Config is what an Engine is built from.
type Config struct {
	// Domain is the failure domain of this instance.
	Domain model.DomainID
	// Seed feeds every random choice.
	Seed uint64
	// Limits are those in force at first.
	Limits Limits
	// Policy picks the upstream of a new flow; nil for the default policy.
	Policy choose.Policy[place.Candidate[*roster.Upstream]]
	// Disabled replaces decisions by their simpler alternative, for comparison.
	Disabled Disabled
}

// Limits holds the figures that may change while an engine decides.
type Limits struct {
	// Domains is the number of failure domains; zero counts as one.
	Domains int
	// FlowLife is the longest life of a flow.
	FlowLife time.Duration
	// ColdFactor multiplies the rate that a cold upstream bears.
	ColdFactor float64
	// ColdSlack is the number of flows a second that a cold upstream may get beyond its rate.
	ColdSlack float64
}

// Disabled names decisions that are left out.
type Disabled struct {
	// Resend leaves opening packets to the caller's own copies.
	Resend bool
	// Probes leaves upstreams without an answer in use.
	Probes bool
	// Resets leaves callers of unreachable upstreams to their deadline.
	Resets bool
	// Suspicions keeps what other instances found silent from this one.
	Suspicions bool
	// Isolation keeps an instance ready that reaches no upstream.
	Isolation bool
}

// Action is one decision to carry out.
type Action struct {
	// Verb is VerbForward, VerbReset, VerbDrop or VerbProbe.
	Verb   model.Verb
	Reason model.Reason
	Flow   model.FlowKey
	// Upstream is set for VerbForward and VerbProbe, and for others where one is concerned.
	Upstream *roster.Upstream
	// Attempt is set when the packet opens a flow: how many upstreams got it so far, this one included.
	Attempt int
	// Candidates is how many upstreams the choice was between; it is set with Offered.
	Candidates int
	// Tag is the one that the caller's packet carried.
	Tag model.RoutingTag
	// Timeout is how long the probe may take; it is set for VerbProbe.
	Timeout time.Duration
	// Raw is the packet to forward.
	Raw []byte
	// Seq is what the caller last acknowledged; it is set for VerbReset.
	Seq uint32
}

// Sample is one time that was measured.
type Sample struct {
	Kind     SampleKind
	Duration time.Duration
}

// SampleKind says what was measured.
type SampleKind uint8

// The kinds of samples.
const (
	// SampleHandshake is from an opening packet to the caller's next one.
	SampleHandshake SampleKind = iota + 1
	// SampleAnswer is from the last byte of a request to the caller's word that the answer arrives.
	SampleAnswer
)

// samplesLimit bounds the samples that wait for Samples.
const samplesLimit = 4096

func (e *Engine) sample(kind SampleKind, took time.Duration) {
	if len(e.samples) < samplesLimit {
		e.samples = append(e.samples, Sample{Kind: kind, Duration: took})
	}
}

// TakeSamples returns what was measured since the last call; it is valid until the next packet.
func (e *Engine) TakeSamples() []Sample {
	list := e.samples
	e.samples = e.samples[:0]
	return list
}

// Engine steers for one instance; its methods must not be called at the same time.
type Engine struct {
	cfg     Config
	rng     *rand.Rand
	policy  choose.Policy[place.Candidate[*roster.Upstream]]
	roster  *roster.Roster
	table   model.RouteTable
	routes  map[netip.AddrPort]*route
	limits  map[model.ServiceID]model.ServiceLimits
	flows   *recent.Table[model.FlowKey, flow]
	timers  timers
	budget  choose.RetryBudget
	shakes  handshakes
	domains map[model.DomainID]*health.DomainTracker
	doubts  doubts
	cold    coldLimits
	// place is the number of this instance among those of its failure domain, believed until placeUntil.
	place      model.Ordinal
	placeUntil model.Instant
	// unknown holds when each tag that nobody here knows was first seen; at most unknownLimit.
	unknown map[unknownTag]model.Instant
	// probing counts the probes under way; at most probesAtOnce.
	probing int
	// ready is set once routes, upstreams and failure domains are known.
	ready bool
	// early holds packets until the engine is ready; at most earlyLimit.
	early   []earlyPacket
	actions []Action
	notes   []Event
	samples []Sample
	// released is reused from one release to the next.
	released []model.FlowKey
	// candidates is reused from one choice to the next.
	candidates []place.Candidate[*roster.Upstream]
	// doubted is reused from one choice to the next.
	doubted []*roster.Upstream
}

// route is a route with every service that it ever sent flows to, as far as this instance knows.
type route struct {
	model.Route
	// services begins with the present targets.
	services []model.ServiceID
}

// New returns an engine that knows no routes and no upstreams yet.
func New(cfg Config) *Engine {
	policy := cfg.Policy
	if policy == nil {
		policy = place.NewPolicy[*roster.Upstream]()
	}
	return &Engine{
		cfg:     cfg,
		rng:     rand.New(rand.NewPCG(cfg.Seed, cfg.Seed)),
		policy:  policy,
		roster:  roster.New(roster.Config{TagRetention: cfg.Limits.FlowLife}),
		table:   model.RouteTable{FlowIdle: defaultFlowIdle},
		routes:  map[netip.AddrPort]*route{},
		limits:  map[model.ServiceID]model.ServiceLimits{},
		flows:   recent.New[model.FlowKey, flow](flowLimit),
		budget:  choose.RetryBudget{Percent: resendPercent},
		domains: map[model.DomainID]*health.DomainTracker{},
		doubts:  newDoubts(),
		cold:    coldLimits{},
		unknown: map[unknownTag]model.Instant{},
	}
}

// SetLimits replaces the limits.
func (e *Engine) SetLimits(l Limits) {
	e.cfg.Limits = l
	e.roster.SetTagRetention(l.FlowLife)
}

// Roster returns the upstreams that the engine knows.
func (e *Engine) Roster() *roster.Roster {
	return e.roster
}

// SetReady lets the engine decide on packets, those that arrived before included; the actions are valid until the next call.
func (e *Engine) SetReady(now model.Instant) []Action {
	e.actions = e.actions[:0]
	if e.ready {
		return nil
	}
	e.ready = true
	for i := range e.early {
		if early := &e.early[i]; now.Sub(early.at) <= earlyLife {
			e.decide(now, &early.seg)
		}
	}
	e.early = nil
	return e.actions
}

const (
	// earlyLimit bounds the packets that wait for an instance to be ready; more would take it longer than their callers wait.
	earlyLimit = 512
	// earlyLife is how long they wait: callers repeat an opening packet after 200 ms, and then this one is of no use.
	earlyLife = 200 * time.Millisecond
)

// earlyPacket is one that arrived before the instance was ready.
type earlyPacket struct {
	at  model.Instant
	seg model.Segment
}

// FlowCount returns how many flows are remembered.
func (e *Engine) FlowCount() int {
	return e.flows.Len()
}

// Revision returns that of the configuration in force.
func (e *Engine) Revision() model.Revision {
	return e.table.Revision
}

// SetRoutes puts a configuration in force unless a newer one is; it reports whether it did.
func (e *Engine) SetRoutes(t model.RouteTable) bool {
	if t.Revision <= e.table.Revision {
		return false
	}
	routes := make(map[netip.AddrPort]*route, len(t.Routes))
	for _, r := range t.Routes {
		next := &route{Route: r}
		for _, target := range r.Targets {
			next.services = append(next.services, target.Service)
		}
		if old := e.routes[r.Address]; old != nil {
			next.services = appendNew(next.services, old.services)
		}
		routes[r.Address] = next
	}
	e.routes = routes
	e.limits = make(map[model.ServiceID]model.ServiceLimits, len(t.Services))
	for _, s := range t.Services {
		e.limits[s.ID] = s
	}
	if t.FlowIdle <= 0 {
		t.FlowIdle = defaultFlowIdle
	}
	e.table = t
	return true
}

// appendNew appends the values of more that list lacks.
func appendNew[T comparable](list, more []T) []T {
	for _, v := range more {
		known := false
		for _, have := range list {
			known = known || have == v
		}
		if !known {
			list = append(list, v)
		}
	}
	return list
}

// Tick does what is due; the actions are valid until the next call.
func (e *Engine) Tick(now model.Instant) []Action {
	e.actions = e.actions[:0]
	e.expireHandshakes(now)
	e.roster.ExpireTags(now)
	e.probeBarred(now)
	e.cold.tick(now)
	e.doubts.tick(now)
	e.flows.Expire(now, e.table.FlowIdle, func(_ model.FlowKey, f *flow) { f.end() })
	return e.actions
}

// NextDeadline returns when Tick is due for a handshake; ok is false when none waits.
func (e *Engine) NextDeadline() (at model.Instant, ok bool) {
	return e.timers.next()
}

// forward sends a packet of an open flow on.
func (e *Engine) forward(up *roster.Upstream, seg *model.Segment) {
	e.actions = append(e.actions, Action{Verb: model.VerbForward, Flow: seg.Flow, Upstream: up, Raw: seg.Raw, Tag: seg.Tag})
}

// reset ends a flow towards its caller; up is nil where none is concerned.
func (e *Engine) reset(seg *model.Segment, up *roster.Upstream, reason model.Reason) {
	e.actions = append(e.actions, Action{Verb: model.VerbReset, Reason: reason, Flow: seg.Flow, Upstream: up, Seq: seg.AckSeq, Tag: seg.Tag})
}

// drop leaves a packet; up is nil where none is concerned.
func (e *Engine) drop(seg *model.Segment, up *roster.Upstream, reason model.Reason) {
	e.actions = append(e.actions, Action{Verb: model.VerbDrop, Reason: reason, Flow: seg.Flow, Upstream: up, Tag: seg.Tag})
}
