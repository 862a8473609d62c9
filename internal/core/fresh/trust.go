package fresh

import (
	"time"

	"hawthorncourse/internal/core/model"
)

// gapSlack is how much longer than the rhythm of reads two confirmations may lie apart: a read that takes longer has met a store that was away.
const gapSlack = 300 * time.Millisecond

// OutageTracker decides whether a missing entry proves anything: entries lapse while the store is away, and whoever did not hear
// from it for a while, by whichever way, cannot tell.
type OutageTracker struct {
	// MaxGap is the longest time between two confirmations without an outage.
	MaxGap time.Duration
	// Grace is how long after an outage entries may come back.
	Grace time.Duration
	// confirmed is when the store last confirmed what is known; zero before the first time.
	confirmed model.Instant
	// unsure is until when a missing entry proves nothing.
	unsure model.Instant
}

// NewOutageTracker returns the trust of an instance whose changes must be in force within the bound.
func NewOutageTracker(bound, grace time.Duration) *OutageTracker {
	t := &OutageTracker{Grace: grace}
	t.SetMaxStaleness(bound)
	return t
}

// SetMaxStaleness replaces the time in which changes must be in force.
func (t *OutageTracker) SetMaxStaleness(bound time.Duration) {
	p := Pacer{MaxStaleness: bound}
	t.MaxGap = p.Interval() + gapSlack
}

// Confirm notes that the store confirmed at the instant what is known; told is what another instance says of its own
// doubt. It returns for how much longer a missing entry proves nothing.
func (t *OutageTracker) Confirm(now, at model.Instant, told time.Duration) time.Duration {
	if t.confirmed == 0 || at.Sub(t.confirmed) > t.MaxGap {
		t.unsure = max(t.unsure, now.Add(t.Grace))
	}
	t.confirmed = max(t.confirmed, at, 1)
	t.unsure = max(t.unsure, now.Add(told))
	return max(t.unsure.Sub(now), 0)
}
