package direct

import (
	"net/netip"
	"time"

	"hawthorncourse/internal/core/model"
	"hawthorncourse/internal/core/roster"
)

// maxInFlightPackets is the most data packets that a caller has in flight; if more pass, the upstream must have acknowledged earlier ones.
const maxInFlightPackets = 16

// Packet handles one packet; the actions are valid until the next call. Before SetReady, packets are held.
func (e *Engine) Packet(now model.Instant, seg *model.Segment) []Action {
	e.actions = e.actions[:0]
	if e.ready {
		e.dispatch(now, seg)
	} else {
		e.hold(now, seg, model.ReasonNotReady)
	}
	return e.actions
}

func (e *Engine) dispatch(now model.Instant, seg *model.Segment) {
	if seg.Syn {
		e.openFlow(now, seg)
		return
	}
	e.forwardOpen(now, seg)
}

// forwardOpen handles a packet of a flow that its caller considers open.
func (e *Engine) forwardOpen(now model.Instant, seg *model.Segment) {
	// A copy of the SYN may have been placed by another instance.
	e.cancelWaiting(seg.Flow)
	r := e.routes[seg.Flow.Service]
	if r == nil {
		e.handleUnrouted(now, seg)
		return
	}
	f := e.flows.Touch(now, seg.Flow)
	up := e.resolve(now, r, f, seg)
	if up == nil {
		e.handleUnresolved(now, seg, f)
		return
	}
	reason := e.endReason(now, r.Kind, up)
	switch {
	case reason == model.ReasonUpstreamGone, reason != model.ReasonNone && seg.Size > 0:
		// The caller of an idempotent request may safely repeat it, and a new flow is sent to an upstream that answers.
		e.terminate(seg, f, up, reason)
		return
	case up.State == roster.StateGone || up.Health.FailedProbes() > 0:
		// An upstream that is gone is probed only while it has flows here, so earlier failures may be out of date.
		e.startProbe(now, up)
	}
	if f == nil {
		if !e.flows.Put(now, seg.Flow, flow{up: up, synAt: now}) {
			e.forward(up, seg, model.ReasonNone)
			return
		}
		f = e.flows.Peek(seg.Flow)
	}
	established := f.established
	reason = f.follow(up)
	e.observe(now, seg, f)
	e.forward(up, seg, reason)
	if !established {
		e.releaseHeldOf(now, seg.Flow)
	}
	if seg.Reset {
		f.releaseLoad()
		e.flows.Delete(seg.Flow)
	}
}

// resolve returns the upstream of a packet: by its tag among the services of its route, or from the flow's state if it has no tag or if the tag may
// come from a second answer to the flow's SYN. It returns nil if that is an unknown tag, an opening tag that may come from a second answer, or if no tag says
// which of several upstreams has answered. The roster may have forgotten the tag of the flow's own upstream, which may still serve.
func (e *Engine) resolve(now model.Instant, r *route, f *flow, seg *model.Segment) *roster.Upstream {
	tag := seg.Tag
	if f != nil && f.keeps(seg) {
		tag = f.up.Tag
	}
	if tag != 0 {
		for _, service := range r.services {
			if up := e.roster.ByTag(service, tag); up != nil {
				return up
			}
		}
		if f != nil && f.up.Tag == tag {
			return f.up
		}
		return e.resolveOpening(now, r, f, seg)
	}
	if f != nil && (f.established || seg.Reset || len(f.tried) < 2) {
		return f.up
	}
	return nil
}

const (
	// unknownTagLimit bounds the unknown tags that are remembered. When it is reached, packets with further ones are dropped without being
	// remembered, so that tags that are about to be resolved keep their place.
	unknownTagLimit = 1024
	// unknownTagTTL is how long a tag is remembered after its last packet: callers retransmit at intervals of up to 1.6 s.
	unknownTagTTL = 3 * time.Second
)

// unknownTag is a tag that matches no upstream of a route's services.
type unknownTag struct {
	service netip.AddrPort
	tag     model.RoutingTag
}

// isDeadTag reports whether no upstream that serves has an unresolved tag, first seen at since. Other instances may send the flows of a route to a run
// that this one does not use any more or has never used, or to a service of a configuration that this one has skipped.
func (e *Engine) isDeadTag(now model.Instant, tag model.RoutingTag, since model.Instant) bool {
	return e.roster.Complete(since) && !e.roster.Knows(now, tag)
}

