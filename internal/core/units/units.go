// Package units allocates the slots of upstreams to instances by rendezvous hashing, without a coordinator.
package units

import (
	"slices"
	"time"

	"hawthorncourse/internal/core/model"
	"hawthorncourse/internal/core/rendez"
)

// Config is the configuration of a Table.
type Config struct {
	// Self is the instance that uses the table.
	Self model.InstanceID
}

// Table records which instance owns each slot of each upstream, as seen by one instance.
type Table struct {
	cfg Config
	// allocations has an entry for each upstream of the current document.
	allocations map[model.UpstreamID]*Allocation
}

// Allocation is the allocation of one upstream's slots to instances.
type Allocation struct {
	// Owners holds the owner of each slot; it is empty while no instance is eligible.
	Owners []model.InstanceID
	// usableAt holds, for each slot, the time from which its owner may use it, as far as this instance can tell.
	usableAt []model.Instant
	// ownedUsableAt maps each slot that this instance owns to the time from which it may be used.
	ownedUsableAt map[int]model.Instant
	// ownedSorted holds the values of ownedUsableAt in ascending order; the first usableCount of them have passed.
	ownedSorted []model.Instant
	usableCount int
}

// Inputs are the inputs of the allocation.
type Inputs struct {
	Document *model.Document
	// Members holds all known instances, including this one.
	Members []model.Member
	// Orphaned is the set of failure domains without any instance; their slots may be owned by instances of other domains.
	Orphaned map[model.DomainID]bool
}

// NewTable returns an empty table.
func NewTable(cfg Config) *Table {
	return &Table{cfg: cfg, allocations: map[model.UpstreamID]*Allocation{}}
}

// Allocation returns the allocation of the upstream's slots, or nil if the upstream is not in the document.
func (t *Table) Allocation(id model.UpstreamID) *Allocation {
	return t.allocations[id]
}

// Update recomputes the owners of all slots. A slot with a new owner may be used only after HoldOff.
func (t *Table) Update(now model.Instant, in Inputs) {
	next := make(map[model.UpstreamID]*Allocation, len(t.allocations))
	pools := candidatesByDomain(in)
	for i := range in.Document.Services {
		svc := &in.Document.Services[i]
		holdOff := HoldOff(in.Document.Timing, svc)
		for j := range svc.Upstreams {
			up := &svc.Upstreams[j]
			next[up.ID] = t.allocate(now, up, pools[up.Domain], holdOff)
		}
	}
	t.allocations = next
}

// HoldOff returns how long a slot stays unused after a change of its owner: the previous owner may not have detected the change yet, and
// its requests may still be running.
func HoldOff(timing model.Timing, svc *model.Service) time.Duration {
	return timing.Detection + svc.RequestTimeout
}

// RestartHoldOff releases all slots of this instance; the next Update grants them again with a new hold-off. It is called after a stall of
// the process, during which other instances may have taken over the slots.
func (t *Table) RestartHoldOff() {
	for _, a := range t.allocations {
		clear(a.ownedUsableAt)
		a.ownedSorted, a.usableCount = nil, 0
	}
}

func (t *Table) allocate(now model.Instant, up *model.Upstream, pool []rendez.Candidate[model.InstanceID], holdOff time.Duration) *Allocation {
	a := &Allocation{ownedUsableAt: map[int]model.Instant{}}
	if len(pool) == 0 {
		return a
	}
	prev := t.allocations[up.ID]
	a.Owners = make([]model.InstanceID, up.Slots)
	a.usableAt = make([]model.Instant, up.Slots)
	for n := range a.Owners {
		a.Owners[n], _ = rendez.First(rendez.KeyOf(string(up.ID), n), pool)
		a.usableAt[n] = now.Add(holdOff)
		if prev.ownedBy(n, a.Owners[n]) {
			a.usableAt[n] = prev.usableAt[n]
		}
		if a.Owners[n] != t.cfg.Self {
			continue
		}
		a.ownedUsableAt[n] = now.Add(holdOff)
		if usableAt, owned := prev.ownUsableAt(n); owned {
			a.ownedUsableAt[n] = usableAt
		}
		a.ownedSorted = append(a.ownedSorted, a.ownedUsableAt[n])
	}
	slices.Sort(a.ownedSorted)
	return a
}

func (a *Allocation) ownedBy(n int, id model.InstanceID) bool {
	return a != nil && n < len(a.Owners) && a.Owners[n] == id
}

// SlotUsable reports whether the hold-off of slot n is over, so that its owner may use it, as far as this instance can tell.
func (a *Allocation) SlotUsable(now model.Instant, n int) bool {
	return a.usableAt[n] <= now
}

func (a *Allocation) ownUsableAt(n int) (model.Instant, bool) {
	if a == nil {
		return 0, false
	}
	usableAt, owned := a.ownedUsableAt[n]
	return usableAt, owned
}

// Usable returns the number of slots that this instance may use now. The values of now must not decrease from call to call.
func (a *Allocation) Usable(now model.Instant) int {
	for a.usableCount < len(a.ownedSorted) && a.ownedSorted[a.usableCount] <= now {
		a.usableCount++
	}
	return a.usableCount
}

// Owned returns the number of slots that this instance owns, including those in their hold-off.
func (a *Allocation) Owned() int {
	return len(a.ownedUsableAt)
}

// IsPrimary reports whether this instance is the primary of the upstream and its hold-off is over. During a cold start, or while the
// upstream may have restarted unnoticed, only the primary may use it.
func (a *Allocation) IsPrimary(now model.Instant) bool {
	usableAt, owned := a.ownUsableAt(0)
	return owned && usableAt <= now
}

// Primary returns the primary of the upstream, which is the owner of its first slot; empty if there is none. See IsPrimary.
func (a *Allocation) Primary() model.InstanceID {
	if a == nil || len(a.Owners) == 0 {
		return ""
	}
	return a.Owners[0]
}

// candidatesByDomain returns the instances that are eligible as owners of the slots in each failure domain: the instances of the domain,
// or all instances if it is orphaned. Instances that are leaving or dead, or whose domain is out of service, are not eligible.
func candidatesByDomain(in Inputs) map[model.DomainID][]rendez.Candidate[model.InstanceID] {
	pools := map[model.DomainID][]rendez.Candidate[model.InstanceID]{}
	var all []rendez.Candidate[model.InstanceID]
	for _, m := range in.Members {
		dom, known := in.Document.Domain(m.Domain)
		if dom.Out || !known || m.State == model.MemberLeaving || m.State == model.MemberDead {
			continue
		}
		c := rendez.NewCandidate(string(m.ID), m.ID)
		pools[m.Domain] = append(pools[m.Domain], c)
		all = append(all, c)
	}
	for id, orphaned := range in.Orphaned {
		if orphaned && len(pools[id]) == 0 {
			pools[id] = all
		}
	}
	return pools
}

// OwnsAny reports whether this instance owns any slot.
func (t *Table) OwnsAny() bool {
	for _, a := range t.allocations {
		if len(a.ownedUsableAt) > 0 {
			return true
		}
	}
	return false
}
