package direct

import (
	"net/netip"

	"hawthorncourse/internal/core/model"
	"hawthorncourse/internal/core/roster"
)

// windowPackets is how many packets a caller may have under way; more prove that earlier ones were acknowledged.
const windowPackets = 16

// Packet decides on one packet; the actions are valid until the next call.
func (e *Engine) Packet(now model.Instant, seg *model.Segment) []Action {
	e.actions = e.actions[:0]
	switch {
	case e.ready:
		e.decide(now, seg)
	case len(e.early) < earlyLimit:
		e.early = append(e.early, earlyPacket{at: now, seg: *seg})
	default:
		e.drop(seg, nil, model.ReasonNotReady)
	}
	return e.actions
}

func (e *Engine) decide(now model.Instant, seg *model.Segment) {
	if seg.Syn {
		e.open(now, seg)
		return
	}
	e.relay(now, seg)
}

// relay decides on a packet of a flow that its caller believes open.
func (e *Engine) relay(now model.Instant, seg *model.Segment) {
	r := e.routes[seg.Flow.Service]
	if r == nil {
		e.reset(seg, nil, model.ReasonRouteRemoved)
		return
	}
	f := e.flows.Touch(now, seg.Flow)
	up := e.resolve(r, f, seg)
	if up == nil {
		e.unresolved(now, seg, f)
		return
	}
	if up.State == roster.StateGone {
		e.ended(seg, f, up, model.ReasonUpstreamGone)
		return
	}
	if seg.Size > 0 && r.Kind == model.RouteIdempotent && up.Health.Unreachable(f.waits(now, seg)) && !e.cfg.Disabled.Resets {
		// The caller may repeat its request, and a new flow finds an upstream that can be reached.
		e.ended(seg, f, up, model.ReasonUpstreamUnreachable)
		return
	}
	if f == nil {
		if !e.flows.Put(now, seg.Flow, flow{up: up}) {
			e.forward(up, seg)
			return
		}
		f = e.flows.Peek(seg.Flow)
	}
	f.move(up)
	e.observe(now, seg, f)
	e.forward(up, seg)
	if seg.Reset {
		f.end()
		e.flows.Delete(seg.Flow)
	}
}

// resolve returns the upstream of a packet: by its tag among the services of its route, or by what was seen of the flow.
func (e *Engine) resolve(r *route, f *flow, seg *model.Segment) *roster.Upstream {
	if seg.Tag != 0 {
		for _, service := range r.services {
			if up := e.roster.ByTag(service, seg.Tag); up != nil {
				return up
			}
		}
		return nil
	}
	if f != nil {
		return f.up
	}
	return nil
}

// unknownLimit bounds the tags that are remembered as unknown; more than that are noise.
const unknownLimit = 1024

// unknownTag is a tag that no upstream of a route's services had.
type unknownTag struct {
	service netip.AddrPort
	tag     model.RoutingTag
}

// unresolved decides on a packet whose upstream nobody here knows. It may be one that only others have heard of; once the
// registry has been confirmed since the tag was first seen, it is one that has ended.
func (e *Engine) unresolved(now model.Instant, seg *model.Segment, f *flow) {
	if seg.Tag == 0 {
		e.drop(seg, nil, model.ReasonTagMissing)
		return
	}
	key := unknownTag{service: seg.Flow.Service, tag: seg.Tag}
	since, known := e.unknown[key]
	switch {
	case !known:
		if len(e.unknown) >= unknownLimit {
			clear(e.unknown)
		}
		e.unknown[key] = now
	case e.roster.Complete(now, since):
		e.ended(seg, f, nil, model.ReasonUpstreamGone)
		return
	}
	e.drop(seg, nil, model.ReasonTagUnknown)
}

// ended answers a packet whose upstream will not get it, so that its caller need not wait.
func (e *Engine) ended(seg *model.Segment, f *flow, up *roster.Upstream, reason model.Reason) {
	if f != nil {
		f.end()
		e.flows.Delete(seg.Flow)
	}
	if seg.Reset {
		e.drop(seg, up, reason)
		return
	}
	e.reset(seg, up, reason)
}

// observe learns from a caller's packet how its upstream does.
func (e *Engine) observe(now model.Instant, seg *model.Segment, f *flow) {
	if !f.open {
		e.opened(now, seg, f)
	}
	if seg.HasAck && after(seg.AckSeq, f.received) {
		f.received = seg.AckSeq
		e.progress(now, f)
		if f.asked != 0 {
			e.sample(SampleAnswer, now.Sub(f.asked))
		}
		f.answer(now)
	}
	end := seg.Seq + uint32(seg.Size)
	switch {
	case seg.Size > 0 && after(end, f.position):
		f.position = end
		f.ask(now)
		if f.ahead++; f.ahead > windowPackets {
			e.progress(now, f)
		}
	case f.waits(now, seg) && !f.missed:
		f.missed = true
		e.miss(now, f.up, f.asked)
	}
	if seg.Fin {
		f.end()
	}
}

// opened notes that the caller holds an answer from the flow's upstream.
func (e *Engine) opened(now model.Instant, seg *model.Segment, f *flow) {
	f.open = true
	if f.opening != nil {
		e.alive(now, f.up)
		if len(f.tried) == 1 {
			e.shakes.observe(now.Sub(f.sent))
			e.sample(SampleHandshake, now.Sub(f.sent))
		}
	}
	f.opening, f.tried = nil, nil
	f.position, f.received = seg.Seq, seg.AckSeq
	f.count()
}

// progress notes a sign of life within an open flow.
func (e *Engine) progress(now model.Instant, f *flow) {
	f.ahead, f.missed = 0, false
	e.alive(now, f.up)
}

// after compares positions, which wrap around.
func after(a, b uint32) bool {
	return int32(a-b) > 0
}
