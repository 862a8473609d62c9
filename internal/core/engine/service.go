package engine

import (
	"net/netip"
	"slices"
	"time"

	"hawthorncourse/internal/core/choose"
	"hawthorncourse/internal/core/model"
	"hawthorncourse/internal/core/queue"
	"hawthorncourse/internal/core/units"
)

// slot is one slot of an upstream, its capacity for one concurrent request.
type slot struct {
	up *upstream
	// index is below the upstream's number of slots.
	index int
}

// service is the state of one service at this instance.
type service struct {
	cfg       *model.Service
	upstreams []*upstream
	// tags maps the upstream tags in bindings to upstreams.
	tags map[model.UpstreamTag]*upstream
	// localSlots and remoteSlots hold every owned slot of upstreams in this instance's failure domain and in others.
	localSlots, remoteSlots []slot
	// neighbours holds the other instances that own slots of upstreams in this instance's failure domain, each once.
	neighbours  []model.InstanceID
	utilisation gauge
	// ownedSlots is the number of slots that this instance owns.
	ownedSlots int
	budget     choose.RetryBudget
	// waiting holds the requests that are queued for a slot.
	waiting queue.Queue[*exchange]
	// retryChecks holds the forwarded requests in the order in which they were forwarded, until they are due for a retry.
	retryChecks queue.Queue[retryCheck]
	// deadlines holds the forwarded requests until their deadline. A request that waited in the queue is forwarded later than others with a
	// later deadline.
	deadlines queue.Timed[*exchange]
}

// retryCheck is a check whether a request that was forwarded at sentAt has been answered.
type retryCheck struct {
	exchange *exchange
	sentAt   model.Instant
}

// indexDocument rebuilds the tables derived from the document and keeps the state of services and upstreams that remain.
func (e *Engine) indexDocument(now model.Instant) {
	old := e.services
	oldUpstreams := e.upstreams
	clear(e.upstreamsByAddr)
	e.services = make(map[netip.AddrPort]*service, len(e.doc.Services))
	e.upstreams = make(map[model.UpstreamID]*upstream, len(oldUpstreams))
	for i := range e.doc.Services {
		cfg := &e.doc.Services[i]
		s := old[cfg.Address]
		if s == nil || s.cfg.ID != cfg.ID {
			s = &service{}
		} else {
			delete(old, cfg.Address)
		}
		e.services[cfg.Address] = s
		e.indexUpstreams(s, cfg, oldUpstreams)
	}
	for _, s := range old {
		e.closeService(now, s)
	}
}

func (e *Engine) indexUpstreams(s *service, cfg *model.Service, old map[model.UpstreamID]*upstream) {
	s.cfg = cfg
	s.budget.Percent = cfg.RetryPercent
	s.upstreams = s.upstreams[:0]
	s.tags = make(map[model.UpstreamTag]*upstream, len(cfg.Upstreams))
	for i := range cfg.Upstreams {
		up := old[cfg.Upstreams[i].ID]
		if up == nil || up.service != s || up.cfg.Address != cfg.Upstreams[i].Address {
			up = &upstream{service: s}
		}
		up.cfg = &cfg.Upstreams[i]
		dom, _ := e.doc.Domain(up.cfg.Domain)
		up.out = dom.Out
		s.upstreams = append(s.upstreams, up)
		s.tags[up.cfg.ID.Tag()] = up
		e.upstreams[up.cfg.ID] = up
		e.upstreamsByAddr[up.cfg.Address] = up
	}
}

// closeService refuses the queued requests of a removed service; its forwarded requests end at their deadlines.
func (e *Engine) closeService(now model.Instant, s *service) {
	for s.waiting.Len() > 0 {
		e.refuseExchange(now, s.waiting.Pop(), model.ReasonNoService)
	}
}

func (e *Engine) indexOwners(s *service) {
	s.localSlots, s.remoteSlots, s.neighbours, s.ownedSlots = s.localSlots[:0], s.remoteSlots[:0], s.neighbours[:0], 0
	for _, up := range s.upstreams {
		e.setAllocation(up, e.ownership.Allocation(up.cfg.ID))
		if up.noNewWork() {
			continue
		}
		s.ownedSlots += up.allocation.Owned()
		for n, id := range up.allocation.Owners {
			e.indexSlot(s, slot{up: up, index: n}, id)
		}
	}
}

// setAllocation replaces the slot ownership of an upstream. If this instance ceases to be the primary and knows when the upstream started, it
// passes this on to the new owners.
func (e *Engine) setAllocation(up *upstream, next *units.Allocation) {
	self := e.cfg.Self.ID
	if up.allocation.Primary() == self && (next.Primary() != self || e.shutdownStartedAt != 0) && !up.bootTimeInferred {
		up.updateDue, e.updateUrgent = true, true
	}
	up.allocation = next
}

// indexSlot adds one slot and its owner to the service's tables; an instance that is shutting down omits its own slots.
func (e *Engine) indexSlot(s *service, sl slot, id model.InstanceID) {
	self := id == e.cfg.Self.ID
	switch {
	case self && e.shutdownStartedAt != 0:
	case sl.up.cfg.Domain != e.cfg.Self.Domain:
		s.remoteSlots = append(s.remoteSlots, sl)
	default:
		s.localSlots = append(s.localSlots, sl)
		if !self && !slices.Contains(s.neighbours, id) {
			s.neighbours = append(s.neighbours, id)
		}
	}
}

// pickOwner returns the less utilised of two random owners of slots, possibly this instance. usableNow restricts it to slots past their
// hold-off.
func (e *Engine) pickOwner(now model.Instant, slots []slot, usableNow bool) model.InstanceID {
	a, b := e.randomOwner(now, slots, usableNow), e.randomOwner(now, slots, usableNow)
	if a == "" || b == "" || a == b {
		return max(a, b)
	}
	if e.utilisationOf(now, slots[0].up.service, b) < e.utilisationOf(now, slots[0].up.service, a) {
		return b
	}
	return a
}

// randomOwner returns the owner of a random slot that accepts requests, or "" if none is found within ownerDrawLimit tries. usableNow also
// requires that the hold-off of the slot is over; for slots of this instance that is always required.
func (e *Engine) randomOwner(now model.Instant, slots []slot, usableNow bool) model.InstanceID {
	lease := e.doc.Timing.WarmLease
	for range min(len(slots), ownerDrawLimit) {
		sl := slots[e.rng.IntN(len(slots))]
		if sl.up.cold(now, lease) {
			if sl.index >= sl.up.cfg.ColdSlots {
				continue
			}
			sl.index = 0
		}
		owner := sl.up.allocation.Owners[sl.index]
		mustBeUsable := usableNow || owner == e.cfg.Self.ID
		if now >= sl.up.pauseUntil && (!mustBeUsable || sl.up.allocation.SlotUsable(now, sl.index)) {
			return owner
		}
	}
	return ""
}

// ownerDrawLimit bounds the attempts to find a usable slot.
const ownerDrawLimit = 16

// firstAnswerFraction is the fraction of the request timeout after which an unanswered request is retried at another upstream.
const firstAnswerFraction = 0.5

// firstAnswerTimeout is how long a forwarded request waits for an answer before it is retried, and how long a request is queued at most.
func (s *service) firstAnswerTimeout() time.Duration {
	return time.Duration(firstAnswerFraction * float64(s.cfg.RequestTimeout))
}

// running returns the number of the service's requests that are forwarded or queued.
func (s *service) running() int {
	n := s.waiting.Len()
	for _, up := range s.upstreams {
		n += up.running
	}
	return n
}
