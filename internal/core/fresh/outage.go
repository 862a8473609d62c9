package fresh

import (
	"time"

	"hawthorncourse/internal/core/model"
)

// gapSlack is how much longer than the read interval the time between two confirmations may be; a longer gap means that the store was
// unavailable.
const gapSlack = 300 * time.Millisecond

// OutageTracker decides whether a missing registration means that its upstream has ended. Registrations expire while the store is
// unavailable, and a store that was restored from an older copy lacks those that were written since. An instance that missed confirmations, from
// the store or from its reader, or that sees a restore, therefore draws no conclusion from a missing registration until a grace period has passed.
type OutageTracker struct {
	// MaxGap is the longest time between two confirmations that does not count as an outage.
	MaxGap time.Duration
	// Grace is how long after an outage upstreams may re-create their registrations.
	Grace time.Duration
	// confirmedAt is when the store last confirmed the instance's data; zero before the first confirmation.
	confirmedAt model.Instant
	// era is the era of the last confirmation.
	era model.Era
	// graceUntil is the end of the grace period, before which a missing registration is not conclusive.
	graceUntil model.Instant
}

// NewOutageTracker returns a tracker for an instance that has received no confirmation yet.
func NewOutageTracker(maxStaleness, grace time.Duration) *OutageTracker {
	t := &OutageTracker{Grace: grace}
	t.SetMaxStaleness(maxStaleness)
	return t
}

// SetMaxStaleness replaces the time within which a change must take effect, from which MaxGap follows.
func (t *OutageTracker) SetMaxStaleness(maxStaleness time.Duration) {
	p := Pacer{MaxStaleness: maxStaleness}
	t.MaxGap = p.Interval() + gapSlack
}

// Confirm records that the store confirmed the instance's data, of the given era, at the time at; peerGrace is what remains of the grace period
// of the instance that relayed the confirmation, if any. It returns the remaining grace period of this instance, zero if there is none.
func (t *OutageTracker) Confirm(now, at model.Instant, era model.Era, peerGrace time.Duration) time.Duration {
	if t.confirmedAt == 0 || era != t.era || at.Sub(t.confirmedAt) > t.MaxGap {
		t.graceUntil = max(t.graceUntil, now.Add(t.Grace))
	}
	t.era = era
	t.confirmedAt = max(t.confirmedAt, at, 1)
	t.graceUntil = max(t.graceUntil, now.Add(peerGrace))
	return max(t.graceUntil.Sub(now), 0)
}
