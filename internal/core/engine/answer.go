package engine

import (
	"bytes"

	"hawthorncourse/internal/core/model"
	"hawthorncourse/internal/core/once"
)

// Answer decides on one datagram of an upstream; the actions are valid until the next call.
func (e *Engine) Answer(now model.Instant, a *model.Answer) []model.Action {
	e.begin(now)
	up := e.senders[a.From]
	if e.doc == nil || up == nil || up.service.cfg.Address != a.Flow.Service {
		e.lose(a, model.ReasonAnswerUnexpected)
		return e.actions
	}
	if a.HandedOff {
		e.deliverHome(now, a, up)
		return e.actions
	}
	e.proved(now, up, a.Boot)
	switch {
	case a.Outcome == model.OutcomeControl:
		e.emit(model.Action{Verb: model.VerbDeliver, Answer: a, Raw: a.Raw})
	case up.service.cfg.Kind == model.KindDatagram:
		e.flowAnswer(now, a, up)
	case a.Outcome == model.OutcomeNotification:
		e.streamAnswer(now, a, up)
	default:
		e.requestAnswer(now, a, up)
	}
	return e.actions
}

// proved takes an answer as proof of the upstream's start and lets go what waited for it.
func (e *Engine) proved(now model.Instant, up *upstream, boot model.BootID) {
	if up.hear(now, boot) {
		e.urgent = true
		e.note(model.ReasonBindingMoved)
	}
	if up.parked.Len() > 0 {
		e.unpark(now, up)
	}
}

func (e *Engine) lose(a *model.Answer, reason model.Reason) {
	e.emit(model.Action{Verb: model.VerbDrop, Reason: reason, Answer: a})
}

// streamAnswer relays one notification of a stream that this instance speaks for.
func (e *Engine) streamAnswer(now model.Instant, a *model.Answer, up *upstream) {
	st := e.streams.Peek(a.Exchange())
	if st == nil || st.up != up {
		e.requestAnswer(now, a, up)
		return
	}
	e.deliver(now, a, up, e.renewal(now, a.Flow, st))
}

// renewal returns a fresh binding for a stream whose own was sealed with an older key, or nil.
func (e *Engine) renewal(now model.Instant, flow model.FlowKey, st *stream) []byte {
	old, err := e.sealer.Open(flow, st.proof[:])
	if err != nil || old.Epoch == e.sealer.Newest() {
		return nil
	}
	old.Expiry = e.expiry(now, e.doc.Timing.StreamLife)
	raw, _ := e.sealer.Seal(flow, old)
	return raw
}

// requestAnswer relays the answer of a request, which ends it.
func (e *Engine) requestAnswer(now model.Instant, a *model.Answer, up *upstream) {
	x := e.open[a.Exchange()]
	if x == nil || !x.awaits(a, up) {
		if st := e.streams.Peek(a.Exchange()); st != nil && st.up == up {
			e.deliver(now, a, up, nil)
			return
		}
		e.lose(a, model.ReasonAnswerLate)
		return
	}
	if a.Outcome == model.OutcomeNotRun {
		e.notRun(now, x)
		return
	}
	if x.entry != nil {
		e.answerOnce(now, x, a, up)
		return
	}
	if x.done {
		if x.up == up {
			e.release(now, x)
		}
		e.lose(a, model.ReasonAnswerLate)
		return
	}
	e.complete(now, x, up)
	e.deliver(now, a, up, nil)
	e.drain(now, x.service)
}

// awaits reports whether the answer belongs to the request as it was forwarded.
func (x *exchange) awaits(a *model.Answer, up *upstream) bool {
	if a.Piggybacked && a.MessageID != x.packet.MessageID {
		return false
	}
	if a.Outcome == model.OutcomeNotRun {
		return x.up == up && !x.done
	}
	return x.had(up.cfg.ID)
}

// complete ends an exchange by its answer; a second upstream that still runs it keeps its slot until the deadline.
func (e *Engine) complete(now model.Instant, x *exchange, up *upstream) {
	x.done = true
	if up != x.up {
		return
	}
	if x.holding {
		up.speed.Observe(now.Sub(x.sent))
	}
	e.release(now, x)
}

// answerOnce keeps the answer for repeats and gives it to the newest copy of the request.
func (e *Engine) answerOnce(now model.Instant, x *exchange, a *model.Answer, up *upstream) {
	entry := x.entry
	if entry.State == once.StateAnswered {
		e.lose(a, model.ReasonAnswerLate)
		return
	}
	entry.State, entry.Answer = once.StateAnswered, bytes.Clone(a.Raw)
	e.complete(now, x, up)
	if waiter := entry.Waiter; waiter.Token != x.packet.Token || waiter.MessageID != x.packet.MessageID {
		e.emit(model.Action{Verb: model.VerbDeliver, Packet: waiter, Raw: a.Raw})
	} else {
		e.deliver(now, a, up, nil)
	}
	e.drain(now, x.service)
}

// notRun tries a request elsewhere that its upstream did not run, or refuses it.
func (e *Engine) notRun(now model.Instant, x *exchange) {
	e.note(model.ReasonUpstreamShed)
	x.up.pauseUntil = now.Add(shedPause)
	e.release(now, x)
	if x.startBy <= now || !x.service.budget.TryWithdraw() {
		e.giveUp(now, x, model.ReasonRetryBudget)
		return
	}
	x.up = nil
	if !e.place(now, x) {
		e.requeue(now, x)
	}
	e.drain(now, x.service)
}

func (e *Engine) requeue(now model.Instant, x *exchange) {
	if x.service.waiting.Len() >= x.service.cfg.QueueLimit {
		e.giveUp(now, x, model.ReasonQueueFull)
		return
	}
	x.service.waiting.Push(x)
}

// deliver sends an answer to its caller; one that wants an acknowledgement goes by way of the flow's home.
func (e *Engine) deliver(now model.Instant, a *model.Answer, up *upstream, renewed []byte) {
	if !a.Confirmable {
		e.emit(model.Action{Verb: model.VerbDeliver, Answer: a, Raw: a.Raw, Binding: renewed})
		return
	}
	if home := e.home(a.Flow); home != e.cfg.Self.ID && home != "" {
		e.emit(model.Action{Verb: model.VerbHandOffAnswer, Reason: model.ReasonHome, Answer: a, Peer: home})
		return
	}
	e.replies.Put(now, replyKey{flow: a.Flow, messageID: a.MessageID}, up)
	e.emit(model.Action{Verb: model.VerbDeliver, Answer: a, Raw: a.Raw, Binding: renewed})
}

// deliverHome delivers an answer handed here and awaits its acknowledgement.
func (e *Engine) deliverHome(now model.Instant, a *model.Answer, up *upstream) {
	if !e.replies.Put(now, replyKey{flow: a.Flow, messageID: a.MessageID}, up) {
		e.note(model.ReasonFlowLimit)
	}
	e.emit(model.Action{Verb: model.VerbDeliver, Answer: a, Raw: a.Raw})
}
