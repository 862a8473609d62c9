package direct

import (
	"hawthorncourse/internal/core/model"
	"hawthorncourse/internal/core/place"
	"hawthorncourse/internal/core/roster"
)

// choose picks the upstream of a new flow; it returns nil when no upstream may take it.
func (e *Engine) choose(now model.Instant, r *route, f *flow) *roster.Upstream {
	target := place.Target(r.Targets, func(t model.Target) float64 { return t.Weight }, e.rng)
	if up := e.chooseOf(now, target.Service, f); up != nil {
		return up
	}
	for _, other := range r.Targets {
		if other.Service == target.Service {
			continue
		}
		if up := e.chooseOf(now, other.Service, f); up != nil {
			return up
		}
	}
	return nil
}

// chooseOf picks among the upstreams of one service: reachable warm ones, then cold ones within their limit, then any.
func (e *Engine) chooseOf(now model.Instant, service model.ServiceID, f *flow) *roster.Upstream {
	e.candidates = e.candidates[:0]
	var cold, doubted []*roster.Upstream
	for _, u := range e.roster.Of(service) {
		switch {
		case !e.roster.Usable(u) || f.wasTried(u):
		case u.Cold(now):
			if e.cold.admits(u, e.coldShare(service)) {
				cold = append(cold, u)
			}
		case !e.reachable(u):
			doubted = append(doubted, u)
		default:
			e.addCandidate(u)
		}
	}
	for _, more := range [][]*roster.Upstream{cold, doubted} {
		if len(e.candidates) > 0 {
			break
		}
		for _, u := range more {
			e.addCandidate(u)
		}
	}
	if len(e.candidates) == 0 {
		return e.again(now, service, f)
	}
	return e.candidates[e.policy.Pick(e.candidates, e.rng)].Value
}

// again returns an upstream that was tried before, for callers that repeat their opening packet.
func (e *Engine) again(now model.Instant, service model.ServiceID, f *flow) *roster.Upstream {
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
