package direct

import (
	"time"

	"hawthorncourse/internal/core/model"
)

// Callers send copies of a SYN that is not answered in time. While routers move flows, each copy may go through another instance, so an instance that
// cannot place one does not know whether an upstream answers an earlier one.

// synTransmissions is how often the caller sends a SYN: the SYN itself and two copies.
const synTransmissions = 3

// firstCopyAfter and lastCopyAfter are when the caller sends the copies of a SYN, after the SYN.
const (
	firstCopyAfter = 200 * time.Millisecond
	lastCopyAfter  = 600 * time.Millisecond
)

// synCopyTime is above the time from the first SYN of a flow to the arrival of its last copy, which the caller sends after 600 ms.
const synCopyTime = 3 * time.Second

// isCopy reports whether a SYN is a late or duplicated copy of that of the established flow; otherwise, the caller's port is reused.
func (f *flow) isCopy(now model.Instant, syn *model.Segment) bool {
	return f.established && now.Sub(f.synAt) < synCopyTime && f.sentSeq-syn.Seq <= seqWindow
}

// precedesRetransmission reports whether the caller cannot have retransmitted a packet after the SYN yet. It sends none before it has an answer, and that is one
// to the last copy, or to the only one.
func (f *flow) precedesRetransmission(now model.Instant) bool {
	return now.Sub(f.copyAt) < retransmitAfter || f.copies.count == 1 && f.copies.complete(now)
}

// isEarlier reports whether a SYN opens a later flow on the same port.
func (f *flow) isEarlier(syn *model.Segment) bool {
	return f.established || f.copies.seq != syn.Seq || (syn.Retransmission == 0 && f.syn == nil)
}

// rejectedLimit bounds the SYNs in Engine.rejected; copies of further ones are dropped.
const rejectedLimit = 1024

// synCopies counts the copies of one SYN that came to this instance, from the first one on. Those after a missing one are not counted: it may have gone
// through another instance, to an upstream that answers it.
type synCopies struct {
	seq, count uint32
	// firstAt is when the first one came here.
	firstAt model.Instant
	// missing is set once a copy has come here and an earlier one has not.
	missing bool
}

// add counts a SYN.
func (c *synCopies) add(now model.Instant, syn *model.Segment) {
	if c.seq != syn.Seq || c.firstAt == 0 {
		*c = synCopies{seq: syn.Seq, firstAt: now.Add(-syn.Delay)}
	}
	c.missing = c.missing || syn.Retransmission > c.count
	if c.count == syn.Retransmission {
		c.count++
	}
}

// includes reports whether a SYN and all earlier copies of it were counted.
func (c *synCopies) includes(syn *model.Segment) bool {
	return c.seq == syn.Seq && syn.Retransmission < c.count
}

// complete reports whether the caller can have sent no copy that did not come here: all up to now have come, and the next one is not due yet.
func (c *synCopies) complete(now model.Instant) bool {
	waited := now.Sub(c.firstAt)
	switch c.count {
	case 1:
		return waited < synHoldTime
	case 2:
		return waited < lastCopyAfter
	case synTransmissions:
		return waited < synCopyTime
	default:
		return false
	}
}

// precedeOther reports whether all copies up to the last one came here, and the caller cannot have retransmitted a packet after an answer to a copy that went
// elsewhere since.
func (c *synCopies) precedeOther(now model.Instant) bool {
	waited := now.Sub(c.firstAt)
	switch c.count {
	case 1:
		return waited < firstCopyAfter+retransmitAfter
	case 2:
		return waited < lastCopyAfter+retransmitAfter
	default:
		return false
	}
}

// precedes reports whether a packet is the first one after the SYN, or has the first data.
func (c *synCopies) precedes(seg *model.Segment) bool {
	return seg.Seq == c.seq+1
}

// synCopies returns the copies of a SYN that came here, this one included, if the earlier ones were rejected.
func (e *Engine) synCopies(now model.Instant, syn *model.Segment) synCopies {
	var copies synCopies
	if earlier := e.rejected.Peek(syn.Flow); earlier != nil {
		copies = *earlier
	}
	copies.add(now, syn)
	return copies
}

// reject resets a SYN that cannot be placed. A copy is only dropped if an earlier one may have gone through another instance: the reset might meet the open
// flow. If this instance has reset all earlier copies, their resets were lost, and it resets this one, too.
func (e *Engine) reject(now model.Instant, syn *model.Segment, copies synCopies, reason model.Reason) {
	if !copies.includes(syn) {
		e.drop(syn, nil, reason)
		return
	}
	e.rejected.Put(now, syn.Flow, copies)
	e.reset(syn, nil, reason)
}
