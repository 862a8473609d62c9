package engine

import (
	"slices"

	"hawthorncourse/internal/core/model"
	"hawthorncourse/internal/core/once"
)

// exchange is one request that waits here for a slot or for its answer.
type exchange struct {
	packet  *model.Packet
	service *service
	// up is where the request was sent last; nil while it waits for a slot.
	up *upstream
	// entry is set for a request that must run at most once.
	entry *once.Entry
	tried []model.UpstreamID
	sent  model.Instant
	// startBy is the last instant at which it is worth forwarding; deadline is when its caller must hear.
	startBy  model.Instant
	deadline model.Instant
	// holding is set while the exchange holds a slot of up.
	holding bool
	// done is set when the caller has its reply; the exchange is kept on to tell late answers.
	done bool
}

func (x *exchange) had(id model.UpstreamID) bool {
	if x.entry != nil && x.entry.Had(id) {
		return true
	}
	return slices.Contains(x.tried, id)
}

// anyPacket decides on an idempotent request.
func (e *Engine) anyPacket(now model.Instant, s *service, p *model.Packet) {
	if x := e.open[p.Exchange()]; x != nil {
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
	e.start(now, newExchange(now, s, p))
}

func newExchange(now model.Instant, s *service, p *model.Packet) *exchange {
	return &exchange{packet: p, service: s, startBy: now.Add(s.silence()), deadline: now.Add(s.cfg.RequestTimeout)}
}

// start places a new exchange: on a free slot of this instance, at a peer, or in the queue.
func (e *Engine) start(now model.Instant, x *exchange) {
	s := x.service
	bound := x.entry != nil
	keep := bound || x.packet.Hops > 0 || e.idle(now, s)
	if keep && e.placeFirst(now, x) {
		return
	}
	if !bound && e.placeElsewhere(now, s, x.packet) {
		return
	}
	if !keep && e.placeFirst(now, x) {
		return
	}
	if s.mine == 0 {
		e.giveUp(now, x, model.ReasonNoUpstream)
		return
	}
	if s.waiting.Len() >= s.cfg.QueueLimit {
		e.giveUp(now, x, model.ReasonQueueFull)
		return
	}
	e.open[x.packet.Exchange()] = x
	s.waiting.Push(x)
}

// placeFirst forwards the exchange unless others wait before it.
func (e *Engine) placeFirst(now model.Instant, x *exchange) bool {
	return x.service.waiting.Len() == 0 && e.place(now, x)
}

// place forwards the exchange to a free upstream; it reports false when none is free.
func (e *Engine) place(now model.Instant, x *exchange) bool {
	lease := e.doc.Timing.WarmLease
	e.free = e.free[:0]
	for _, up := range x.service.upstreams {
		free := up.limit(now, lease) - up.running
		if free <= 0 || x.had(up.cfg.ID) {
			continue
		}
		e.free = append(e.free, Candidate{up: up, Free: free, Running: up.running, Mean: up.speed.Mean(), Busy: up.busy.read(now)})
	}
	if len(e.free) == 0 {
		return false
	}
	e.send(now, x, e.free[e.policy.Pick(e.free, e.rng)].up)
	return true
}

func (e *Engine) send(now model.Instant, x *exchange, up *upstream) {
	x.up, x.sent, x.holding = up, now, true
	x.tried = append(x.tried, up.cfg.ID)
	up.running++
	up.mark(now)
	e.open[x.packet.Exchange()] = x
	if x.entry != nil {
		x.entry.State = once.StateRunning
		x.entry.Tried = append(x.entry.Tried, up.cfg.ID)
	}
	x.service.checks.Push(x)
	x.service.deadlines.Push(x)
	e.forward(x.packet, up)
}

// release gives the slot of the exchange back.
func (e *Engine) release(now model.Instant, x *exchange) {
	if !x.holding {
		return
	}
	x.holding = false
	x.up.running--
	x.up.mark(now)
}

// mark follows how busy the owned slots are.
func (u *upstream) mark(now model.Instant) {
	u.busy.set(now, float64(u.running)/float64(max(u.share.Owned(), 1)))
}

// giveUp refuses an exchange that was never forwarded, or that its upstreams did not run.
func (e *Engine) giveUp(now model.Instant, x *exchange, reason model.Reason) {
	e.finish(now, x)
	if x.entry != nil {
		x.entry.State = once.StateRefused
	}
	e.refuse(x.packet, reason)
}

// finish ends the exchange for the caller; what comes later is late.
func (e *Engine) finish(now model.Instant, x *exchange) {
	e.release(now, x)
	x.done = true
	if x.up == nil && e.open[x.packet.Exchange()] == x {
		delete(e.open, x.packet.Exchange())
	}
}

// drain places what waits for a slot, in order.
func (e *Engine) drain(now model.Instant, s *service) {
	for s.waiting.Len() > 0 {
		x := s.waiting.Peek()
		if x.done {
			s.waiting.Pop()
			continue
		}
		if x.startBy <= now {
			s.waiting.Pop()
			e.giveUp(now, x, model.ReasonQueueTimeout)
			continue
		}
		if !e.place(now, x) {
			return
		}
		s.waiting.Pop()
	}
}
