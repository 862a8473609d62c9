package direct

import (
	"hawthorncourse/internal/core/health"
	"hawthorncourse/internal/core/model"
	"hawthorncourse/internal/core/roster"
)

// probesAtOnce bounds the probes under way; with a wait of 50 ms that is 160 connections a second at most.
const probesAtOnce = 8

// reachable reports whether new flows may go to the upstream as far as this instance sees.
func (e *Engine) reachable(u *roster.Upstream) bool {
	return !u.Health.Ejected() && !e.domain(u.Domain).Partitioned()
}

// Isolated reports whether there are upstreams but none that this instance can reach: callers are better off elsewhere.
func (e *Engine) Isolated() bool {
	if e.cfg.Disabled.Isolation {
		return false
	}
	some := false
	for _, u := range e.roster.All() {
		if !e.roster.Usable(u) {
			continue
		}
		if e.reachable(u) {
			return false
		}
		some = true
	}
	return some
}

// miss counts an unanswered packet against an upstream and lets a probe tell a lost packet from a lost upstream.
func (e *Engine) miss(now model.Instant, u *roster.Upstream, sent model.Instant) {
	if e.cfg.Disabled.Probes {
		return
	}
	was := u.Health.Ejected()
	u.Health.RecordTimeout(sent)
	if !was && u.Health.Ejected() {
		e.note(Event{Kind: EventUpstreamEjected, Upstream: u})
	}
	e.probe(now, u)
}

// alive notes a sign of life of an upstream.
func (e *Engine) alive(now model.Instant, u *roster.Upstream) {
	if u.Health.Ejected() {
		e.note(Event{Kind: EventUpstreamReachable, Upstream: u, UnansweredFor: u.Health.UnansweredFor(now)})
	}
	e.returned(now, u)
	u.Health.RecordSuccess(now)
	e.domainAlive(now, u.Domain)
}

// returned notes a sign of life of an upstream. One that was down may have restarted: until the registry tells, or for as long
// as a cold start takes, it gets no more than a cold one.
func (e *Engine) returned(now model.Instant, u *roster.Upstream) {
	if u.Health.Down() {
		u.ColdUntil = max(u.ColdUntil, now.Add(e.limits[u.Service].ColdFor))
	}
}

// domainAlive notes a sign of life of a failure domain; its other upstreams are then probed at once.
func (e *Engine) domainAlive(now model.Instant, id model.DomainID) {
	if !e.domain(id).RecordSuccess(now) {
		return
	}
	e.note(Event{Kind: EventDomainReachable, Domain: id})
	for _, u := range e.roster.All() {
		if u.Domain == id {
			u.Health.ExpediteProbe()
		}
	}
}

// probe asks for a probe of an upstream if one is due.
func (e *Engine) probe(now model.Instant, u *roster.Upstream) {
	if u.State != roster.StateGone && e.probing < probesAtOnce && u.Health.StartProbe(now) {
		e.probing++
		e.actions = append(e.actions, Action{Verb: model.VerbProbe, Upstream: u, Timeout: u.Health.ProbeTimeout()})
	}
}

// FinishProbe takes the outcome of a probe; the actions are valid until the next call.
func (e *Engine) FinishProbe(now model.Instant, u *roster.Upstream, outcome health.Outcome) []Action {
	e.actions = e.actions[:0]
	e.judge(now, u, outcome)
	if outcome == health.OutcomeFailed && u.Health.Unreachable(true) {
		e.release(u)
	}
	return e.actions
}

// release resets the idempotent flows that wait for an upstream which cannot be reached: their next repeat may come after
// their caller's deadline.
func (e *Engine) release(u *roster.Upstream) {
	if e.cfg.Disabled.Resets {
		return
	}
	e.flows.Each(func(key model.FlowKey, f *flow) bool {
		r := e.routes[key.Service]
		if f.up == u && f.open && f.missed && f.asked != 0 && r != nil && r.Kind == model.RouteIdempotent {
			e.released = append(e.released, key)
		}
		return true
	})
	for _, key := range e.released {
		f := e.flows.Peek(key)
		e.ended(&model.Segment{Flow: key, AckSeq: f.received}, f, u, model.ReasonUpstreamUnreachable)
	}
	e.released = e.released[:0]
}

// judge counts the outcome of a probe.
func (e *Engine) judge(now model.Instant, u *roster.Upstream, outcome health.Outcome) {
	was := u.Health.Ejected()
	if outcome == health.OutcomeAnswered {
		e.returned(now, u)
	}
	u.Health.FinishProbe(now, outcome)
	e.probing--
	if outcome == health.OutcomeAnswered {
		if was {
			e.note(Event{Kind: EventUpstreamReachable, Upstream: u})
		}
		e.domainAlive(now, u.Domain)
		return
	}
	if !was && u.Health.Ejected() {
		e.note(Event{Kind: EventUpstreamEjected, Upstream: u})
	}
	if outcome != health.OutcomeFailed || !u.Health.Ejected() {
		return
	}
	d := e.domain(u.Domain)
	if d.RecordProbeFailure(now, u.ID) {
		e.note(Event{Kind: EventDomainPartitioned, Domain: u.Domain})
	}
	if d.Partitioned() {
		e.blamePath(u.Domain)
	}
	e.tellSilent(now, u, d)
	if d.Suspected(now) {
		e.doubt(now, u.Domain)
	}
}

// blamePath notes for every upstream of a silent failure domain that it need not have ended itself.
func (e *Engine) blamePath(id model.DomainID) {
	for _, u := range e.roster.All() {
		if u.Domain == id {
			u.Health.MarkPathDown()
		}
	}
}

// doubt lets every upstream of a silent failure domain be probed for itself: several that died at once look like a cut,
// and open flows of the others go on.
func (e *Engine) doubt(now model.Instant, id model.DomainID) {
	for _, u := range e.roster.All() {
		if u.Domain == id {
			u.Health.MarkSuspect(now)
			e.probe(now, u)
		}
	}
}

// probeBarred asks for the probes that are due, so that a return is noticed without any caller's packet.
func (e *Engine) probeBarred(now model.Instant) {
	for _, u := range e.roster.All() {
		e.probe(now, u)
	}
}

func (e *Engine) domain(id model.DomainID) *health.DomainTracker {
	d := e.domains[id]
	if d == nil {
		d = &health.DomainTracker{}
		e.domains[id] = d
	}
	return d
}
