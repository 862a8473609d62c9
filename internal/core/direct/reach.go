package direct

import (
	"cmp"
	"slices"

	"hawthorncourse/internal/core/health"
	"hawthorncourse/internal/core/model"
	"hawthorncourse/internal/core/roster"
)

// probeLimit bounds the concurrent probes; with a timeout of 50 ms that is at most 160 connections per second.
const probeLimit = 8

// reachable reports whether new flows may go to the upstream according to this instance's own health checks.
func (e *Engine) reachable(u *roster.Upstream) bool {
	return !u.Health.Ejected() && !e.domainTracker(u.Domain).Partitioned()
}

// Isolated reports whether usable upstreams exist but this instance reaches none of them; other instances should then serve the callers.
func (e *Engine) Isolated() bool {
	if e.cfg.Disabled.Isolation {
		return false
	}
	usable := false
	for _, u := range e.roster.All() {
		if !e.roster.Usable(u) {
			continue
		}
		// A full upstream answers this instance; others would not find more room there.
		if e.reachable(u) || u.Health.Full() {
			return false
		}
		usable = true
	}
	return usable
}

// recordTimeout counts an unanswered packet against an upstream and probes it, to tell a lost packet from an unreachable upstream.
func (e *Engine) recordTimeout(now model.Instant, u *roster.Upstream, sent model.Instant) {
	if e.cfg.Disabled.Probes {
		return
	}
	wasEjected := u.Health.Ejected()
	u.Health.RecordTimeout(sent)
	if !wasEjected && u.Health.Ejected() {
		e.addEvent(Event{Kind: EventUpstreamEjected, Upstream: u})
	}
	e.startProbe(now, u)
}

// recordHandshake records that an upstream responded to a SYN.
func (e *Engine) recordHandshake(now model.Instant, u *roster.Upstream) {
	e.recordAnswer(now, u, u.Health.RecordHandshake)
}

// recordSuccess records that an upstream responded within an open flow.
func (e *Engine) recordSuccess(now model.Instant, u *roster.Upstream) {
	e.recordAnswer(now, u, u.Health.RecordSuccess)
}

func (e *Engine) recordAnswer(now model.Instant, u *roster.Upstream, record func(model.Instant)) {
	wasEjected, unansweredFor := u.Health.Ejected(), u.Health.UnansweredFor(now)
	e.limitIfRestarted(now, u)
	record(now)
	if wasEjected && !u.Health.Ejected() {
		e.addEvent(Event{Kind: EventUpstreamReachable, Upstream: u, UnansweredFor: unansweredFor})
	}
	e.recordDomainSuccess(now, u.Domain)
}

// limitIfRestarted treats an upstream that was down and responds again as cold, since it may have restarted. This lasts for the length of a
// cold start, or until the registry delivers a new registration that states the rest of the cold start.
func (e *Engine) limitIfRestarted(now model.Instant, u *roster.Upstream) {
	if u.Health.Down() {
		u.ColdUntil = max(u.ColdUntil, now.Add(e.serviceLimits[u.Service].ColdFor))
	}
}

// recordDomainSuccess records that an upstream of a failure domain responded. If the domain was partitioned, its other upstreams are probed
// without further delay.
func (e *Engine) recordDomainSuccess(now model.Instant, id model.DomainID) {
	if !e.domainTracker(id).RecordSuccess(now) {
		return
	}
	e.addEvent(Event{Kind: EventDomainReachable, Domain: id})
	for _, u := range e.roster.All() {
		if u.Domain == id {
			u.Health.ExpediteProbe(now)
		}
	}
}

// startProbe requests a probe of an upstream if one is due. If probeLimit are running or others wait, it has to wait, too.
func (e *Engine) startProbe(now model.Instant, u *roster.Upstream) {
	if _, due := u.Health.ProbeDue(now); !due || u.Replaced() {
		return
	}
	e.probesWaiting = e.probesWaiting || e.activeProbes >= probeLimit
	if !e.probesWaiting && u.Health.StartProbe(now) {
		e.activeProbes++
		e.actions = append(e.actions, Action{Verb: model.VerbProbe, Upstream: u, Timeout: u.Health.ProbeTimeout()})
	}
}

// FinishProbe records the outcome of a probe, and resets the flows that wait for the upstream and have ended with it. The actions are valid until the
// next call.
func (e *Engine) FinishProbe(now model.Instant, u *roster.Upstream, outcome health.Outcome) []Action {
	e.actions = e.actions[:0]
	outcome = e.recordProbe(now, u, outcome)
	if outcome == health.OutcomeFailed && u.Health.Dead(now) {
		e.resetWaitingFlows(now, u)
	}
	e.settleSilent(now, u, outcome)
	if e.probesWaiting {
		e.startDueProbes(now)
	}
	return e.actions
}

// resetWaitingFlows resets the idempotent flows that wait for a dead upstream: their callers' next retransmission may come after the request's
// deadline. Other callers do not repeat their requests, so their flows are reset only at their next packet, if they have ended.
func (e *Engine) resetWaitingFlows(now model.Instant, u *roster.Upstream) {
	reason := e.endReason(now, model.RouteIdempotent, u)
	if reason == model.ReasonNone {
		return
	}
	e.flows.Each(func(key model.FlowKey, f *flow) bool {
		r := e.routes[key.Service]
		if f.up == u && f.waits(now) && r != nil && r.Kind.Idempotent() {
			e.resetQueue = append(e.resetQueue, key)
		}
		return true
	})
	// The table has no order; a replay must give the same result each time.
	slices.SortFunc(e.resetQueue, func(a, b model.FlowKey) int {
		return cmp.Or(a.Caller.Compare(b.Caller), a.Service.Compare(b.Service))
	})
	for _, key := range e.resetQueue {
		f := e.flows.Peek(key)
		e.terminate(&model.Segment{Flow: key, AckSeq: f.ackSeq}, f, u, reason)
	}
	e.resetQueue = e.resetQueue[:0]
}

