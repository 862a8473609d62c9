package direct

import (
	"time"

	"hawthorncourse/internal/core/model"
	"hawthorncourse/internal/core/roster"
)

// flow is the state of one flow as seen by this instance.
type flow struct {
	// up is the upstream that the flow's packets go to; nil only before the first choice.
	up *roster.Upstream
	// tried holds every upstream that the SYN was sent to, in order. It is nil once the flow is established if that is up alone.
	tried []*roster.Upstream
	// syn is the raw SYN; nil once the flow is established, or if this instance did not see the SYN.
	syn []byte
	// copies counts the copies of the SYN that came here.
	copies synCopies
	// synAt is when the SYN was last sent to up or, if this instance did not see the SYN, when the flow's first packet arrived.
	synAt model.Instant
	// copyAt is when the SYN was last sent because a copy of it had come from the caller.
	copyAt model.Instant
	// leased is set if the SYN was sent to up with a lease; it goes to no other upstream until that is over.
	leased bool
	// probed is set once up has answered a probe, and was not full, since the SYN went unanswered there.
	probed bool
	// established is set once a packet of the caller shows that it has received a packet from up.
	established bool
	// opened is set if this instance has sent the SYN to up, and the caller's first packet came here and had the tag of up.
	opened bool
	// answered is set once the caller has acknowledged data in a packet with the tag of up, which shows that the flow is open there.
	answered bool
	// counted is set while the flow is included in the load of up.
	counted bool
	// requestAt is when the last byte of the unanswered request was sent to up; zero if there is none.
	requestAt model.Instant
	// seenAt is when the caller's last packet was forwarded to up.
	seenAt model.Instant
	// sentSeq is the sequence number after the last byte of data forwarded.
	sentSeq uint32
	// ackSeq is the last acknowledgement number of the caller.
	ackSeq uint32
	// unconfirmed counts the data packets forwarded since up last showed that it is alive.
	unconfirmed int
	// timedOut is set once the unanswered request has been counted as a timeout of up.
	timedOut bool
}

// addLoad includes the flow in the load of its upstream.
func (f *flow) addLoad() {
	if !f.counted {
		f.counted = true
		f.up.Load.Flows++
	}
}

// startRequest records that request data was sent to the upstream.
func (f *flow) startRequest(now model.Instant) {
	if f.requestAt == 0 {
		f.up.Load.Running++
	}
	f.requestAt = now
}

// finishRequest records that an answer of the upstream has reached the caller.
func (f *flow) finishRequest(now model.Instant) {
	if f.requestAt != 0 {
		f.up.Load.Running--
		f.up.Load.Observe(now.Sub(f.requestAt))
		f.requestAt = 0
	}
}

// releaseLoad removes the flow and its running request from the load of its upstream.
func (f *flow) releaseLoad() {
	if f.requestAt != 0 {
		f.up.Load.Running--
		f.requestAt = 0
	}
	if f.counted {
		f.up.Load.Flows--
		f.counted = false
	}
}

// reassign moves the flow to another upstream and releases the load at the old one.
func (f *flow) reassign(up *roster.Upstream) {
	if f.up == up {
		return
	}
	f.releaseLoad()
	f.up = up
}

// follow moves the flow to the upstream that the tag of its caller's packet names. It returns ReasonTagChanged if the flow was established at another.
func (f *flow) follow(up *roster.Upstream) (reason model.Reason) {
	if f.established && f.up.Tag != up.Tag {
		reason, f.tried, f.opened, f.answered = model.ReasonTagChanged, nil, false, false
	}
	f.reassign(up)
	return reason
}

// keeps reports whether a packet stays at the upstream of an established flow whatever its tag. A caller echoes the last tag that it has received, so it
// may be that of another upstream which has answered a copy of the SYN. That is the case if this instance has sent the SYN there, or if
// the flow's own upstream is known to have answered the SYN or data; any other tag may be that of a flow on a reused port.
func (f *flow) keeps(seg *model.Segment) bool {
	return f.established && f.isNear(seg.Seq) && (f.opened || f.answered || f.wasTriedTag(seg.Tag))
}

// seqWindow is above the number of bytes that a caller sends within the time that a packet spends in the network.
const seqWindow = 1 << 20

// isNear reports whether a sequence number may be one of the flow; that of a later flow on the same port is most likely far away.
func (f *flow) isNear(seq uint32) bool {
	return seq-f.sentSeq+seqWindow <= 2*seqWindow
}

// wasTried reports whether the SYN was sent to the upstream.
func (f *flow) wasTried(up *roster.Upstream) bool {
	for _, t := range f.tried {
		if t == up {
			return true
		}
	}
	return false
}

// wasTriedTag reports whether the SYN was sent to the upstream with the tag.
func (f *flow) wasTriedTag(tag model.RoutingTag) bool {
	for _, t := range f.tried {
		if t.Tag == tag {
			return true
		}
	}
	return false
}

// retransmitAfter is below the time after which callers retransmit data (200 ms); old data that arrives sooner was reordered in the network.
const retransmitAfter = 150 * time.Millisecond

// retransmitWithin is above the longest time between two retransmissions of a caller (1.6 s).
const retransmitWithin = 1700 * time.Millisecond

// waits reports whether the caller has retransmitted unanswered data here, and not longer ago than its next copy takes. Otherwise, routers
// may have moved the flow, and other instances may have seen an answer.
func (f *flow) waits(now model.Instant) bool {
	return f.established && f.timedOut && f.requestAt != 0 && now.Sub(f.seenAt) <= retransmitWithin
}

// isRetransmission reports whether the packet retransmits data that is still unanswered; it is false for a nil flow, which this
// instance has not seen before.
func (f *flow) isRetransmission(now model.Instant, seg *model.Segment) bool {
	return f != nil && f.established && f.requestAt != 0 && seg.Size > 0 && !seqAfter(seg.Seq+uint32(seg.Size), f.sentSeq) && now.Sub(f.requestAt) >= retransmitAfter
}
