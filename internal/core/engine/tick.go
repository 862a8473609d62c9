package engine

import (
	"time"

	"hawthorncourse/internal/core/model"
	"hawthorncourse/internal/core/once"
	"hawthorncourse/internal/core/queue"
)

// Tick lets time pass: requests run out, slots become usable, tables lapse.
func (e *Engine) Tick(now model.Instant) []model.Action {
	e.begin(now)
	if e.doc == nil {
		return e.actions
	}
	e.leave(now)
	e.markLoads(now)
	for _, s := range e.services {
		e.expireChecks(now, s)
		e.expireDeadlines(now, s)
		e.drain(now, s)
		e.expireParked(now, s)
	}
	e.ledger.Expire(now)
	e.expireTables(now)
	return e.actions
}

// leave gives up the units of a stopping instance when its peers have noticed.
func (e *Engine) leave(now model.Instant) {
	if e.stopAt == 0 || now.Sub(e.stopAt) <= e.doc.Timing.Detection {
		return
	}
	if e.table.OwnsAny() {
		e.own(now)
	}
}

// expireChecks tries requests elsewhere that have waited for half of their time.
func (e *Engine) expireChecks(now model.Instant, s *service) {
	for s.checks.Len() > 0 && now.Sub(s.checks.Peek().sent) >= s.silence() {
		x := s.checks.Pop()
		if x.done || !x.holding || now.Sub(x.sent) < s.silence() {
			continue
		}
		x.up.heard, x.up.suspect = 0, true
		x.up.pause(now)
		e.note(model.ReasonUpstreamSilent)
		if x.entry == nil {
			e.retrySilent(now, x)
		}
	}
}

// retrySilent sends an idempotent request to a second upstream; the first keeps its slot until the deadline.
func (e *Engine) retrySilent(now model.Instant, x *exchange) {
	first := x.up
	if !x.service.budget.TryWithdraw() {
		e.note(model.ReasonRetryBudget)
		return
	}
	if !e.place(now, x) {
		return
	}
	held := &exchange{packet: x.packet, service: x.service, up: first, holding: true, done: true, deadline: x.deadline}
	x.service.deadlines.Push(held)
}

// expireDeadlines ends requests whose time is over; their slots are free again only now.
func (e *Engine) expireDeadlines(now model.Instant, s *service) {
	for s.deadlines.Len() > 0 && s.deadlines.Peek().deadline <= now {
		x := s.deadlines.Pop()
		if !x.done {
			e.lost(now, x)
		}
		e.release(now, x)
		e.keepLate(now, x)
	}
}

// lost tells the caller that the outcome of a forwarded request is unknown.
func (e *Engine) lost(now model.Instant, x *exchange) {
	if x.up == nil {
		return
	}
	e.finish(now, x)
	if x.entry != nil {
		x.entry.State = once.StateUnknown
		e.unknown(x.entry.Waiter, model.ReasonAnswerLost)
		return
	}
	e.unknown(x.packet, model.ReasonAnswerLost)
}

// keepLate remembers an ended exchange for another request time, so that late answers find no younger request.
func (e *Engine) keepLate(now model.Instant, x *exchange) {
	if e.open[x.packet.Exchange()] != x {
		return
	}
	e.late.Push(lateExchange{exchange: x, until: now.Add(x.service.cfg.RequestTimeout)})
}

type lateExchange struct {
	exchange *exchange
	until    model.Instant
}

type lateQueue = queue.Queue[lateExchange]

func (e *Engine) expireTables(now model.Instant) {
	for e.late.Len() > 0 && e.late.Peek().until <= now {
		x := e.late.Pop().exchange
		if key := x.packet.Exchange(); e.open[key] == x {
			delete(e.open, key)
		}
	}
	e.streams.Expire(now, streamLives*e.refreshInterval(), func(_ model.ExchangeKey, st *stream) {
		st.up.streams--
	})
	e.replies.Expire(now, replyLife, func(replyKey, **upstream) {})
	e.expireFlows(now)
}

// refreshInterval returns the longest refresh interval of all services.
func (e *Engine) refreshInterval() (longest time.Duration) {
	for _, s := range e.services {
		longest = max(longest, s.cfg.RefreshInterval)
	}
	return longest
}

// expireParked lets one packet after another probe an upstream that keeps silent.
func (e *Engine) expireParked(now model.Instant, s *service) {
	for _, up := range s.upstreams {
		if up.parked.Len() > 0 && now.Sub(up.probed) >= e.doc.Timing.WarmLease {
			e.resume(now, s, up.parked.Pop())
		}
	}
}

// running returns the number of requests that are forwarded or wait.
func (e *Engine) running() int {
	n := 0
	for _, s := range e.services {
		n += s.running()
	}
	return n
}
