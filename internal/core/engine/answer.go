package engine

import (
	"bytes"

	"hawthorncourse/internal/core/model"
	"hawthorncourse/internal/core/once"
)

// Answer handles one datagram from an upstream. The returned actions are valid until the next call.
func (e *Engine) Answer(now model.Instant, a *model.Answer) []model.Action {
	e.beginStep(now)
	up := e.upstreamsByAddr[a.From]
	if e.doc == nil || up == nil || up.service.cfg.Address != a.Flow.Service {
		e.dropAnswer(a, model.ReasonAnswerUnexpected)
		return e.actions
	}
	if a.HandedOff {
		e.deliverAtHome(now, a, up)
		return e.actions
	}
	e.confirmBoot(now, up, a.Boot)
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

// confirmBoot records that an answer confirms the upstream's boot and reprocesses the packets that were parked until then.
func (e *Engine) confirmBoot(now model.Instant, up *upstream, boot model.BootID) {
	if up.confirm(now, boot) {
		e.updateUrgent = true
		e.countReason(model.ReasonBindingMoved)
	}
	if up.parked.Len() > 0 {
		e.unpark(now, up)
	}
}

func (e *Engine) dropAnswer(a *model.Answer, reason model.Reason) {
	e.emit(model.Action{Verb: model.VerbDrop, Reason: reason, Answer: a})
}

// streamAnswer relays one notification of a stream that this instance tracks; any other is handled as the answer to a request.
func (e *Engine) streamAnswer(now model.Instant, a *model.Answer, up *upstream) {
	st := e.streams.Peek(a.Exchange())
	if st == nil || st.up != up {
		e.requestAnswer(now, a, up)
		return
	}
	e.deliver(now, a, up, e.renewedBinding(now, a.Flow, st))
}

// renewedBinding returns a new binding for a stream whose binding was signed with an older key; nil if it needs none.
func (e *Engine) renewedBinding(now model.Instant, flow model.FlowKey, st *stream) []byte {
	old, err := e.signer.Verify(flow, st.binding[:])
	if err != nil || old.Epoch == e.signer.NewestEpoch() {
		return nil
	}
	old.Expiry = e.expiry(now, e.doc.Timing.StreamLife)
	raw, _ := e.signer.Sign(flow, old)
	return raw
}

// requestAnswer relays the answer to a request and completes the request.
func (e *Engine) requestAnswer(now model.Instant, a *model.Answer, up *upstream) {
	x := e.exchanges[a.Exchange()]
	if x == nil || !x.accepts(a, up) {
		if st := e.streams.Peek(a.Exchange()); st != nil && st.up == up {
			e.deliver(now, a, up, nil)
			return
		}
		e.dropAnswer(a, model.ReasonAnswerLate)
		return
	}
	if a.Outcome == model.OutcomeNotRun {
		e.handleNotRun(now, x)
		return
	}
	if x.entry != nil {
		e.completeOnce(now, x, a, up)
		return
	}
	if x.done {
		if x.up == up {
			e.releaseSlot(now, x)
		}
		e.dropAnswer(a, model.ReasonAnswerLate)
		return
	}
	e.complete(now, x, up)
	e.deliver(now, a, up, nil)
	e.dispatchQueue(now, x.service)
}

// accepts reports whether the answer matches the request as it was forwarded to the upstream. A not-run answer is only accepted from the
// upstream to which the request was last sent.
func (x *exchange) accepts(a *model.Answer, up *upstream) bool {
	if a.Piggybacked && a.MessageID != x.packet.MessageID {
		return false
	}
	if a.Outcome == model.OutcomeNotRun {
		return x.up == up && !x.done
	}
	return x.wasTried(up.cfg.ID)
}

// complete marks an exchange as answered. If the answer is not from the upstream to which the request was last sent, that upstream may still
// run the request, and the slot stays in use until the deadline.
func (e *Engine) complete(now model.Instant, x *exchange, up *upstream) {
	x.done = true
	if up != x.up {
		return
	}
	if x.holdsSlot {
		up.serviceTime.Observe(now.Sub(x.sentAt))
	}
	e.releaseSlot(now, x)
}

// completeOnce stores the answer for repeats and sends it to the latest copy of the request.
func (e *Engine) completeOnce(now model.Instant, x *exchange, a *model.Answer, up *upstream) {
	entry := x.entry
	if entry.State == once.StateAnswered {
		e.dropAnswer(a, model.ReasonAnswerLate)
		return
	}
	entry.State, entry.Answer = once.StateAnswered, bytes.Clone(a.Raw)
	e.complete(now, x, up)
	if latest := entry.LatestCopy; latest.Token != x.packet.Token || latest.MessageID != x.packet.MessageID {
		e.emit(model.Action{Verb: model.VerbDeliver, Packet: latest, Raw: a.Raw})
	} else {
		e.deliver(now, a, up, nil)
	}
	e.dispatchQueue(now, x.service)
}

// handleNotRun handles a request that its upstream reported as not run: it is retried at another upstream, queued again or refused.
func (e *Engine) handleNotRun(now model.Instant, x *exchange) {
	e.countReason(model.ReasonUpstreamShed)
	x.up.pauseUntil = now.Add(shedPause)
	e.releaseSlot(now, x)
	if x.startBy <= now || !x.service.budget.TryWithdraw() {
		e.refuseExchange(now, x, model.ReasonRetryBudget)
		return
	}
	x.up = nil
	if !e.place(now, x) {
		e.requeue(now, x)
	}
	e.dispatchQueue(now, x.service)
}

func (e *Engine) requeue(now model.Instant, x *exchange) {
	if x.service.waiting.Len() >= x.service.cfg.QueueLimit {
		e.refuseExchange(now, x, model.ReasonQueueFull)
		return
	}
	x.service.waiting.Push(x)
}

// deliver sends an answer to its caller. An answer that must be acknowledged goes through the flow's home, where the acknowledgement arrives.
func (e *Engine) deliver(now model.Instant, a *model.Answer, up *upstream, binding []byte) {
	if !a.Confirmable {
		e.emit(model.Action{Verb: model.VerbDeliver, Answer: a, Raw: a.Raw, Binding: binding})
		return
	}
	if home := e.home(a.Flow); home != e.cfg.Self.ID && home != "" {
		e.emit(model.Action{Verb: model.VerbHandOffAnswer, Reason: model.ReasonHome, Answer: a, Peer: home, Binding: binding})
		return
	}
	e.expectReply(now, a, up)
	e.emit(model.Action{Verb: model.VerbDeliver, Answer: a, Raw: a.Raw, Binding: binding})
}

// expectReply records that the caller will acknowledge an answer, so that the acknowledgement is relayed to its upstream.
func (e *Engine) expectReply(now model.Instant, a *model.Answer, up *upstream) {
	if !e.pendingReplies.Put(now, replyKey{flow: a.Flow, messageID: a.MessageID}, up) {
		e.countReason(model.ReasonFlowLimit)
	}
}

// deliverAtHome delivers an answer that a peer handed off to this instance, the flow's home, and expects its acknowledgement.
func (e *Engine) deliverAtHome(now model.Instant, a *model.Answer, up *upstream) {
	e.expectReply(now, a, up)
	e.emit(model.Action{Verb: model.VerbDeliver, Answer: a, Raw: a.Raw})
}
