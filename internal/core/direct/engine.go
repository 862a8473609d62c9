// Package direct load-balances flows with direct server return: packets carry a routing tag that names their upstream, and upstreams answer
// callers directly. The package does no I/O and reads no clock.
package direct

import (
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"hawthorncourse/internal/core/choose"
	"hawthorncourse/internal/core/clock"
	"hawthorncourse/internal/core/health"
	"hawthorncourse/internal/core/model"
	"hawthorncourse/internal/core/place"
	"hawthorncourse/internal/core/queue"
	"hawthorncourse/internal/core/recent"
	"hawthorncourse/internal/core/roster"
)

const (
	// flowLimit bounds memory to about 60 MB; the present services hold at most 36,000 flows.
	flowLimit = 200_000
	// defaultFlowIdle is the idle timeout of flows until a configuration sets one.
	defaultFlowIdle = 15 * time.Second
)

// Config configures an Engine.
type Config struct {
	// Domain is the failure domain of this instance.
	Domain model.DomainID
	// Seed initialises the random number generator.
	Seed uint64
	// Limits are the initial limits.
	Limits Limits
	// Policy picks the upstream of a new flow; nil selects the default policy.
	Policy choose.Policy[place.Candidate[*roster.Upstream]]
	// Disabled turns off single features, to measure what each contributes.
	Disabled Disabled
}

// Limits holds the settings that may change while the engine runs.
type Limits struct {
	// Domains is the number of failure domains; zero counts as one.
	Domains int
	// FlowLife is the longest lifetime of a flow.
	FlowLife time.Duration
	// AddressReuse is the least time from the end of an upstream until another may use its address; zero if unknown.
	AddressReuse time.Duration
	// ColdFactor multiplies the rate of new flows that a cold upstream is declared to handle.
	ColdFactor float64
	// ColdSlack is the number of new flows per second that a cold upstream may get beyond its rate.
	ColdSlack float64
}

// Disabled selects features to turn off.
type Disabled struct {
	// Resend disables retries of unanswered SYNs; callers retransmit them.
	Resend bool
	// Probes disables probing and ejection, so that upstreams that do not answer stay in use.
	Probes bool
	// Resets disables resets of flows whose upstream is unreachable; callers wait for their deadline.
	Resets bool
	// Suspicions makes the engine ignore the suspicions of other instances.
	Suspicions bool
	// Isolation disables the detection of isolation: an instance that reaches no upstream stays ready.
	Isolation bool
}

// Action is one decision of the engine, for the caller to carry out.
type Action struct {
	// Verb is VerbForward, VerbReset, VerbDrop, VerbProbe or VerbHold.
	Verb   model.Verb
	Reason model.Reason
	Flow   model.FlowKey
	// Upstream is set for VerbForward and VerbProbe, and for other verbs when an upstream is involved.
	Upstream *roster.Upstream
	// Attempt is set when a SYN is forwarded: the number of upstreams that it has been sent to, this one included.
	Attempt int
	// Candidates is the number of upstreams that this one was chosen from; set together with Attempt.
	Candidates int
	// Unleased is set when a SYN is forwarded whose opening tag proves nothing to other instances.
	Unleased bool
	// Tag is the routing tag of the caller's packet.
	Tag model.RoutingTag
	// Mark is the tag to write into the packet to forward; set for VerbForward.
	Mark model.RoutingTag
	// Timeout is how long the probe may take; set for VerbProbe.
	Timeout time.Duration
	// Raw is the packet to forward.
	Raw []byte
	// Ordered is set if the packet to forward carries data or ends the flow, so that it must not overtake others of its flow.
	Ordered bool
	// Seq is the sequence number of the data to forward or, for VerbReset, of the reset, which is the caller's last acknowledgement number.
	Seq uint32
	// Length is the number of bytes of data to forward.
	Length int
}

// Sample is one measured duration.
type Sample struct {
	Kind     SampleKind
	Duration time.Duration
}

// SampleKind is the type of a Sample.
type SampleKind uint8

// The kinds of samples.
const (
	// SampleHandshake is the time from a SYN to the caller's next packet.
	SampleHandshake SampleKind = iota + 1
	// SampleAnswer is the time from the last byte of a request to the caller's first acknowledgement of the answer.
	SampleAnswer
)

// sampleLimit bounds the samples held for TakeSamples; later ones are dropped.
const sampleLimit = 4096

func (e *Engine) addSample(kind SampleKind, took time.Duration) {
	if len(e.samples) < sampleLimit {
		e.samples = append(e.samples, Sample{Kind: kind, Duration: took})
	}
}

// TakeSamples returns the samples since the last call; the slice is valid until the next packet.
func (e *Engine) TakeSamples() []Sample {
	samples := e.samples
	e.samples = e.samples[:0]
	return samples
}

