package engine

import (
	"slices"

	"hawthorncourse/internal/core/model"
	"hawthorncourse/internal/core/once"
)

// exchange is one request that waits for a slot or for its answer.
type exchange struct {
	packet  *model.Packet
	service *service
	// up is the upstream to which the request was last sent; nil while the request waits for a slot.
	up *upstream
	// entry is the ledger entry of a request that must run at most once; nil for an idempotent request.
	entry *once.Entry
	// tried holds the upstreams to which the request was forwarded.
	tried  []model.UpstreamID
	sentAt model.Instant
	// startBy is when the request must have left the queue, so that time remains for its answer.
	startBy model.Instant
	// deadline is when the caller is answered at the latest.
	deadline model.Instant
	// holdsSlot is set while the exchange holds a slot of up.
	holdsSlot bool
	// done is set when the caller has been answered; the exchange is then kept to recognise late answers.
	done bool
}

func (x *exchange) wasTried(id model.UpstreamID) bool {
	if x.entry != nil && x.entry.WasTried(id) {
		return true
	}
	return slices.Contains(x.tried, id)
}

// idempotentPacket handles an idempotent request.
func (e *Engine) idempotentPacket(now model.Instant, s *service, p *model.Packet) {
	if x := e.exchanges[p.Exchange()]; x != nil {
		if x.packet.Digest != p.Digest {
			e.refuse(p, model.ReasonRepeat)
			return
		}
		if !x.done {
			e.drop(p, model.ReasonRepeat)
			return
		}
	}
	s.budget.Deposit()
	e.startExchange(now, newExchange(now, s, p))
}

func newExchange(now model.Instant, s *service, p *model.Packet) *exchange {
	return &exchange{packet: p, service: s, startBy: now.Add(s.firstAnswerTimeout()), deadline: now.Add(s.cfg.RequestTimeout)}
}

// startExchange sends a new request to an upstream with a free slot, hands it off to a peer or queues it.
func (e *Engine) startExchange(now model.Instant, x *exchange) {
	s := x.service
	bound := x.entry != nil
	keepLocal := bound || x.packet.Hops > 0 || e.withinNeighbourLoad(now, s)
	if keepLocal && e.placeUnlessQueued(now, x) {
		return
	}
	if !bound && e.handOffToOwner(now, s, x.packet) {
		return
	}
	if !keepLocal && e.placeUnlessQueued(now, x) {
		return
	}
	if s.ownedSlots == 0 {
		e.refuseExchange(now, x, model.ReasonNoUpstream)
		return
	}
	if s.waiting.Len() >= s.cfg.QueueLimit {
		e.refuseExchange(now, x, model.ReasonQueueFull)
		return
	}
	e.exchanges[x.packet.Exchange()] = x
	s.waiting.Push(x)
}

// placeUnlessQueued forwards the request unless earlier requests are waiting in the queue.
func (e *Engine) placeUnlessQueued(now model.Instant, x *exchange) bool {
	return x.service.waiting.Len() == 0 && e.place(now, x)
}

// place forwards the request to an upstream that has a free slot and was not tried before; it reports false if there is none.
func (e *Engine) place(now model.Instant, x *exchange) bool {
	lease := e.doc.Timing.WarmLease
	e.candidates = e.candidates[:0]
	for _, up := range x.service.upstreams {
		freeSlots := up.requestLimit(now, lease) - up.running
		if freeSlots <= 0 || x.wasTried(up.cfg.ID) {
			continue
		}
		e.candidates = append(e.candidates, Candidate{up: up, FreeSlots: freeSlots, Running: up.running, ServiceTime: up.serviceTime.Mean(), Utilisation: up.utilisation.read(now)})
	}
	if len(e.candidates) == 0 {
		return false
	}
	e.send(now, x, e.candidates[e.policy.Pick(e.candidates, e.rng)].up)
	return true
}

func (e *Engine) send(now model.Instant, x *exchange, up *upstream) {
	x.up, x.sentAt, x.holdsSlot = up, now, true
	x.tried = append(x.tried, up.cfg.ID)
	up.running++
	up.updateUtilisation(now)
	e.exchanges[x.packet.Exchange()] = x
	if x.entry != nil {
		x.entry.State = once.StateRunning
		x.entry.Tried = append(x.entry.Tried, up.cfg.ID)
	}
	x.service.retryChecks.Push(retryCheck{exchange: x, sentAt: now})
	x.service.deadlines.Push(x.deadline, x)
	e.forward(x.packet, up)
}

// releaseSlot frees the slot that the exchange holds, if any.
func (e *Engine) releaseSlot(now model.Instant, x *exchange) {
	if !x.holdsSlot {
		return
	}
	x.holdsSlot = false
	x.up.running--
	x.up.updateUtilisation(now)
}

// updateUtilisation records which fraction of the owned slots is in use.
func (u *upstream) updateUtilisation(now model.Instant) {
	u.utilisation.set(now, float64(u.running)/float64(max(u.allocation.Owned(), 1)))
}

// refuseExchange refuses a request that was never forwarded or that its upstreams reported as not run.
func (e *Engine) refuseExchange(now model.Instant, x *exchange, reason model.Reason) {
	e.finish(now, x)
	if x.entry != nil {
		x.entry.State = once.StateRefused
	}
	e.refuse(x.packet, reason)
}

// finish marks the exchange as answered towards the caller; any later answer counts as late.
func (e *Engine) finish(now model.Instant, x *exchange) {
	e.releaseSlot(now, x)
	x.done = true
	if x.up == nil && e.exchanges[x.packet.Exchange()] == x {
		delete(e.exchanges, x.packet.Exchange())
	}
}

// dispatchQueue forwards waiting requests in order while slots are free, and refuses those that have waited too long.
func (e *Engine) dispatchQueue(now model.Instant, s *service) {
	for s.waiting.Len() > 0 {
		x := s.waiting.Peek()
		if x.done {
			s.waiting.Pop()
			continue
		}
		if x.startBy <= now {
			s.waiting.Pop()
			e.refuseExchange(now, x, model.ReasonQueueTimeout)
			continue
		}
		if !e.place(now, x) {
			return
		}
		s.waiting.Pop()
	}
}
