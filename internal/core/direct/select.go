package direct

import (
	"hawthorncourse/internal/core/model"
	"hawthorncourse/internal/core/place"
	"hawthorncourse/internal/core/roster"
)

// choose picks the upstream of a new flow; it returns nil when no upstream may take it.
func (e *Engine) choose(now model.Instant, r *route, f *flow) *roster.Upstream {
	target := place.PickWeighted(r.Targets, func(t model.Target) float64 { return t.Weight }, e.rng)
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
	e.cold.queue, e.doubted = e.cold.queue[:0], e.doubted[:0]
	for _, u := range e.roster.ByService(service) {
		switch {
		case !e.roster.Usable(u) || f.wasTried(u):
		case u.Cold(now):
			e.cold.queue = append(e.cold.queue, u)
		case !e.reachable(u):
			e.doubted = append(e.doubted, u)
		default:
			e.addCandidate(u)
		}
	}
	if len(e.candidates) == 0 {
		e.addCold(now)
	}
	if len(e.candidates) == 0 {
		for _, u := range e.doubted {
			e.addCandidate(u)
		}
	}
	if len(e.candidates) == 0 {
		return e.again(now, service, f)
	}
	return e.candidates[e.policy.Pick(e.candidates, e.rng)].Value
}

// addCold adds the cold upstreams that may get one more flow from this instance.
func (e *Engine) addCold(now model.Instant) {
	for _, u := range e.cold.queue {
		if e.cold.admits(u, e.coldShare(now, u)) {
			e.addCandidate(u)
		}
	}
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
