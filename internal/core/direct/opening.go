package direct

import (
	"hawthorncourse/internal/core/model"
	"hawthorncourse/internal/core/roster"
)

// Several upstreams may have answered a SYN: this instance or another has sent it again, or copies of it went through other instances. The flow is open at
// one of them, and its caller may echo the opening tag of another, which retransmits its answer for many seconds. So an opening tag decides only for the
// first packet of a flow, and only where it is known that no other upstream can have answered (lease.go), or that the caller has just accepted that answer.

// firstSeq returns the sequence number of the flow's first byte of data, if this instance has seen its SYN.
func (f *flow) firstSeq() uint32 {
	return f.copies.seq + 1
}

// names reports whether the tag of a packet is that of a run, or may be an opening tag of it.
func names(seg *model.Segment, u *roster.Upstream) bool {
	return seg.Tag != 0 && seg.Tag.Prefix() == u.Tag.Prefix()
}

// triedWith returns the upstream that the SYN was sent to and that the tag of a packet names; nil if there is none, or if there are several.
func (f *flow) triedWith(seg *model.Segment) (up *roster.Upstream) {
	for _, u := range f.tried {
		if !names(seg, u) {
			continue
		}
		if up != nil {
			return nil
		}
		up = u
	}
	return up
}

// resolveOpening returns the upstream of a packet with an opening tag: the one that this instance knows to hold the flow or, for the first packet of the flow,
// the one that the tag names while its lease lasts. It returns nil for any other packet of a flow that this instance does not know, as the flow need not be
// open there.
func (e *Engine) resolveOpening(now model.Instant, r *route, f *flow, seg *model.Segment) *roster.Upstream {
	if f != nil {
		if up := e.holder(now, f, seg); up != nil {
			return up
		}
	}
	for _, service := range r.services {
		for _, u := range e.roster.ByPrefix(service, seg.Tag.Prefix()) {
			if e.isLeased(now, seg, u) {
				return u
			}
		}
	}
	return nil
}

// holder returns the upstream at which a flow is open according to its state, for a packet with an opening tag; nil if the state does not tell.
func (e *Engine) holder(now model.Instant, f *flow, seg *model.Segment) *roster.Upstream {
	arrived := now.Add(-seg.Delay)
	switch {
	case f.established && f.isNear(seg.Seq) && e.hasOpeningTag(seg):
		return f.up
	case f.established || f.syn == nil:
		return nil
	case len(f.tried) == 1 && f.copies.complete(arrived):
		// No other upstream can have answered.
		return f.triedWith(seg)
	case !f.copies.precedes(seg):
		return nil
	case f.precedesRetransmission(arrived), len(f.tried) == 1 && f.copies.precedeOther(arrived):
		// The caller has sent the packet on the answer that it has accepted.
		return f.triedWith(seg)
	default:
		return nil
	}
}

// hasOpeningTag reports whether the tag of a packet is the opening tag of a known run, for this flow or for another one.
func (e *Engine) hasOpeningTag(seg *model.Segment) bool {
	return e.roster.AnyByPrefix(seg.Tag.Prefix(), func(u *roster.Upstream) bool { return u.Tag != seg.Tag })
}

// isUnproven reports whether a packet has an opening tag of a known run that does not prove that the flow is open there.
func (e *Engine) isUnproven(now model.Instant, seg *model.Segment) bool {
	known := false
	proven := e.roster.AnyByPrefix(seg.Tag.Prefix(), func(u *roster.Upstream) bool {
		known = true
		return seg.Tag == u.Tag || e.isLeased(now, seg, u)
	})
	return known && !proven
}
