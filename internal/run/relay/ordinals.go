package relay

import (
	"sync"
	"time"

	"hawthorncourse/internal/core/allot"
	"hawthorncourse/internal/core/fresh"
	"hawthorncourse/internal/core/model"
	"hawthorncourse/internal/peer/share"
)

// ordinalAllocator assigns ordinals to the instances of the failure domain while this instance is the reader.
type ordinalAllocator struct {
	now func() model.Instant

	mu sync.Mutex
	// The fields below are guarded by mu.
	allocator *allot.Allocator
	// ttl is how long an instance may use an ordinal after it was assigned or renewed.
	ttl time.Duration
}

func newOrdinalAllocator(s *fresh.Scheduler, now func() model.Instant) *ordinalAllocator {
	a := &ordinalAllocator{now: now}
	a.reset(s)
	return a
}

// reset discards all ordinals and adopts the scheduler's current timeouts.
func (a *ordinalAllocator) reset(s *fresh.Scheduler) {
	a.mu.Lock()
	defer a.mu.Unlock()
	// Each poll renews the ordinal, and an instance whose reader answers polls it at least once per timeout.
	a.ttl = s.ReaderTimeout()
	// The instance's TTL starts when the reply arrives, which is up to the length of a call after the assignment.
	reservedFor := a.ttl + s.ReaderTimeout() + share.CallMargin
	a.allocator = allot.NewAllocator(allot.AllocatorConfig{OrdinalTTL: reservedFor, ConfirmationTTL: s.MaxAge()})
}

// ordinalTTL returns how long an instance may use an ordinal after it was assigned or renewed.
func (a *ordinalAllocator) ordinalTTL() time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.ttl
}

// confirm records whether, according to the store at the instant at, this instance is the reader.
func (a *ordinalAllocator) confirm(now, at model.Instant, isReader bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.allocator.Confirm(now, at, isReader)
}

// Ordinal implements share.OrdinalAssigner.
func (a *ordinalAllocator) Ordinal(id model.InstanceID) model.Ordinal {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.allocator.Assign(a.now(), id)
}
