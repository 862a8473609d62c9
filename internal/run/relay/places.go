package relay

import (
	"sync"
	"time"

	"hawthorncourse/internal/core/allot"
	"hawthorncourse/internal/core/fresh"
	"hawthorncourse/internal/core/model"
	"hawthorncourse/internal/peer/share"
)

// places numbers the instances of the failure domain while this one reads for them.
type places struct {
	now func() model.Instant

	mu sync.Mutex
	// All below is guarded by mu.
	book *allot.Allocator
	// believed is how long an instance believes in its number after it was told.
	believed time.Duration
}

func newPlaces(k *fresh.Scheduler, now func() model.Instant) *places {
	p := &places{now: now}
	p.reset(k)
	return p
}

// reset begins anew with the times of the keeper.
func (p *places) reset(k *fresh.Scheduler) {
	p.mu.Lock()
	defer p.mu.Unlock()
	// An instance that hears of its reader in time is told once in each wait.
	p.believed = k.ReaderTimeout()
	// A reply may be on its way for as long as a call may take.
	kept := p.believed + k.ReaderTimeout() + share.CallMargin
	p.book = allot.NewAllocator(allot.AllocatorConfig{OrdinalTTL: kept, ConfirmationTTL: k.MaxAge()})
}

// life returns how long an instance believes in its number after it was told.
func (p *places) life() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.believed
}

// confirm notes whether the store confirmed at the instant that this instance reads.
func (p *places) confirm(now, at model.Instant, reads bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.book.Confirm(now, at, reads)
}

// Ordinal implements share.Places.
func (p *places) Ordinal(id model.InstanceID) model.Ordinal {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.book.Assign(p.now(), id)
}