// Engine decides on the flows of one instance. It is not safe for concurrent use.
type Engine struct {
	cfg    Config
	rng    *rand.Rand
	policy choose.Policy[place.Candidate[*roster.Upstream]]
	roster *roster.Roster
	// table is the active configuration; routes and serviceLimits index its contents.
	table         model.RouteTable
	routes        map[netip.AddrPort]*route
	serviceLimits map[model.ServiceID]model.ServiceLimits
	flows         *recent.Table[model.FlowKey, flow]
	timers        queue.Timed[synTimer]
	silent        silentSyns
	retryBudget   choose.RetryBudget
	handshakes    handshakeEstimator
	domains       map[model.DomainID]*health.DomainTracker
	suspicions    suspicions
	admission     admission
	cold          coldLimiter
	// clock is the last reading of the clock that all instances share. SYNs that are handled before leasesFrom get no lease.
	clock      clock.Reading
	leasesFrom model.Instant
	// ordinal is the number of this instance within its failure domain, valid until ordinalUntil.
	ordinal      model.Ordinal
	ordinalUntil model.Instant
	// unknownTags holds when each unknown tag was first seen.
	unknownTags *recent.Table[unknownTag, model.Instant]
	// unrouted holds when each open flow whose address has no route was first seen.
	unrouted *recent.Table[model.FlowKey, model.Instant]
	// rejected holds the copies of each SYN that was rejected or, while this instance could not decide, dropped.
	rejected *recent.Table[model.FlowKey, synCopies]
	// activeProbes counts the running probes; at most probeLimit.
	activeProbes int
	// probesWaiting is set while probes that are due wait for others to finish. All that start meanwhile are started by startDueProbes, in order.
	probesWaiting bool
	// ready is set once routes, upstreams and failure domains are known.
	ready bool
	// held holds the packets that wait until the engine is ready or until their route and their upstream are known; at most holdLimit.
	held    []heldPacket
	actions []Action
	events  []Event
	samples []Sample
	// resetQueue is a buffer reused by resetWaitingFlows.
	resetQueue []model.FlowKey
	// candidates is a buffer reused between choices.
	candidates []place.Candidate[*roster.Upstream]
	// unreachable is a buffer for unreachable upstreams, reused between choices.
	unreachable []*roster.Upstream
}

// route is a configured route with all services that have been its targets, as far as this instance knows.
type route struct {
	model.Route
	// services holds the current targets first, then the earlier ones, which still serve their open flows.
	services []model.ServiceID
	// closed is set if the table, which is partial, lacks the route: it may have been removed or not. Its open flows go on, and it gets no new ones.
	closed bool
}

// targets reports whether new flows of the route go to a service.
func (r *route) targets(service model.ServiceID) bool {
	return slices.ContainsFunc(r.Targets, func(t model.Target) bool { return t.Service == service })
}

// New returns an engine without routes and upstreams.
func New(cfg Config) *Engine {
	policy := cfg.Policy
	if policy == nil {
		policy = place.NewPolicy[*roster.Upstream]()
	}
	return &Engine{
		cfg:           cfg,
		rng:           rand.New(rand.NewPCG(cfg.Seed, cfg.Seed)),
		policy:        policy,
		roster:        roster.New(roster.Config{TagRetention: cfg.Limits.FlowLife}),
		table:         model.RouteTable{FlowIdle: defaultFlowIdle},
		routes:        map[netip.AddrPort]*route{},
		serviceLimits: map[model.ServiceID]model.ServiceLimits{},
		flows:         recent.New[model.FlowKey, flow](flowLimit),
		retryBudget:   choose.RetryBudget{Percent: retryBudgetPercent},
		silent:        silentSyns{},
		domains:       map[model.DomainID]*health.DomainTracker{},
		suspicions:    newSuspicions(),
		admission:     newAdmission(),
		cold:          coldLimiter{},
		unknownTags:   recent.New[unknownTag, model.Instant](unknownTagLimit),
		unrouted:      recent.New[model.FlowKey, model.Instant](unroutedLimit),
		rejected:      recent.New[model.FlowKey, synCopies](rejectedLimit),
	}
}

// SetLimits replaces the limits.
func (e *Engine) SetLimits(l Limits) {
	e.cfg.Limits = l
	e.roster.SetTagRetention(l.FlowLife)
}

// Roster returns the upstreams known to the engine; the caller updates it from the registry.
func (e *Engine) Roster() *roster.Roster {
	return e.roster
}

// SetReady starts the handling of packets, including those held so far. The actions are valid until the next call.
func (e *Engine) SetReady(now model.Instant) []Action {
	e.actions = e.actions[:0]
	if e.ready {
		return nil
	}
	e.ready = true
	e.releaseHeld(now)
	return e.actions
}

