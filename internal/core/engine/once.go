package engine

import (
	"errors"
	"time"

	"hawthorncourse/internal/core/bind"
	"hawthorncourse/internal/core/model"
	"hawthorncourse/internal/core/once"
)

// oncePacket decides on a request that is not idempotent.
func (e *Engine) oncePacket(now model.Instant, s *service, p *model.Packet) {
	if len(p.Binding) == 0 {
		e.offerOnce(now, s, p, model.ReasonBindingMissing)
		return
	}
	b, err := e.sealer.Open(p.Flow, p.Binding)
	switch {
	case errors.Is(err, bind.ErrKeyAhead):
		// The key is on its way here; the caller's next copy finds it, or an instance that has it.
		e.drop(p, model.ReasonKeyAhead)
	case errors.Is(err, bind.ErrUnknownKey):
		e.unknown(p, model.ReasonBindingExpired)
	case err != nil:
		e.unknown(p, model.ReasonBindingForged)
	case b.Use != bind.UseOnce:
		e.offerOnce(now, s, p, model.ReasonBindingUsed)
	case b.Issuer == e.cfg.Self.Tag():
		e.runOnce(now, s, p, b)
	default:
		e.toIssuer(now, p, b)
	}
}

// offerOnce answers a first try with a binding of an owner of slots; nobody forwards it.
func (e *Engine) offerOnce(now model.Instant, s *service, p *model.Packet, reason model.Reason) {
	if e.placeElsewhere(now, s, p) {
		return
	}
	if s.mine == 0 {
		e.refuse(p, model.ReasonNoUpstream)
		return
	}
	if s.waiting.Len() >= s.cfg.QueueLimit {
		e.refuse(p, model.ReasonQueueFull)
		return
	}
	e.serial++
	e.challenge(p, reason, bind.Binding{
		Use:    bind.UseOnce,
		Issuer: e.cfg.Self.Tag(),
		Serial: e.serial,
		Expiry: e.expiry(now, e.doc.Timing.BindingLife),
	})
}

// toIssuer hands a bound request to the only instance that may run it; beyond a cut, the caller's next copy may find it.
func (e *Engine) toIssuer(now model.Instant, p *model.Packet, b bind.Binding) {
	peer, known := e.issuers[b.Issuer]
	switch {
	case known && p.Hops < model.MaxHops:
		e.hand(p, peer, model.ReasonIssuerElsewhere)
	case e.severed[b.Issuer] && int64(b.Expiry) > e.wall(now):
		e.drop(p, model.ReasonIssuerSevered)
	default:
		e.unknown(p, model.ReasonIssuerGone)
	}
}

// runOnce forwards a bound request unless any copy of it was seen before.
func (e *Engine) runOnce(now model.Instant, s *service, p *model.Packet, b bind.Binding) {
	key := once.Key{Serial: b.Serial, Block: p.Block}
	if entry := e.ledger.Find(key); entry != nil {
		e.repeatOnce(now, s, p, entry)
		return
	}
	if int64(b.Expiry) <= e.wall(now) {
		e.unknown(p, model.ReasonBindingExpired)
		return
	}
	s.budget.Deposit()
	x := newExchange(now, s, p)
	x.entry = e.ledger.Open(key, p, now.Add(e.doc.Timing.BindingLife+time.Second))
	e.start(now, x)
}

// repeatOnce gives another copy of a request the outcome of the first.
func (e *Engine) repeatOnce(now model.Instant, s *service, p *model.Packet, entry *once.Entry) {
	if entry.Digest != p.Digest {
		e.offerOnce(now, s, p, model.ReasonBindingUsed)
		return
	}
	entry.Waiter = p
	switch entry.State {
	case once.StateAnswered:
		e.emit(model.Action{Verb: model.VerbDeliver, Reason: model.ReasonRepeat, Packet: p, Raw: entry.Answer})
	case once.StateRefused:
		e.refuse(p, model.ReasonRepeat)
	case once.StateUnknown:
		e.unknown(p, model.ReasonAnswerLost)
	default:
		e.drop(p, model.ReasonRepeat)
	}
}

func (e *Engine) challenge(p *model.Packet, reason model.Reason, b bind.Binding) {
	raw, ok := e.sealer.Seal(p.Flow, b)
	if !ok {
		e.refuse(p, model.ReasonNoKeys)
		return
	}
	e.emit(model.Action{Verb: model.VerbChallenge, Reason: reason, Packet: p, Binding: raw})
}

func (e *Engine) expiry(now model.Instant, life time.Duration) uint32 {
	return uint32(e.wall(now) + int64(life/time.Second))
}
