package engine

import (
	"errors"

	"hawthorncourse/internal/core/bind"
	"hawthorncourse/internal/core/choose"
	"hawthorncourse/internal/core/model"
)

// stickyPacket decides on a packet of a stream: its binding says where it goes, whichever instance has it.
func (e *Engine) stickyPacket(now model.Instant, s *service, p *model.Packet) {
	if len(p.Binding) == 0 {
		e.offerStream(now, s, p, model.ReasonBindingMissing)
		return
	}
	key := p.Exchange()
	if st := e.streams.Touch(now, key); st != nil && string(st.proof[:]) == string(p.Binding) && e.standing(st.up) {
		e.relay(now, p, st.up)
		return
	}
	if e.sealer.Newest() == 0 {
		e.drop(p, model.ReasonNoKeys)
		return
	}
	up, reason := e.bound(now, s, p)
	if reason == model.ReasonKeyAhead {
		e.drop(p, reason)
		return
	}
	if up == nil {
		e.offerStream(now, s, p, reason)
		return
	}
	e.remember(now, key, up, p.Binding)
	e.relay(now, p, up)
}

// bound returns the upstream that the packet's binding names, or why the binding does not hold.
func (e *Engine) bound(now model.Instant, s *service, p *model.Packet) (*upstream, model.Reason) {
	b, err := e.sealer.Open(p.Flow, p.Binding)
	if errors.Is(err, bind.ErrKeyAhead) {
		// The stream goes on once the key is here; another binding would move it.
		return nil, model.ReasonKeyAhead
	}
	if err != nil || b.Use != bind.UseStream {
		return nil, model.ReasonBindingForged
	}
	if int64(b.Expiry) <= e.wall(now) {
		return nil, model.ReasonBindingExpired
	}
	up := s.tags[b.Upstream]
	if up == nil || !e.standing(up) || e.stale(up, b) {
		return nil, model.ReasonBindingMoved
	}
	return up, model.ReasonNone
}

// standing reports whether established flows of the upstream go on.
func (e *Engine) standing(up *upstream) bool {
	return !up.out && e.upstreams[up.cfg.ID] == up
}

// stale reports whether the upstream has restarted since the binding was issued.
func (e *Engine) stale(up *upstream, b bind.Binding) bool {
	if up.boot == 0 || b.Boot == uint32(up.boot) {
		return false
	}
	issued := int64(b.Expiry) - int64(e.doc.Timing.StreamLife.Seconds())
	if b.Boot == 0 {
		return up.restarted != 0 && e.wall(up.restarted) > issued
	}
	return e.wall(up.bootSeen) > issued
}

// relay forwards a packet of a stream once it is sure that the upstream has not restarted.
func (e *Engine) relay(now model.Instant, p *model.Packet, up *upstream) {
	if !up.unsure(now, e.doc.Timing.WarmLease) {
		e.forward(p, up)
		return
	}
	if e.handProber(p, up) {
		return
	}
	if now.Sub(up.probed) >= e.doc.Timing.WarmLease || up.probed == 0 {
		up.probed = max(now, 1)
		e.forward(p, up)
		return
	}
	e.park(p, up)
}

// park keeps a packet until more is known of its upstream.
func (e *Engine) park(p *model.Packet, up *upstream) {
	if up.parked.Len() >= parkLimit {
		e.drop(p, model.ReasonUpstreamSilent)
		return
	}
	up.parked.Push(p)
}

// handProber hands a packet to the upstream's prober; it reports false if that is this instance or none.
func (e *Engine) handProber(p *model.Packet, up *upstream) bool {
	prober := up.share.Primary()
	limit := uint8(model.MaxHops)
	if p.Class == model.ClassFlow {
		limit = proberHops
	}
	if prober == e.cfg.Self.ID || prober == "" || p.Hops >= limit {
		return false
	}
	p.Upstream = up.cfg.ID
	e.hand(p, prober, model.ReasonUpstreamSilent)
	return true
}

// unpark lets the packets go that waited for proof that the upstream has not restarted.
func (e *Engine) unpark(now model.Instant, up *upstream) {
	for n := up.parked.Len(); n > 0; n-- {
		e.resume(now, up.service, up.parked.Pop())
	}
}

// resume decides again on a packet that was parked.
func (e *Engine) resume(now model.Instant, s *service, p *model.Packet) {
	if p.Class == model.ClassFlow {
		e.flowPacket(now, s, p)
		return
	}
	e.stickyPacket(now, s, p)
}

func (e *Engine) remember(now model.Instant, key model.ExchangeKey, up *upstream, proof []byte) {
	st := stream{up: up}
	copy(st.proof[:], proof)
	old := e.streams.Peek(key)
	if old != nil {
		old.up.streams--
	}
	if !e.streams.Put(now, key, st) {
		e.note(model.ReasonFlowLimit)
		return
	}
	up.streams++
}

// offerStream places a new stream and answers with its binding.
func (e *Engine) offerStream(now model.Instant, s *service, p *model.Packet, reason model.Reason) {
	up := e.placeStream(now, s)
	if up == nil {
		if !e.placeElsewhere(now, s, p) {
			e.refuse(p, model.ReasonNoUpstream)
		}
		return
	}
	up.opened.add(now, s.cfg.RefreshInterval)
	up.coldOpened++
	e.challenge(p, reason, bind.Binding{
		Use:      bind.UseStream,
		Upstream: up.cfg.ID.Tag(),
		Boot:     uint32(up.boot),
		Issuer:   e.cfg.Self.Tag(),
		Expiry:   e.expiry(now, e.doc.Timing.StreamLife),
	})
}

// placeStream picks the roomier of two random upstreams, of this instance's domain where there is one.
func (e *Engine) placeStream(now model.Instant, s *service) *upstream {
	lease, instances := e.doc.Timing.WarmLease, len(e.homes)
	var near, far []roomy
	for _, up := range s.upstreams {
		room := up.room(now, lease, instances)
		if room <= 0 {
			continue
		}
		r := roomy{up: up, room: float64(room) / float64(up.cfg.Connections)}
		if up.cfg.Domain == e.cfg.Self.Domain {
			near = append(near, r)
		} else {
			far = append(far, r)
		}
	}
	if len(near) == 0 {
		near = far
	}
	if len(near) == 0 {
		return nil
	}
	policy := choose.TwoChoices[roomy]{Score: func(r roomy) float64 { return -r.room }}
	return near[policy.Pick(near, e.rng)].up
}

// roomy is an upstream with room for one more stream.
type roomy struct {
	up   *upstream
	room float64
}