// FlowCount returns the number of flows tracked.
func (e *Engine) FlowCount() int {
	return e.flows.Len()
}

// HasRoutes reports whether a configuration was installed.
func (e *Engine) HasRoutes() bool {
	return e.table.Version != 0
}

// Revision returns the revision of the configuration in use.
func (e *Engine) Revision() model.Revision {
	return e.table.Revision
}

// SetRoutes installs a configuration if it is newer than the current one, and reports whether it did.
func (e *Engine) SetRoutes(t model.RouteTable) bool {
	if !t.NewerThan(&e.table) {
		return false
	}
	routes := make(map[netip.AddrPort]*route, len(t.Routes))
	for _, r := range t.Routes {
		if len(r.Targets) == 0 {
			// Another instance may have sent it.
			t.Partial = true
			continue
		}
		next := &route{Route: r}
		for _, target := range r.Targets {
			next.services = append(next.services, target.Service)
			e.roster.NameService(target.Service)
		}
		if old := e.routes[r.Address]; old != nil {
			next.services = appendMissing(next.services, old.services)
		}
		routes[r.Address] = next
	}
	if t.Partial {
		e.keepClosed(routes)
	}
	e.routes = routes
	e.serviceLimits = make(map[model.ServiceID]model.ServiceLimits, len(t.Services))
	for _, s := range t.Services {
		e.serviceLimits[s.ID] = s
		e.roster.NameService(s.ID)
	}
	if t.FlowIdle <= 0 {
		t.FlowIdle = defaultFlowIdle
	}
	e.table = t
	return true
}

// keepClosed adds the present routes that a partial table lacks, for their open flows.
func (e *Engine) keepClosed(routes map[netip.AddrPort]*route) {
	for address, old := range e.routes {
		if routes[address] == nil {
			closed := *old
			closed.closed = true
			routes[address] = &closed
		}
	}
}

// openRoute returns the route of new flows to an address, or nil.
func (e *Engine) openRoute(address netip.AddrPort) *route {
	if r := e.routes[address]; r != nil && !r.closed {
		return r
	}
	return nil
}

// appendMissing appends the values of more that list lacks.
func appendMissing[T comparable](list, more []T) []T {
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

// Tick runs the timeouts, probes and expirations that are due. The actions are valid until the next call.
func (e *Engine) Tick(now model.Instant) []Action {
	e.actions = e.actions[:0]
	e.expireHandshakes(now)
	e.probeSilent(now)
	e.expireHeld(now)
	e.releaseWaiting(now)
	e.roster.ExpireTags(now)
	e.startDueProbes(now)
	e.sampleDomains(now)
	e.cold.expire(now)
	e.suspicions.expire(now)
	e.unknownTags.Expire(now, unknownTagTTL, func(unknownTag, *model.Instant) {})
	e.unrouted.Expire(now, unroutedTTL, func(model.FlowKey, *model.Instant) {})
	e.rejected.Expire(now, synCopyTime, func(model.FlowKey, *synCopies) {})
	e.flows.Expire(now, e.table.FlowIdle, func(_ model.FlowKey, f *flow) { f.releaseLoad() })
	return e.actions
}

// NextDeadline returns when Tick must run for the next SYN timeout or the next SYN that waits to be admitted; ok is false when none is pending.
func (e *Engine) NextDeadline() (at model.Instant, ok bool) {
	at, ok = e.timers.Next()
	if len(e.admission.waiting) == 0 {
		return at, ok
	}
	for _, g := range e.admission.gates {
		if next, waits := g.NextAt(); waits && (!ok || next < at) {
			at, ok = next, true
		}
	}
	return at, ok
}

// forward forwards a packet of an open flow.
func (e *Engine) forward(up *roster.Upstream, seg *model.Segment, reason model.Reason) {
	e.actions = append(e.actions, Action{
		Verb: model.VerbForward, Reason: reason, Flow: seg.Flow, Upstream: up, Raw: seg.Raw, Tag: seg.Tag, Mark: up.Tag, Ordered: seg.Size > 0 || seg.Fin, Seq: seg.Seq, Length: seg.Size,
	})
}

// reset sends a reset to the caller of a flow; up is nil when no upstream is involved.
func (e *Engine) reset(seg *model.Segment, up *roster.Upstream, reason model.Reason) {
	e.actions = append(e.actions, Action{Verb: model.VerbReset, Reason: reason, Flow: seg.Flow, Upstream: up, Seq: seg.AckSeq, Tag: seg.Tag})
}

// drop drops a packet; up is nil when no upstream is involved.
func (e *Engine) drop(seg *model.Segment, up *roster.Upstream, reason model.Reason) {
	e.actions = append(e.actions, Action{Verb: model.VerbDrop, Reason: reason, Flow: seg.Flow, Upstream: up, Tag: seg.Tag})
}
