package relay

import (
	"bytes"
	"net/netip"
	"time"

	"hawthorncourse/internal/core/direct"
	"hawthorncourse/internal/core/egress"
	"hawthorncourse/internal/core/model"
)

const (
	// datagramOverhead is the size of the IP and UDP headers, in bytes.
	datagramOverhead = 28
	// pacingInterval is the least time between two wake-ups that send queued packets; the scheduler makes up for it by a burst.
	pacingInterval = 2 * time.Millisecond
)

// outgoing is a datagram that waits for the instance's own link.
type outgoing struct {
	raw []byte
	to  netip.AddrPort
}

// transmit sends the datagram in the send buffer, or queues a copy of it while the link is busy.
func (r *Relay) transmit(now model.Instant, a *direct.Action, to netip.AddrPort) {
	size := len(r.datagram) + datagramOverhead
	if r.egress.TrySend(now, size) {
		r.write(r.datagram, to)
		return
	}
	r.counts.Counter("egress.queued").Inc(1)
	p := egress.Packet[outgoing]{
		Flow: a.Flow, Seq: a.Seq, Length: a.Length, Size: size, Urgent: !a.Ordered, Payload: outgoing{raw: bytes.Clone(r.datagram), to: to},
	}
	if !r.egress.Push(p) {
		r.counters.drop(model.ReasonEgressFull)
	}
}

// transmitQueued sends the queued datagrams that the link is free for.
func (r *Relay) transmitQueued(now model.Instant) {
	if sent := r.callBytes.Swap(0); sent > 0 {
		r.egress.Spend(now, int(sent))
	}
	for {
		p, ok := r.egress.Next(now)
		if !ok {
			return
		}
		r.lastPacket.Store(int64(now))
		r.write(p.Payload.raw, p.Payload.to)
	}
}

func (r *Relay) write(raw []byte, to netip.AddrPort) {
	if _, err := r.packets.WriteToUDPAddrPort(raw, to); err != nil {
		r.counters.drop(model.ReasonSendFailed)
	}
}

// copyQueued reports whether the packet retransmits data that is still queued. Sending it again would add to the congestion that delayed it, and
// counting it against the upstream would blame the upstream for this instance's own link.
func (r *Relay) copyQueued(seg *model.Segment) bool {
	return seg.Size > 0 && r.egress.Holds(seg.Flow, seg.Seq, seg.Size)
}

// discardQueued drops the queued datagrams after a long stall: their callers have given up or have retransmitted through other instances.
func (r *Relay) discardQueued() {
	if n := r.egress.Clear(); n > 0 {
		r.counts.Counter("egress.discarded").Inc(int64(n))
		r.logger("egress").With("packets", n).Warn("Packets that were queued before a long stall of the process have been discarded.")
	}
}

// untilTransmit returns the time until the next queued datagram may be sent; ok is false if none is queued.
func (r *Relay) untilTransmit(now model.Instant) (wait time.Duration, ok bool) {
	at, ok := r.egress.NextAt()
	return max(at.Sub(now), pacingInterval), ok
}