// handleUnresolved handles a packet whose upstream is not known. The packet is held at first, as the upstream may be so new that only
// other instances know it, or this instance may still be reading the registry. The flow is reset only if this instance would know the tag of any
// upstream that the flow can belong to; otherwise the packet is dropped, as the upstream may serve.
func (e *Engine) handleUnresolved(now model.Instant, seg *model.Segment, f *flow) {
	if seg.Tag == 0 {
		e.drop(seg, nil, model.ReasonTagMissing)
		return
	}
	if e.isUnproven(now, seg) {
		e.hold(now, seg, model.ReasonTagUnproven)
		return
	}
	key := unknownTag{service: seg.Flow.Service, tag: seg.Tag}
	since := e.unknownTags.Touch(now, key)
	if since != nil && e.isDeadTag(now, seg.Tag, *since) {
		e.terminate(seg, f, nil, model.ReasonUpstreamGone)
		return
	}
	if since == nil {
		e.unknownTags.Put(now, key, now)
	}
	e.hold(now, seg, model.ReasonTagUnknown)
}

// terminate removes the flow of a packet that cannot be forwarded, and resets it so that its caller need not wait for a timeout. A packet
// that is itself a reset is only dropped.
func (e *Engine) terminate(seg *model.Segment, f *flow, up *roster.Upstream, reason model.Reason) {
	if f != nil {
		f.releaseLoad()
		e.flows.Delete(seg.Flow)
	}
	if seg.Reset {
		e.drop(seg, up, reason)
		return
	}
	e.reset(seg, up, reason)
}

// observe updates the state of the flow and the health of its upstream from a caller's packet.
func (e *Engine) observe(now model.Instant, seg *model.Segment, f *flow) {
	f.seenAt = now
	if !f.established {
		e.finishHandshake(now, seg, f)
	}
	if seg.HasAck && seqAfter(seg.AckSeq, f.ackSeq) {
		f.ackSeq = seg.AckSeq
		f.answered = f.answered || seg.Tag == f.up.Tag
		e.recordProgress(now, f)
		if f.requestAt != 0 {
			e.addSample(SampleAnswer, now.Sub(f.requestAt))
			e.admission.observeAnswer(f.up.Service, now.Sub(f.requestAt))
		}
		f.finishRequest(now)
	}
	end := seg.Seq + uint32(seg.Size)
	switch {
	case seg.Size > 0 && seqAfter(end, f.sentSeq):
		f.sentSeq = end
		f.startRequest(now)
		if f.unconfirmed++; f.unconfirmed > maxInFlightPackets {
			e.recordProgress(now, f)
		}
	case f.isRetransmission(now, seg) && !f.timedOut:
		f.timedOut = true
		e.recordTimeout(now, f.up, f.requestAt)
	}
	if seg.Fin {
		f.releaseLoad()
	}
}

// finishHandshake records that the caller has received a packet from the flow's upstream.
func (e *Engine) finishHandshake(now model.Instant, seg *model.Segment, f *flow) {
	f.established = true
	if f.syn != nil {
		e.recordHandshake(now, f.up)
		if len(f.tried) == 1 {
			e.handshakes.observe(now.Sub(f.synAt))
			e.addSample(SampleHandshake, now.Sub(f.synAt))
		}
	}
	answered := f.triedWith(seg) == f.up
	if answered && !seg.Reset {
		f.up.RecordOpened(f.synAt)
	}
	f.opened = answered && f.copies.precedes(seg)
	f.syn = nil
	if len(f.tried) == 1 && f.tried[0] == f.up {
		f.tried = nil
	}
	f.sentSeq, f.ackSeq = seg.Seq, seg.AckSeq
	f.addLoad()
}

// recordProgress records that the upstream of an established flow is alive.
func (e *Engine) recordProgress(now model.Instant, f *flow) {
	f.unconfirmed, f.timedOut = 0, false
	e.recordSuccess(now, f.up)
}

// seqAfter reports whether sequence number a comes after b; sequence numbers wrap around.
func seqAfter(a, b uint32) bool {
	return int32(a-b) > 0
}
