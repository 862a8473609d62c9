package direct

import (
	"hawthorncourse/internal/core/model"
	"hawthorncourse/internal/core/place"
	"hawthorncourse/internal/core/roster"
)

// drawTarget draws a target service of a route by weight.
func (e *Engine) drawTarget(r *route) model.ServiceID {
	return place.PickWeighted(r.Targets, func(t model.Target) float64 { return t.Weight }, e.rng).Service
}

// choose picks the upstream of a new flow: in the given target service, or in another target of the route if that service has none available. It returns
// nil when no upstream may take the flow.
func (e *Engine) choose(now model.Instant, r *route, service model.ServiceID, f *flow) *roster.Upstream {
	if up := e.chooseFromService(now, service, f); up != nil {
		return up
	}
	for _, other := range r.Targets {
		if other.Service == service {
			continue
		}
		if up := e.chooseFromService(now, other.Service, f); up != nil {
			return up
		}
	}
	return nil
}

// chooseFromService picks among the upstreams of one service that were not tried: reachable warm ones, then reachable cold ones within their
// quota, then unreachable warm ones, then unreachable cold ones within their quota, then one that was already tried.
func (e *Engine) chooseFromService(now model.Instant, service model.ServiceID, f *flow) *roster.Upstream {
	e.candidates = e.candidates[:0]
	e.cold.candidates, e.unreachable = e.cold.candidates[:0], e.unreachable[:0]
	for _, u := range e.roster.ByService(service) {
		switch {
		case !e.roster.Usable(u) || f.wasTried(u):
		case u.Cold(now):
			e.cold.candidates = append(e.cold.candidates, u)
		case !e.reachable(u):
			e.unreachable = append(e.unreachable, u)
		default:
			e.addCandidate(u)
		}
	}
	if len(e.candidates) == 0 {
		e.addColdCandidates(now, true)
	}
	if len(e.candidates) == 0 {
		for _, u := range e.unreachable {
			e.addCandidate(u)
		}
	}
	if len(e.candidates) == 0 {
		e.addColdCandidates(now, false)
	}
	if len(e.candidates) == 0 {
		return e.alreadyTried(now, service, f)
	}
	return e.candidates[e.policy.Pick(e.candidates, e.rng)].Value
}

// addColdCandidates adds the cold upstreams that this instance still has quota for, either the reachable ones or the others.
func (e *Engine) addColdCandidates(now model.Instant, reachable bool) {
	for _, u := range e.cold.candidates {
		if e.reachable(u) == reachable && e.cold.allows(u, e.coldQuota(now, u)) {
			e.addCandidate(u)
		}
	}
}

// alreadyTried returns an upstream that was tried before, for callers that retransmit their SYN.
func (e *Engine) alreadyTried(now model.Instant, service model.ServiceID, f *flow) *roster.Upstream {
	for _, u := range f.tried {
		if u.Service == service && e.roster.Usable(u) && !u.Cold(now) {
			return u
		}
	}
	return nil
}

func (e *Engine) addCandidate(u *roster.Upstream) {
	e.candidates = append(e.candidates, place.Candidate[*roster.Upstream]{
		Value: u,
		Load:  &u.Load,
		Local: u.Domain == e.cfg.Domain,
	})
}
