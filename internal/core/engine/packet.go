package engine

import "hawthorncourse/internal/core/model"

// Packet handles one packet from a caller. The returned actions are valid until the next call.
func (e *Engine) Packet(now model.Instant, p *model.Packet) []model.Action {
	e.beginStep(now)
	if e.doc == nil {
		e.rejectUnserved(p, model.ReasonNoDocument)
		return e.actions
	}
	s := e.services[p.Flow.Service]
	if s == nil {
		e.rejectUnserved(p, model.ReasonNoService)
		return e.actions
	}
	switch p.Class {
	case model.ClassIdempotent:
		e.idempotentPacket(now, s, p)
	case model.ClassSticky:
		e.stickyPacket(now, s, p)
	case model.ClassOnce:
		e.oncePacket(now, s, p)
	case model.ClassReply:
		e.replyPacket(p)
	case model.ClassFlow:
		e.flowPacket(now, s, p)
	default:
		e.drop(p, model.ReasonMalformed)
	}
	return e.actions
}

// rejectUnserved refuses a packet that this instance cannot serve because it does not know the service or has no document. A bound request is
// dropped instead, since its issuer may have run another copy of it.
func (e *Engine) rejectUnserved(p *model.Packet, reason model.Reason) {
	if len(p.Binding) > 0 {
		e.drop(p, reason)
		return
	}
	e.refuse(p, reason)
}

// handOffToOwner hands a new request off to an owner of slots; it reports false if this instance should keep the request.
func (e *Engine) handOffToOwner(now model.Instant, s *service, p *model.Packet) bool {
	if p.Hops >= model.MaxHops {
		return false
	}
	peer, reason := e.pickPeer(now, s)
	if peer == "" || peer == e.cfg.Self.ID {
		return false
	}
	e.handOff(p, peer, reason)
	return true
}

// pickPeer returns the instance that should get a new request: an owner of slots in this failure domain, or in another one if no slot of
// this domain is usable now or its queue is long.
func (e *Engine) pickPeer(now model.Instant, s *service) (model.InstanceID, model.Reason) {
	if !e.queueHalfFull(s) {
		if peer := e.pickOwner(now, s.localSlots, true); peer != "" {
			return peer, model.ReasonBorrow
		}
	}
	if peer := e.pickOwner(now, s.remoteSlots, true); peer != "" {
		return peer, model.ReasonSpill
	}
	if peer := e.pickOwner(now, s.localSlots, false); peer != "" {
		return peer, model.ReasonBorrow
	}
	return e.pickOwner(now, s.remoteSlots, false), model.ReasonSpill
}

// queueHalfFull reports whether the service's queue is half full and other failure domains have slots, so that requests should go there.
func (e *Engine) queueHalfFull(s *service) bool {
	return len(s.remoteSlots) > 0 && s.waiting.Len() >= max(s.cfg.QueueLimit/2, 1)
}

// replyPacket forwards a caller's acknowledgement to the upstream that expects it. If it is lost, the upstream retransmits the message.
func (e *Engine) replyPacket(p *model.Packet) {
	key := replyKey{flow: p.Flow, messageID: p.MessageID}
	if up := e.pendingReplies.Peek(key); up != nil {
		e.forwardReply(p, *up)
		e.pendingReplies.Delete(key)
		return
	}
	home := e.home(p.Flow)
	if p.Hops >= model.MaxHops || home == e.cfg.Self.ID || home == "" {
		e.drop(p, model.ReasonReplyUnknown)
		return
	}
	e.handOff(p, home, model.ReasonHome)
}

func (e *Engine) forwardReply(p *model.Packet, up *upstream) {
	if up.out || e.upstreams[up.cfg.ID] != up {
		e.drop(p, model.ReasonReplyUnknown)
		return
	}
	e.forward(p, up)
}
