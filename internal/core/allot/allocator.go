package allot

import (
	"time"

	"hawthorncourse/internal/core/model"
)

// Allocator assigns ordinals to the instances of a failure domain. Only the allocator of the domain's reader (see model.ReaderRecord) is
// active. An ordinal is not reassigned while the instance that it was assigned to may still consider it valid.
type Allocator struct {
	cfg AllocatorConfig
	// assignFrom is the time from which ordinals may be assigned.
	assignFrom model.Instant
	// confirmedAt is when the store last confirmed that this instance is the reader; zero if it is not.
	confirmedAt model.Instant
	assignments map[model.InstanceID]*assignment
}

// AllocatorConfig is the configuration of an Allocator.
type AllocatorConfig struct {
	// OrdinalTTL is how long an ordinal remains reserved after it was last assigned or renewed.
	OrdinalTTL time.Duration
	// ConfirmationTTL is how long ordinals are assigned after a confirmation that this instance is the reader. A new reader waits at least as
	// long before it assigns ordinals itself.
	ConfirmationTTL time.Duration
}

// assignment is an ordinal that is assigned to an instance.
type assignment struct {
	index int
	// assignedAt is when the ordinal was assigned. OrdinalTTL later, every other instance has received the new count or its ordinal has
	// expired.
	assignedAt model.Instant
	// renewedAt is when the instance last asked for its ordinal.
	renewedAt model.Instant
}

// NewAllocator returns an allocator that is inactive until Confirm.
func NewAllocator(cfg AllocatorConfig) *Allocator {
	return &Allocator{cfg: cfg, assignments: map[model.InstanceID]*assignment{}}
}

// Confirm records that the store confirmed, at confirmedAt, whether this instance is the reader of the failure domain. A new reader assigns
// ordinals only after those of the previous reader have expired.
func (a *Allocator) Confirm(now, confirmedAt model.Instant, isReader bool) {
	if !isReader {
		a.confirmedAt = 0
		clear(a.assignments)
		return
	}
	if a.confirmedAt == 0 || confirmedAt.Sub(a.confirmedAt) > a.cfg.ConfirmationTTL+a.cfg.OrdinalTTL {
		clear(a.assignments)
		a.assignFrom = now.Add(a.cfg.ConfirmationTTL + a.cfg.OrdinalTTL)
	}
	a.confirmedAt = max(a.confirmedAt, confirmedAt, 1)
}

// Assign returns the ordinal of an instance, assigning or renewing it. It returns the zero Ordinal while the allocator is inactive, and for
// OrdinalTTL after a new assignment, until all other instances know the new count.
func (a *Allocator) Assign(now model.Instant, id model.InstanceID) model.Ordinal {
	if a.confirmedAt == 0 || now < a.assignFrom || now.Sub(a.confirmedAt) > a.cfg.ConfirmationTTL {
		return model.Ordinal{}
	}
	a.expire(now)
	entry := a.assignments[id]
	if entry == nil {
		entry = &assignment{index: a.lowestFree(), assignedAt: now}
		a.assignments[id] = entry
	}
	entry.renewedAt = now
	if now.Sub(entry.assignedAt) < a.cfg.OrdinalTTL {
		return model.Ordinal{}
	}
	return model.Ordinal{Index: entry.index, Count: a.highestAssigned() + 1}
}

// expire frees the ordinals that have not been renewed for OrdinalTTL.
func (a *Allocator) expire(now model.Instant) {
	for id, entry := range a.assignments {
		if now.Sub(entry.renewedAt) > a.cfg.OrdinalTTL {
			delete(a.assignments, id)
		}
	}
}

// lowestFree returns the lowest free ordinal.
func (a *Allocator) lowestFree() int {
	taken := make(map[int]bool, len(a.assignments))
	for _, entry := range a.assignments {
		taken[entry.index] = true
	}
	free := 0
	for taken[free] {
		free++
	}
	return free
}

// highestAssigned returns the highest assigned ordinal, or zero if there is none.
func (a *Allocator) highestAssigned() int {
	highest := 0
	for _, entry := range a.assignments {
		highest = max(highest, entry.index)
	}
	return highest
}
