// Package units divides the capacity of upstreams among instances without a coordinator.
package units

import (
	"slices"
	"time"

	"hawthorncourse/internal/core/model"
	"hawthorncourse/internal/core/rendez"
)

// Config is what a Table is built from.
type Config struct {
	// Self is the instance whose units are tracked.
	Self model.InstanceID
}

// Table tells which instance owns each unit of each upstream.
type Table struct {
	cfg Config
	// shares holds an entry for each upstream of the document in force.
	shares map[model.UpstreamID]*Allocation
}

// Allocation is the division of one upstream's slots.
type Allocation struct {
	// Owners holds the owner of each slot; it is empty while nobody may own them.
	Owners []model.InstanceID
	// usable holds, for each slot, from when its owner may use it by all that is known here.
	usable []model.Instant
	// mine maps a slot of this instance to the instant from which it is usable.
	mine map[int]model.Instant
	// waits holds those instants in order; the first ready of them have passed.
	waits []model.Instant
	ready int
}

// Inputs is what ownership is computed from.
type Inputs struct {
	Document *model.Document
	// Members holds every known instance, this one too.
	Members []model.Member
	// Orphaned names the domains whose slots may be owned from elsewhere.
	Orphaned map[model.DomainID]bool
}

// NewTable returns a table without units.
func NewTable(cfg Config) *Table {
	return &Table{cfg: cfg, shares: map[model.UpstreamID]*Allocation{}}
}

// Allocation returns the division of the upstream's slots, or nil.
func (t *Table) Allocation(id model.UpstreamID) *Allocation {
	return t.shares[id]
}

// Update computes ownership anew; a unit gained now is usable only after the hold-off.
func (t *Table) Update(now model.Instant, v Inputs) {
	next := make(map[model.UpstreamID]*Allocation, len(t.shares))
	pools := ownerPools(v)
	for i := range v.Document.Services {
		svc := &v.Document.Services[i]
		holdOff := HoldOff(v.Document.Timing, svc)
		for j := range svc.Upstreams {
			up := &svc.Upstreams[j]
			next[up.ID] = t.share(now, up, pools[up.Domain], holdOff)
		}
	}
	t.shares = next
}

// HoldOff is how long a gained unit stays unused: its earlier owner may not know yet, and its requests may still run.
func HoldOff(timing model.Timing, svc *model.Service) time.Duration {
	return timing.Detection + svc.RequestTimeout
}

// RestartHoldOff makes every own unit newly gained, as after a pause of the process.
func (t *Table) RestartHoldOff() {
	for _, s := range t.shares {
		clear(s.mine)
		s.waits, s.ready = nil, 0
	}
}

func (t *Table) share(now model.Instant, up *model.Upstream, pool []rendez.Candidate[model.InstanceID], holdOff time.Duration) *Allocation {
	s := &Allocation{mine: map[int]model.Instant{}}
	if len(pool) == 0 {
		return s
	}
	old := t.shares[up.ID]
	s.Owners = make([]model.InstanceID, up.Slots)
	s.usable = make([]model.Instant, up.Slots)
	for n := range s.Owners {
		s.Owners[n], _ = rendez.First(rendez.KeyOf(string(up.ID), n), pool)
		s.usable[n] = now.Add(holdOff)
		if old.ownedBy(n, s.Owners[n]) {
			s.usable[n] = old.usable[n]
		}
		if s.Owners[n] != t.cfg.Self {
			continue
		}
		s.mine[n] = now.Add(holdOff)
		if usable, held := old.since(n); held {
			s.mine[n] = usable
		}
		s.waits = append(s.waits, s.mine[n])
	}
	slices.Sort(s.waits)
	return s
}

func (s *Allocation) ownedBy(n int, id model.InstanceID) bool {
	return s != nil && n < len(s.Owners) && s.Owners[n] == id
}

// SlotUsable reports whether the owner of the slot may use it by all that is known here.
func (s *Allocation) SlotUsable(now model.Instant, n int) bool {
	return s.usable[n] <= now
}

func (s *Allocation) since(n int) (model.Instant, bool) {
	if s == nil {
		return 0, false
	}
	usable, held := s.mine[n]
	return usable, held
}

// Usable returns how many slots this instance may use now; now must not fall from call to call.
func (s *Allocation) Usable(now model.Instant) int {
	for s.ready < len(s.waits) && s.waits[s.ready] <= now {
		s.ready++
	}
	return s.ready
}

// Owned returns how many slots this instance owns, usable or not.
func (s *Allocation) Owned() int {
	return len(s.mine)
}

// IsPrimary reports whether this instance alone may use the upstream during a cold start or while its state is unsure.
func (s *Allocation) IsPrimary(now model.Instant) bool {
	usable, held := s.since(0)
	return held && usable <= now
}

// Primary returns the owner of the first slot, which alone may use the upstream during a cold start.
func (s *Allocation) Primary() model.InstanceID {
	if s == nil || len(s.Owners) == 0 {
		return ""
	}
	return s.Owners[0]
}

// ownerPools returns the possible owners of each domain's slots.
func ownerPools(v Inputs) map[model.DomainID][]rendez.Candidate[model.InstanceID] {
	pools := map[model.DomainID][]rendez.Candidate[model.InstanceID]{}
	var all []rendez.Candidate[model.InstanceID]
	for _, m := range v.Members {
		dom, known := v.Document.Domain(m.Domain)
		if dom.Out || !known || m.State == model.MemberLeaving || m.State == model.MemberDead {
			continue
		}
		c := rendez.NewCandidate(string(m.ID), m.ID)
		pools[m.Domain] = append(pools[m.Domain], c)
		all = append(all, c)
	}
	for id, adopted := range v.Orphaned {
		if adopted && len(pools[id]) == 0 {
			pools[id] = all
		}
	}
	return pools
}

// OwnsAny reports whether this instance owns any slot.
func (t *Table) OwnsAny() bool {
	for _, s := range t.shares {
		if len(s.mine) > 0 {
			return true
		}
	}
	return false
}
