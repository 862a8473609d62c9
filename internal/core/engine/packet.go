package engine

import "hawthorncourse/internal/core/model"

// Packet decides on one packet of a caller; the actions are valid until the next call.
func (e *Engine) Packet(now model.Instant, p *model.Packet) []model.Action {
	e.begin(now)
	if e.doc == nil {
		e.turnAway(p, model.ReasonNoDocument)
		return e.actions
	}
	s := e.services[p.Flow.Service]
	if s == nil {
		e.turnAway(p, model.ReasonNoService)
		return e.actions
	}
	switch p.Class {
	case model.ClassIdempotent:
		e.anyPacket(now, s, p)
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

// turnAway refuses a packet that this instance can do nothing with; another copy of a bound request may have been run by its issuer.
func (e *Engine) turnAway(p *model.Packet, reason model.Reason) {
	if len(p.Binding) > 0 {
		e.drop(p, reason)
		return
	}
	e.refuse(p, reason)
}

// placeElsewhere hands new work to an owner of slots; it reports false when this instance should keep it.
func (e *Engine) placeElsewhere(now model.Instant, s *service, p *model.Packet) bool {
	if p.Hops >= model.MaxHops {
		return false
	}
	peer, reason := e.pickPeer(now, s)
	if peer == "" || peer == e.cfg.Self.ID {
		return false
	}
	e.hand(p, peer, reason)
	return true
}

// pickPeer returns who should have new work: an owner of this domain, or of another if none here can take it now.
func (e *Engine) pickPeer(now model.Instant, s *service) (model.InstanceID, model.Reason) {
	if !e.crowded(s) {
		if peer := e.pickOwner(now, s.near, true); peer != "" {
			return peer, model.ReasonBorrow
		}
	}
	if peer := e.pickOwner(now, s.far, true); peer != "" {
		return peer, model.ReasonSpill
	}
	if peer := e.pickOwner(now, s.near, false); peer != "" {
		return peer, model.ReasonBorrow
	}
	return e.pickOwner(now, s.far, false), model.ReasonSpill
}

// crowded reports whether the domain's queue is long enough for other domains to help.
func (e *Engine) crowded(s *service) bool {
	return len(s.far) > 0 && s.waiting.Len() >= max(s.cfg.QueueLimit/2, 1)
}

// replyPacket returns a caller's acknowledgement to the upstream that waits for it; if it is lost, the message comes again.
func (e *Engine) replyPacket(p *model.Packet) {
	key := replyKey{flow: p.Flow, messageID: p.MessageID}
	if up := e.replies.Peek(key); up != nil {
		e.forwardReply(p, *up)
		e.replies.Delete(key)
		return
	}
	home := e.home(p.Flow)
	if p.Hops >= model.MaxHops || home == e.cfg.Self.ID || home == "" {
		e.drop(p, model.ReasonReplyUnknown)
		return
	}
	e.hand(p, home, model.ReasonHome)
}

func (e *Engine) forwardReply(p *model.Packet, up *upstream) {
	if up.out || e.upstreams[up.cfg.ID] != up {
		e.drop(p, model.ReasonReplyUnknown)
		return
	}
	e.forward(p, up)
}
