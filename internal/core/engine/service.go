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

// slot is one unit of an upstream's capacity.
type slot struct {
	up *upstream
	// n is below the upstream's number of slots.
	n int
}

// service is the state of one service at this instance.
type service struct {
	cfg       *model.Service
	upstreams []*upstream
	tags      map[model.UpstreamTag]*upstream
	// near and far hold every slot with an owner, in this instance's domain and elsewhere.
	near, far []slot
	// neighbours holds the other owners of slots in this instance's domain, each once.
	neighbours []model.InstanceID
	busy       gauge
	// mine is the number of slots that this instance owns.
	mine   int
	budget choose.RetryBudget
	// waiting holds requests that wait for a slot.
	waiting queue.Queue[*exchange]
	// checks and deadlines hold forwarded requests by the time of their next check.
	checks    queue.Queue[*exchange]
	deadlines queue.Queue[*exchange]
}

// indexDocument rebuilds the tables that follow from the document and keeps the state of what stays.
func (e *Engine) indexDocument(now model.Instant) {
	old := e.services
	oldUpstreams := e.upstreams
	clear(e.senders)
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
		e.senders[up.cfg.Address] = up
	}
}

// closeService refuses what waits for a service that is gone; forwarded requests run out by their deadlines.
func (e *Engine) closeService(now model.Instant, s *service) {
	for s.waiting.Len() > 0 {
		e.giveUp(now, s.waiting.Pop(), model.ReasonNoService)
	}
}

func (e *Engine) indexOwners(s *service) {
	s.near, s.far, s.neighbours, s.mine = s.near[:0], s.far[:0], s.neighbours[:0], 0
	for _, up := range s.upstreams {
		e.succeed(up, e.table.Allocation(up.cfg.ID))
		if up.closed() {
			continue
		}
		s.mine += up.share.Owned()
		for n, id := range up.share.Owners {
			e.indexOwner(s, slot{up: up, n: n}, id)
		}
	}
}

// succeed replaces the division of an upstream's slots. Whoever was its prober knows when it started, and tells the next.
func (e *Engine) succeed(up *upstream, next *units.Allocation) {
	self := e.cfg.Self.ID
	if up.share.Primary() == self && (next.Primary() != self || e.stopAt != 0) && !up.guessed {
		up.owed, e.urgent = true, true
	}
	up.share = next
}

// indexOwner takes note of who owns one slot; a stopping instance leaves out its own.
func (e *Engine) indexOwner(s *service, sl slot, id model.InstanceID) {
	self := id == e.cfg.Self.ID
	switch {
	case self && e.stopAt != 0:
	case sl.up.cfg.Domain != e.cfg.Self.Domain:
		s.far = append(s.far, sl)
	default:
		s.near = append(s.near, sl)
		if !self && !slices.Contains(s.neighbours, id) {
			s.neighbours = append(s.neighbours, id)
		}
	}
}

// pickOwner returns the less busy of two random owners, which may be this instance; open asks for slots that are usable now.
func (e *Engine) pickOwner(now model.Instant, slots []slot, open bool) model.InstanceID {
	a, b := e.drawOwner(now, slots, open), e.drawOwner(now, slots, open)
	if a == "" || b == "" || a == b {
		return max(a, b)
	}
	if e.busyAt(now, slots[0].up.service, b) < e.busyAt(now, slots[0].up.service, a) {
		return b
	}
	return a
}

// drawOwner returns the owner of a random slot that takes work, or none; open asks that its hold-off is over, too.
func (e *Engine) drawOwner(now model.Instant, slots []slot, open bool) model.InstanceID {
	lease := e.doc.Timing.WarmLease
	for range min(len(slots), drawLimit) {
		sl := slots[e.rng.IntN(len(slots))]
		if sl.up.cold(now, lease) {
			if sl.n >= sl.up.cfg.ColdSlots {
				continue
			}
			sl.n = 0
		}
		owner := sl.up.share.Owners[sl.n]
		mustBeOpen := open || owner == e.cfg.Self.ID
		if now >= sl.up.pauseUntil && (!mustBeOpen || sl.up.share.SlotUsable(now, sl.n)) {
			return owner
		}
	}
	return ""
}

// drawLimit bounds the tries to find a usable slot.
const drawLimit = 16

// silentAfter is the share of a request's time after which it is tried elsewhere.
const silentAfter = 0.5

// silence is how long a request waits for its first answer, and at most for a slot.
func (s *service) silence() time.Duration {
	return time.Duration(silentAfter * float64(s.cfg.RequestTimeout))
}

// running returns the number of the service's requests that are forwarded or wait.
func (s *service) running() int {
	n := s.waiting.Len()
	for _, up := range s.upstreams {
		n += up.running
	}
	return n
}
