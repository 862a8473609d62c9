package engine

import (
	"time"

	"hawthorncourse/internal/core/model"
	"hawthorncourse/internal/core/once"
	"hawthorncourse/internal/core/queue"
)

// Tick advances the engine's time: it retries and times out requests, dispatches queued ones and expires table entries. The returned
// actions are valid until the next call.
func (e *Engine) Tick(now model.Instant) []model.Action {
	e.beginStep(now)
	if e.doc == nil {
		return e.actions
	}
	e.releaseOwnership(now)
	e.updateUtilisation(now)
	for _, s := range e.services {
		e.expireRetryChecks(now, s)
		e.expireDeadlines(now, s)
		e.dispatchQueue(now, s)
		e.probeParked(now, s)
	}
	e.ledger.Expire(now)
	e.expireTables(now)
	return e.actions
}

// releaseOwnership gives up the slots of an instance that is shutting down once its peers have noticed the shutdown.
func (e *Engine) releaseOwnership(now model.Instant) {
	if e.shutdownStartedAt == 0 || now.Sub(e.shutdownStartedAt) <= e.doc.Timing.Detection {
		return
	}
	if e.ownership.OwnsAny() {
		e.updateOwnership(now)
	}
}

// expireRetryChecks backs off from upstreams that left a request unanswered for firstAnswerTimeout and retries idempotent requests at others.
func (e *Engine) expireRetryChecks(now model.Instant, s *service) {
	for s.retryChecks.Len() > 0 && now.Sub(s.retryChecks.Peek().sentAt) >= s.firstAnswerTimeout() {
		check := s.retryChecks.Pop()
		x := check.exchange
		if x.done || !x.holdsSlot || x.sentAt != check.sentAt {
			continue
		}
		x.up.confirmedAt, x.up.suspect = 0, true
		x.up.backOff(now)
		e.countReason(model.ReasonUpstreamSilent)
		if x.entry == nil {
			e.retryUnanswered(now, x)
		}
	}
}

// retryUnanswered sends an idempotent request to a second upstream; the slot at the first one stays in use until the deadline.
func (e *Engine) retryUnanswered(now model.Instant, x *exchange) {
	first := x.up
	if !x.service.budget.TryWithdraw() {
		e.countReason(model.ReasonRetryBudget)
		return
	}
	if !e.place(now, x) {
		return
	}
	held := &exchange{packet: x.packet, service: x.service, up: first, holdsSlot: true, done: true, deadline: x.deadline}
	x.service.deadlines.Push(held.deadline, held)
}

// expireDeadlines ends the requests whose deadline has passed. Only then are the slots of unanswered requests freed, since the upstream
// may have been running them.
func (e *Engine) expireDeadlines(now model.Instant, s *service) {
	for {
		x, due := s.deadlines.PopDue(now)
		if !due {
			return
		}
		if !x.done {
			e.reportLost(now, x)
		}
		e.releaseSlot(now, x)
		e.keepFinished(now, x)
	}
}

// reportLost answers the caller that the outcome of its forwarded request is unknown.
func (e *Engine) reportLost(now model.Instant, x *exchange) {
	if x.up == nil {
		return
	}
	e.finish(now, x)
	if x.entry != nil {
		x.entry.State = once.StateUnknown
		e.reportUnknown(x.entry.LatestCopy, model.ReasonAnswerLost)
		return
	}
	e.reportUnknown(x.packet, model.ReasonAnswerLost)
}

// keepFinished keeps an ended exchange for another request timeout, so that a late answer is not attributed to a newer request.
func (e *Engine) keepFinished(now model.Instant, x *exchange) {
	if e.exchanges[x.packet.Exchange()] != x {
		return
	}
	e.finished.Push(finishedExchange{exchange: x, until: now.Add(x.service.cfg.RequestTimeout)})
}

type finishedExchange struct {
	exchange *exchange
	until    model.Instant
}

type finishedQueue = queue.Queue[finishedExchange]

func (e *Engine) expireTables(now model.Instant) {
	for e.finished.Len() > 0 && e.finished.Peek().until <= now {
		x := e.finished.Pop().exchange
		if key := x.packet.Exchange(); e.exchanges[key] == x {
			delete(e.exchanges, key)
		}
	}
	e.streams.Expire(now, streamLifeIntervals*e.refreshInterval(), func(_ model.ExchangeKey, st *stream) {
		st.up.streams--
	})
	e.pendingReplies.Expire(now, replyLife, func(replyKey, **upstream) {})
	e.expireFlows(now)
}

// refreshInterval returns the longest refresh interval of all services.
func (e *Engine) refreshInterval() (longest time.Duration) {
	for _, s := range e.services {
		longest = max(longest, s.cfg.RefreshInterval)
	}
	return longest
}

// probeParked releases one parked packet per lease as a probe to an upstream that does not answer.
func (e *Engine) probeParked(now model.Instant, s *service) {
	for _, up := range s.upstreams {
		if up.parked.Len() > 0 && now.Sub(up.probedAt) >= e.doc.Timing.WarmLease {
			e.reprocess(now, s, up.parked.Pop())
		}
	}
}

// running returns the number of requests that are forwarded or queued.
func (e *Engine) running() int {
	n := 0
	for _, s := range e.services {
		n += s.running()
	}
	return n
}
