package direct

import (
	"cmp"
	"slices"

	"hawthorncourse/internal/core/health"
	"hawthorncourse/internal/core/model"
	"hawthorncourse/internal/core/roster"
)

// An unanswered SYN does not show that its upstream is silent: upstreams answer callers directly, and routers may send the caller's next packet to another
// instance. A second upstream would answer the SYN as well, for as long as it retransmits its answer. So the upstream is probed first. If it runs, the SYN is
// left to its caller, whose copy shows that it has received no answer: the SYN or the answer was lost, and the first copy goes to the same upstream again, which
// repeats its answer. The next copy goes to another one. A probe says only that something accepts connections at the address, which is the upstream itself if
// it has answered a flow since the address can have been given to another one. If that is not known, the first copy goes to another upstream: little traffic is
// no reason to send a SYN there before, as the caller may have its answer.

// silentSyn is a SYN that was not answered in time as far as this instance has seen.
type silentSyn struct {
	flow model.FlowKey
	// sentAt is when the SYN was sent; the flow's state tells whether it was answered or sent again since.
	sentAt model.Instant
}

// silentSyns holds the unanswered SYNs of each upstream until a probe of it has a conclusive outcome.
type silentSyns map[*roster.Upstream][]silentSyn

func (s silentSyns) add(u *roster.Upstream, syn silentSyn) {
	s[u] = append(s[u], syn)
}

// waitingFlow returns the flow of a SYN that is still unanswered, or nil.
func (e *Engine) waitingFlow(syn silentSyn) *flow {
	f := e.flows.Peek(syn.flow)
	if f == nil || f.established || f.syn == nil || f.synAt != syn.sentAt {
		return nil
	}
	return f
}

// probeSilentSyn probes an upstream that has left a SYN unanswered, even if it answers other flows: it may be full.
func (e *Engine) probeSilentSyn(now model.Instant, u *roster.Upstream) {
	if e.cfg.Disabled.Probes {
		return
	}
	u.Health.MarkSuspect(now)
	e.startProbe(now, u)
}

// probeSilent probes the upstreams with unanswered SYNs again whose probes were inconclusive or could not start.
func (e *Engine) probeSilent(now model.Instant) {
	if len(e.silent) == 0 {
		return
	}
	upstreams := make([]*roster.Upstream, 0, len(e.silent))
	for u, syns := range e.silent {
		e.silent[u] = slices.DeleteFunc(syns, func(s silentSyn) bool { return e.waitingFlow(s) == nil || now.Sub(s.sentAt) >= synCopyTime })
		if len(e.silent[u]) == 0 {
			delete(e.silent, u)
			continue
		}
		upstreams = append(upstreams, u)
	}
	// The table has no order; a replay must give the same result each time.
	slices.SortFunc(upstreams, func(a, b *roster.Upstream) int { return cmp.Compare(a.ID, b.ID) })
	for _, u := range upstreams {
		e.probeSilentSyn(now, u)
	}
}

// settleSilent leaves the unanswered SYNs of an upstream to their callers if a probe was answered and has not shown that the upstream is full, and sends them to
// others if not.
func (e *Engine) settleSilent(now model.Instant, u *roster.Upstream, outcome health.Outcome) {
	if outcome == health.OutcomeInconclusive {
		return
	}
	syns := e.silent[u]
	delete(e.silent, u)
	for _, syn := range syns {
		f := e.waitingFlow(syn)
		switch {
		case f == nil:
		case !u.Health.Unavailable():
			f.probed = e.ranLately(now, u)
		default:
			e.retrySyn(now, syn.flow, f)
		}
	}
}

// ranLately reports whether an upstream has answered a flow so lately that no other can have got its address since. Half of the time is left for answers that
// were under way for long.
func (e *Engine) ranLately(now model.Instant, u *roster.Upstream) bool {
	at := u.Health.LastSuccess()
	return at != 0 && now.Sub(at) < e.cfg.Limits.AddressReuse/2
}

// acceptsCopy reports whether a copy of a flow's SYN may go to the same upstream again: it is not the last one, and the upstream runs and takes new flows as far
// as is known.
func (e *Engine) acceptsCopy(f *flow) bool {
	return f.probed && f.copies.count < synTransmissions && len(f.tried) == 1 && e.roster.Usable(f.up) && e.reachable(f.up)
}
