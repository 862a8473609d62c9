package direct

import (
	"time"

	"hawthorncourse/internal/core/clock"
	"hawthorncourse/internal/core/model"
	"hawthorncourse/internal/core/roster"
)

// A first packet with the opening tag of an upstream shows that the upstream has answered the SYN. It shows that the flow is open there only if no other
// upstream can have answered before the caller sent the packet, and no instance knows what the others have sent. So the tag carries a lease: the instance that
// sends the SYN keeps it from all other upstreams for leaseTime, and no copy of it can have reached another instance by then. An instance that does not know
// the flow follows the tag while the lease lasts, by the clock that the instances share. What no lease proves is dropped: silence costs the caller a
// retransmission, and an upstream that does not hold the flow would reset it.

const (
	// leaseTime is the length of a lease. The caller sends its first packet some 10 ms after the SYN.
	leaseTime = 80 * time.Millisecond
	// leaseMargin is how long a SYN may have been under way before it came here; the caller sends the next copy earlier by this time than it seems here.
	leaseMargin = 50 * time.Millisecond
	// leaseSlot is the unit of the times of leases.
	leaseSlot = 10 * time.Millisecond
)

// leaseOf returns the lease that begins in a slot of an epoch.
func leaseOf(epoch clock.Epoch, slot int64) model.Lease {
	const mixSlot = 0x9e3779b97f4a7c15
	return max(model.Lease(uint64(epoch)+uint64(slot)*mixSlot), model.NoLease+1)
}

// SetClock sets the bounds of the time of the clock that all instances share, at an instant of this one's own clock. Without a known time, SYNs get no leases,
// and those of others prove nothing here.
func (e *Engine) SetClock(r clock.Reading) {
	e.clock = r
}

// ClockWidth returns how precisely the shared time is known; ok is false if it is not known.
func (e *Engine) ClockWidth(now model.Instant) (width time.Duration, ok bool) {
	return e.clock.On(now).Width(), e.clock.Known()
}

// WithholdLeases grants no leases to SYNs that are handled before an instant: they may have waited in a queue for so long that copies of them have reached
// other instances.
func (e *Engine) WithholdLeases(until model.Instant) {
	e.leasesFrom = max(e.leasesFrom, until)
}

// leaseEnd returns when the lease of the flow's SYN is over; it is valid if the flow is leased.
func (f *flow) leaseEnd() model.Instant {
	return f.copyAt.Add(leaseTime)
}

// holdsLease reports whether the flow's SYN must not go to another upstream yet.
func (f *flow) holdsLease(now model.Instant) bool {
	return f.leased && now < f.leaseEnd()
}

// grantLease returns the lease of a SYN that is about to be sent to the upstream of the flow, or NoLease if another upstream may get the SYN before the lease
// is over. If copies of it have gone through other instances, other upstreams may have answered those; but the caller has sent this one since it had no answer,
// so that the first packet after it has the tag of the answer that it accepts.
func (e *Engine) grantLease(now model.Instant, f *flow) model.Lease {
	end := f.leaseEnd()
	f.leased = e.clock.Known() && len(f.tried) == 1 && now < end && f.copyAt >= e.leasesFrom && (f.copies.missing || f.copies.complete(end.Add(leaseMargin)))
	if !f.leased {
		return model.NoLease
	}
	return leaseOf(e.clock.Epoch, int64(e.clock.On(f.copyAt).Earliest/leaseSlot))
}

// isLeased reports whether a packet arrived with the opening tag of a run for the first packet of its flow, within the lease of the tag.
func (e *Engine) isLeased(now model.Instant, seg *model.Segment, u *roster.Upstream) bool {
	if !names(seg, u) || !e.clock.Known() {
		return false
	}
	latest := e.clock.On(now.Add(-seg.Delay)).Latest
	for slot := int64((latest-leaseTime)/leaseSlot) + 1; slot <= int64(latest/leaseSlot); slot++ {
		if seg.Tag == u.Tag.Opening(seg.Flow, seg.Seq, leaseOf(e.clock.Epoch, slot)) {
			return true
		}
	}
	return false
}
