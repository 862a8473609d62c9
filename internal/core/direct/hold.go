package direct

import (
	"slices"
	"time"

	"hawthorncourse/internal/core/model"
)

// The packets of callers that arrive while an instance starts are held instead of dropped. After an outage of all instances, every caller waits
// for its next retransmission, and the interval between two has grown to a second or more by then: a packet that is lost while the registry
// is being read costs its caller that second, and some their deadline.

const (
	// holdLimit bounds the held packets; handling more would take longer than their callers wait.
	holdLimit = 512
	// synHoldTime is how long the first copy of a SYN is held: the caller sends the next one after 200 ms, and each further one after twice
	// as long. A SYN that is overtaken by its next copy would be placed twice.
	synHoldTime = 200 * time.Millisecond
	// dataHoldTime is how long other packets are held. An upstream that gets data twice ignores the copy.
	dataHoldTime = 500 * time.Millisecond
)

// heldPacket is a packet that waits until the instance is ready or until its route and its upstream are known.
type heldPacket struct {
	at  model.Instant
	seg model.Segment
}

// expired reports whether the packet has been held so long that it is of no use any more.
func (p *heldPacket) expired(now model.Instant) bool {
	limit := dataHoldTime
	if p.seg.Syn {
		limit = synHoldTime << min(p.seg.Retransmission, 2)
	}
	return now.Sub(p.at) > limit
}

// hold keeps a packet that is handled at the given time; it drops the packet if too many are held.
func (e *Engine) hold(at model.Instant, seg *model.Segment, reason model.Reason) {
	if len(e.held) >= holdLimit {
		e.dropHeld(at, seg, reason)
		return
	}
	e.held = append(e.held, heldPacket{at: at.Add(-seg.Delay), seg: *seg})
	e.actions = append(e.actions, Action{Verb: model.VerbHold, Reason: reason, Flow: seg.Flow, Tag: seg.Tag})
}

// ReleaseHeld handles the held packets again after a change of the registry or the routes; those that still cannot be decided upon remain held.
// The actions are valid until the next call.
func (e *Engine) ReleaseHeld(now model.Instant) []Action {
	e.actions = e.actions[:0]
	if e.ready {
		e.releaseHeld(now)
	}
	return e.actions
}

func (e *Engine) releaseHeld(now model.Instant) {
	waiting := e.held
	e.held = nil
	for i := range waiting {
		p := &waiting[i]
		p.seg.Delay = now.Sub(p.at)
		switch {
		case p.seg.Syn && hasAnswer(waiting[i+1:], p.seg.Flow):
			e.drop(&p.seg, nil, model.ReasonRepeat)
		case p.expired(now):
			e.dropHeld(now, &p.seg, model.ReasonHeldTooLong)
		case p.seg.Syn || !e.waits(now, &p.seg):
			e.dispatch(now, &p.seg)
		default:
			e.held = append(e.held, *p)
		}
	}
}

// hasAnswer reports whether the caller of a flow has an answer to its SYN, as shown by a later packet.
func hasAnswer(later []heldPacket, key model.FlowKey) bool {
	return slices.ContainsFunc(later, func(p heldPacket) bool { return p.seg.Flow == key && !p.seg.Syn })
}

// releaseHeldOf handles the packets of a flow that has just been established, which were held because of their opening tags.
func (e *Engine) releaseHeldOf(now model.Instant, key model.FlowKey) {
	var released []heldPacket
	e.held = slices.DeleteFunc(e.held, func(p heldPacket) bool {
		match := p.seg.Flow == key && !p.seg.Syn && e.isUnproven(now, &p.seg)
		if match {
			released = append(released, p)
		}
		return match
	})
	for i := range released {
		p := &released[i]
		p.seg.Delay = now.Sub(p.at)
		e.forwardOpen(now, &p.seg)
	}
}

// waits reports whether a held packet still cannot be decided upon.
func (e *Engine) waits(now model.Instant, seg *model.Segment) bool {
	if e.routes[seg.Flow.Service] == nil {
		return e.waitsForRoute(seg)
	}
	return e.waitsForTag(now, seg)
}

// waitsForTag reports whether the upstream of a packet may be one that this instance does not know yet.
func (e *Engine) waitsForTag(now model.Instant, seg *model.Segment) bool {
	r := e.routes[seg.Flow.Service]
	if r == nil || seg.Tag == 0 || e.resolve(now, r, e.flows.Peek(seg.Flow), seg) != nil {
		return false
	}
	since := e.unknownTags.Peek(unknownTag{service: seg.Flow.Service, tag: seg.Tag})
	return since == nil || !e.isDeadTag(now, seg.Tag, *since)
}

// expireHeld drops the packets that have been held for too long.
func (e *Engine) expireHeld(now model.Instant) {
	kept := e.held[:0]
	for i := range e.held {
		if p := &e.held[i]; p.expired(now) {
			e.dropHeld(now, &p.seg, model.ReasonHeldTooLong)
		} else {
			kept = append(kept, *p)
		}
	}
	clear(e.held[len(kept):])
	e.held = kept
}

// dropHeld drops a packet that was to be held. A SYN among them has reached no upstream, so its copies may be reset.
func (e *Engine) dropHeld(now model.Instant, seg *model.Segment, reason model.Reason) {
	if seg.Syn {
		e.rejected.Put(now, seg.Flow, e.synCopies(now, seg))
	}
	e.drop(seg, nil, reason)
}
