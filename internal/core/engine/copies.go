package engine

import (
	"hawthorncourse/internal/core/model"
)

// FlowAssignment tells one peer where one flow sits.
type FlowAssignment struct {
	Peer     model.InstanceID
	Flow     model.FlowKey
	Upstream model.UpstreamID
}

// copyFlow queues word of a flow for its two homes.
func (e *Engine) copyFlow(key model.FlowKey, up *upstream) {
	first, second := e.homePair(key)
	for _, peer := range []model.InstanceID{first, second} {
		if peer != "" && peer != e.cfg.Self.ID {
			e.flows.copies.Push(FlowAssignment{Peer: peer, Flow: key, Upstream: up.cfg.ID})
		}
	}
}

// copyFlows queues word of every flow that its homes could not place by themselves.
func (e *Engine) copyFlows(now model.Instant) {
	e.movedAt = max(now, 1)
	e.flows.flows.Each(func(key model.FlowKey, f *flow) bool {
		if e.displaced(key, f) {
			e.copyFlow(key, f.up)
		}
		return true
	})
}

// displaced reports whether a flow sits elsewhere than at its default.
func (e *Engine) displaced(key model.FlowKey, f *flow) bool {
	if !e.standing(f.up) {
		return false
	}
	order := defaultOrder(f.up.service, key)
	return len(order) == 0 || order[0] != f.up
}

// TakeAssignments returns at most n pieces of word for peers and forgets them.
func (e *Engine) TakeAssignments(n int) []FlowAssignment {
	var out []FlowAssignment
	for len(out) < n && e.flows.copies.Len() > 0 {
		out = append(out, e.flows.copies.Pop())
	}
	return out
}

// RequeueAssignments queues word again that did not reach its peer.
func (e *Engine) RequeueAssignments(copies []FlowAssignment) {
	for _, c := range copies {
		if up := e.upstreams[c.Upstream]; up != nil {
			e.copyFlow(c.Flow, up)
		}
	}
}

// AddAssignments takes a peer's word of where flows sit; what is known here already stays.
func (e *Engine) AddAssignments(now model.Instant, copies []FlowAssignment) {
	for _, c := range copies {
		up := e.upstreams[c.Upstream]
		if up != nil && !e.flows.told.Put(now, c.Flow, up) {
			e.note(model.ReasonFlowLimit)
		}
	}
}