// recordProbe applies the outcome of a probe to the upstream and to its failure domain, and returns the outcome that counts.
func (e *Engine) recordProbe(now model.Instant, u *roster.Upstream, outcome health.Outcome) health.Outcome {
	wasEjected, wasFull := u.Health.Ejected(), u.Health.Full()
	responded := outcome == health.OutcomeAnswered || outcome == health.OutcomeFull
	if responded {
		e.limitIfRestarted(now, u)
	}
	outcome = u.Health.FinishProbe(now, outcome)
	e.activeProbes--
	e.addProbeEvent(u, wasEjected, wasFull)
	switch {
	case responded:
		e.recordDomainSuccess(now, u.Domain)
	case outcome == health.OutcomeFailed && u.Health.Silent() && u.State != roster.StateGone:
		// That an upstream that is gone does not answer is what is expected, and says nothing about its failure domain.
		e.recordProbeFailure(now, u)
	}
	return outcome
}

// addProbeEvent adds the event of a change that a probe has brought about.
func (e *Engine) addProbeEvent(u *roster.Upstream, wasEjected, wasFull bool) {
	switch {
	case !wasFull && u.Health.Full():
		e.addEvent(Event{Kind: EventUpstreamFull, Upstream: u})
	case wasEjected && !u.Health.Ejected():
		e.addEvent(Event{Kind: EventUpstreamReachable, Upstream: u})
	case !wasEjected && u.Health.Ejected() && u.State != roster.StateGone:
		e.addEvent(Event{Kind: EventUpstreamEjected, Upstream: u})
	}
}

// recordProbeFailure counts a failed probe against the failure domain of the upstream.
func (e *Engine) recordProbeFailure(now model.Instant, u *roster.Upstream) {
	d := e.domainTracker(u.Domain)
	if d.RecordProbeFailure(now, u.ID) {
		e.addEvent(Event{Kind: EventDomainPartitioned, Domain: u.Domain})
	}
	if d.Partitioned() {
		e.markPathDown(u.Domain)
	}
	e.reportUnreachable(now, u, d)
	if d.Suspected(now) {
		e.suspectDomain(now, u.Domain)
	}
}

// markPathDown marks every upstream of a partitioned failure domain as unreachable because of the path, so that it is not taken for down.
func (e *Engine) markPathDown(id model.DomainID) {
	for _, u := range e.roster.All() {
		if u.Domain == id {
			u.Health.MarkPathDown()
		}
	}
}

// domainSample is the number of upstreams without flows of this instance that it probes in an unresponsive failure domain. With hundreds of
// instances and upstreams, probes of all by all would be most of the connections that upstreams get.
const domainSample = 4

// suspectDomain probes the upstreams of an unresponsive failure domain that have flows of this instance, and a sample of the others. Several
// upstreams that fail at the same time look like a partition; probes of those with flows tell them from the others, whose flows continue, and
// the sample shows when the domain answers again.
func (e *Engine) suspectDomain(now model.Instant, id model.DomainID) {
	all := e.roster.All()
	wanted := domainSample
	for _, u := range all {
		if u.Domain == id && u.Load.Flows == 0 && u.Health.Suspect() {
			wanted--
		}
	}
	first := e.rng.IntN(max(len(all), 1))
	for n := range all {
		u := all[(first+n)%len(all)]
		if u.Domain != id || u.Health.Suspect() || !e.roster.Usable(u) {
			continue
		}
		if u.Load.Flows == 0 {
			if wanted <= 0 {
				continue
			}
			wanted--
		}
		u.Health.MarkSuspect(now)
		e.startProbe(now, u)
	}
}

// startDueProbes starts the probes that are due, so that recovery is noticed without traffic from callers. Those that have waited longest come
// first, so that each is started in bounded time.
func (e *Engine) startDueProbes(now model.Instant) {
	e.probesWaiting = false
	for !e.probesWaiting {
		u := e.longestDue(now)
		if u == nil {
			return
		}
		e.startProbe(now, u)
	}
}

// longestDue returns the upstream whose probe has been due for the longest time, the first by ID if there are several; nil if none is due. Upstreams
// that are gone from the registry are probed as long as they have flows: their flows are reset only if the upstreams do not answer.
func (e *Engine) longestDue(now model.Instant) (longest *roster.Upstream) {
	var longestSince model.Instant
	consider := func(u *roster.Upstream) {
		since, due := u.Health.ProbeDue(now)
		if !due || u.Replaced() {
			return
		}
		if longest == nil || cmp.Or(cmp.Compare(since, longestSince), cmp.Compare(u.ID, longest.ID)) < 0 {
			longest, longestSince = u, since
		}
	}
	for _, u := range e.roster.All() {
		consider(u)
	}
	for _, u := range e.roster.Gone() {
		if u.Load.Flows > 0 {
			consider(u)
		}
	}
	return longest
}

// sampleDomains keeps up the sample of each partitioned failure domain, as upstreams in it may end.
func (e *Engine) sampleDomains(now model.Instant) {
	var partitioned []model.DomainID
	for id, d := range e.domains {
		if d.Partitioned() {
			partitioned = append(partitioned, id)
		}
	}
	// The table has no order; a replay must give the same result each time.
	slices.Sort(partitioned)
	for _, id := range partitioned {
		e.suspectDomain(now, id)
	}
}

func (e *Engine) domainTracker(id model.DomainID) *health.DomainTracker {
	d := e.domains[id]
	if d == nil {
		d = &health.DomainTracker{}
		e.domains[id] = d
	}
	return d
}
