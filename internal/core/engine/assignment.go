package engine

import (
	"hawthorncourse/internal/core/model"
)

// FlowAssignment informs one peer of the upstream that a flow is assigned to.
type FlowAssignment struct {
	Peer     model.InstanceID
	Flow     model.FlowKey
	Upstream model.UpstreamID
}

// queueAssignment queues the assignment of a flow for its home and the next instance in rank, which becomes the home if the first fails.
func (e *Engine) queueAssignment(key model.FlowKey, up *upstream) {
	first, second := e.homeAndBackup(key)
	for _, peer := range []model.InstanceID{first, second} {
		if peer != "" && peer != e.cfg.Self.ID {
			e.flows.outgoing.Push(FlowAssignment{Peer: peer, Flow: key, Upstream: up.cfg.ID})
		}
	}
}

// queueDisplacedFlows queues the assignment of every flow that its home could not derive from the document alone.
func (e *Engine) queueDisplacedFlows(now model.Instant) {
	e.topologyChangedAt = max(now, 1)
	e.flows.flows.Each(func(key model.FlowKey, f *flow) bool {
		if e.displaced(key, f) {
			e.queueAssignment(key, f.up)
		}
		return true
	})
}

// displaced reports whether a flow is assigned to an upstream other than the first in its upstreamOrder.
func (e *Engine) displaced(key model.FlowKey, f *flow) bool {
	if !e.servesEstablished(f.up) {
		return false
	}
	order := upstreamOrder(f.up.service, key)
	return len(order) == 0 || order[0] != f.up
}

// TakeAssignments removes and returns at most n queued assignments for peers.
func (e *Engine) TakeAssignments(n int) []FlowAssignment {
	var out []FlowAssignment
	for len(out) < n && e.flows.outgoing.Len() > 0 {
		out = append(out, e.flows.outgoing.Pop())
	}
	return out
}

// RequeueAssignments queues assignments again that could not be sent to their peer.
func (e *Engine) RequeueAssignments(assignments []FlowAssignment) {
	for _, a := range assignments {
		if up := e.upstreams[a.Upstream]; up != nil {
			e.queueAssignment(a.Flow, up)
		}
	}
}

// AddAssignments stores the assignments of flows that a peer sent; flows that this instance placed or relayed itself take precedence.
func (e *Engine) AddAssignments(now model.Instant, assignments []FlowAssignment) {
	for _, a := range assignments {
		up := e.upstreams[a.Upstream]
		if up != nil && !e.flows.peerAssignments.Put(now, a.Flow, up) {
			e.countReason(model.ReasonFlowLimit)
		}
	}
}
