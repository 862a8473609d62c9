package allot

import (
	"time"

	"hawthorncourse/internal/core/model"
)

// Allocator numbers the instances of a failure domain; the instance that reads for the domain keeps it. A number that has been
// given out belongs to nobody else while its instance may still believe in it.
type Allocator struct {
	cfg AllocatorConfig
	// opens is from when on numbers are given out.
	opens model.Instant
	// confirmed is when the store last confirmed that this instance reads; zero while it does not.
	confirmed model.Instant
	numbers   map[model.InstanceID]*number
}

// AllocatorConfig is what a Book is built from.
type AllocatorConfig struct {
	// OrdinalTTL is how long an instance believes in its number after it was told.
	OrdinalTTL time.Duration
	// ConfirmationTTL is how long after a confirmation numbers are given out: whoever took the seat meanwhile waits for that time, too.
	ConfirmationTTL time.Duration
}

type number struct {
	index int
	// since is when the number was taken; all others have heard of it, or lost theirs, a life later.
	since model.Instant
	// told is when the instance last asked.
	told model.Instant
}

// NewAllocator returns a book that gives out no numbers yet.
func NewAllocator(cfg AllocatorConfig) *Allocator {
	return &Allocator{cfg: cfg, numbers: map[model.InstanceID]*number{}}
}

// Confirm notes that the store confirmed at the instant whether this instance reads for the failure domain. Numbers of an
// earlier reader lapse before new ones are given out.
func (b *Allocator) Confirm(now, at model.Instant, reads bool) {
	if !reads {
		b.confirmed = 0
		clear(b.numbers)
		return
	}
	if b.confirmed == 0 || at.Sub(b.confirmed) > b.cfg.ConfirmationTTL+b.cfg.OrdinalTTL {
		clear(b.numbers)
		b.opens = now.Add(b.cfg.ConfirmationTTL + b.cfg.OrdinalTTL)
	}
	b.confirmed = max(b.confirmed, at, 1)
}

// Assign returns the number of an instance that asks now; it is zero while numbers cannot be given out, and until all others
// know how many there are.
func (b *Allocator) Assign(now model.Instant, id model.InstanceID) model.Ordinal {
	if b.confirmed == 0 || now < b.opens || now.Sub(b.confirmed) > b.cfg.ConfirmationTTL {
		return model.Ordinal{}
	}
	b.expire(now)
	n := b.numbers[id]
	if n == nil {
		n = &number{index: b.lowest(), since: now}
		b.numbers[id] = n
	}
	n.told = now
	if now.Sub(n.since) < b.cfg.OrdinalTTL {
		return model.Ordinal{}
	}
	return model.Ordinal{Index: n.index, Count: b.highest() + 1}
}

// expire frees the numbers of instances that no longer ask.
func (b *Allocator) expire(now model.Instant) {
	for id, n := range b.numbers {
		if now.Sub(n.told) > b.cfg.OrdinalTTL {
			delete(b.numbers, id)
		}
	}
}

// lowest returns the lowest number that is free.
func (b *Allocator) lowest() int {
	taken := make(map[int]bool, len(b.numbers))
	for _, n := range b.numbers {
		taken[n.index] = true
	}
	free := 0
	for taken[free] {
		free++
	}
	return free
}

// highest returns the highest number that is taken.
func (b *Allocator) highest() int {
	top := 0
	for _, n := range b.numbers {
		top = max(top, n.index)
	}
	return top
}
