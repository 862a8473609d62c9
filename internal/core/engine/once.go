package engine

import (
	"errors"
	"time"

	"hawthorncourse/internal/core/bind"
	"hawthorncourse/internal/core/model"
	"hawthorncourse/internal/core/once"
)

// oncePacket handles a request that is not idempotent.
func (e *Engine) oncePacket(now model.Instant, s *service, p *model.Packet) {
	if len(p.Binding) == 0 {
		e.challengeOnce(now, s, p, model.ReasonBindingMissing)
		return
	}
	b, err := e.signer.Verify(p.Flow, p.Binding)
	switch {
	case errors.Is(err, bind.ErrNewerKey):
		// The key has not reached this instance yet. A retransmission will find it here or reach an instance that has it.
		e.drop(p, model.ReasonKeyAhead)
	case errors.Is(err, bind.ErrUnknownKey):
		e.reportUnknown(p, model.ReasonBindingExpired)
	case err != nil:
		e.reportUnknown(p, model.ReasonBindingForged)
	case b.Use != bind.UseOnce:
		e.challengeOnce(now, s, p, model.ReasonBindingUsed)
	case b.Issuer == e.cfg.Self.Tag():
		e.runOnce(now, s, p, b)
	default:
		e.handOffToIssuer(now, p, b)
	}
}

// challengeOnce answers a request without a usable binding with a new one, issued by an instance that owns slots. The request itself is
// not forwarded.
func (e *Engine) challengeOnce(now model.Instant, s *service, p *model.Packet, reason model.Reason) {
	if e.handOffToOwner(now, s, p) {
		return
	}
	if s.ownedSlots == 0 {
		e.refuse(p, model.ReasonNoUpstream)
		return
	}
	if s.waiting.Len() >= s.cfg.QueueLimit {
		e.refuse(p, model.ReasonQueueFull)
		return
	}
	e.lastSerial++
	e.challenge(p, reason, bind.Binding{
		Use:    bind.UseOnce,
		Issuer: e.cfg.Self.Tag(),
		Serial: e.lastSerial,
		Expiry: e.expiry(now, e.doc.Timing.BindingLife),
	})
}

// handOffToIssuer hands a bound request off to its issuer, the only instance that may run it. If the issuer may be behind a network
// partition, the packet is dropped: a retransmission may reach the issuer.
func (e *Engine) handOffToIssuer(now model.Instant, p *model.Packet, b bind.Binding) {
	peer, known := e.issuers[b.Issuer]
	switch {
	case known && p.Hops < model.MaxHops:
		e.handOff(p, peer, model.ReasonIssuerElsewhere)
	case e.partitioned[b.Issuer] && int64(b.Expiry) > e.unixTime(now):
		e.drop(p, model.ReasonIssuerSevered)
	default:
		e.reportUnknown(p, model.ReasonIssuerGone)
	}
}

// runOnce forwards a bound request unless a copy of it was received before.
func (e *Engine) runOnce(now model.Instant, s *service, p *model.Packet, b bind.Binding) {
	key := once.Key{Serial: b.Serial, Block: p.Block}
	if entry := e.ledger.Find(key); entry != nil {
		e.answerRepeat(now, s, p, entry)
		return
	}
	if int64(b.Expiry) <= e.unixTime(now) {
		e.reportUnknown(p, model.ReasonBindingExpired)
		return
	}
	s.budget.Deposit()
	x := newExchange(now, s, p)
	x.entry = e.ledger.Add(key, p, now.Add(e.doc.Timing.BindingLife+time.Second))
	e.startExchange(now, x)
}

// answerRepeat answers a further copy of a request with the outcome of the first; other content under the same binding is a new request.
func (e *Engine) answerRepeat(now model.Instant, s *service, p *model.Packet, entry *once.Entry) {
	if entry.Digest != p.Digest {
		e.challengeOnce(now, s, p, model.ReasonBindingUsed)
		return
	}
	entry.LatestCopy = p
	switch entry.State {
	case once.StateAnswered:
		e.emit(model.Action{Verb: model.VerbDeliver, Reason: model.ReasonRepeat, Packet: p, Raw: entry.Answer})
	case once.StateRefused:
		e.refuse(p, model.ReasonRepeat)
	case once.StateUnknown:
		e.reportUnknown(p, model.ReasonAnswerLost)
	default:
		e.drop(p, model.ReasonRepeat)
	}
}

func (e *Engine) challenge(p *model.Packet, reason model.Reason, b bind.Binding) {
	raw, ok := e.signer.Sign(p.Flow, b)
	if !ok {
		e.refuse(p, model.ReasonNoKeys)
		return
	}
	e.emit(model.Action{Verb: model.VerbChallenge, Reason: reason, Packet: p, Binding: raw})
}

func (e *Engine) expiry(now model.Instant, life time.Duration) uint32 {
	return uint32(e.unixTime(now) + int64(life/time.Second))
}
