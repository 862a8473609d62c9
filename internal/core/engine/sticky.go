package engine

import (
	"errors"

	"hawthorncourse/internal/core/bind"
	"hawthorncourse/internal/core/choose"
	"hawthorncourse/internal/core/model"
)

// stickyPacket handles a packet of a stream. Its binding names the upstream, so that any instance can relay it.
func (e *Engine) stickyPacket(now model.Instant, s *service, p *model.Packet) {
	if len(p.Binding) == 0 {
		e.challengeStream(now, s, p, model.ReasonBindingMissing)
		return
	}
	key := p.Exchange()
	if st := e.streams.Touch(now, key); st != nil && string(st.binding[:]) == string(p.Binding) && e.servesEstablished(st.up) {
		e.relay(now, p, st.up)
		return
	}
	if e.signer.NewestEpoch() == 0 {
		e.drop(p, model.ReasonNoKeys)
		return
	}
	up, reason := e.boundUpstream(now, s, p)
	if reason == model.ReasonKeyAhead {
		e.drop(p, reason)
		return
	}
	if up == nil {
		e.challengeStream(now, s, p, reason)
		return
	}
	e.recordStream(now, key, up, p.Binding)
	e.relay(now, p, up)
}

// boundUpstream returns the upstream that the packet's binding names, or nil and the reason why the binding is not valid.
func (e *Engine) boundUpstream(now model.Instant, s *service, p *model.Packet) (*upstream, model.Reason) {
	b, err := e.signer.Verify(p.Flow, p.Binding)
	if errors.Is(err, bind.ErrNewerKey) {
		// The stream resumes once the key has arrived; a new binding would move it to another upstream.
		return nil, model.ReasonKeyAhead
	}
	if err != nil || b.Use != bind.UseStream {
		return nil, model.ReasonBindingForged
	}
	if int64(b.Expiry) <= e.unixTime(now) {
		return nil, model.ReasonBindingExpired
	}
	up := s.tags[b.Upstream]
	if up == nil || !e.servesEstablished(up) || e.bindingStale(up, b) {
		return nil, model.ReasonBindingMoved
	}
	return up, model.ReasonNone
}

// servesEstablished reports whether the upstream still gets packets of established flows.
func (e *Engine) servesEstablished(up *upstream) bool {
	return !up.out && e.upstreams[up.cfg.ID] == up
}

// bindingStale reports whether the upstream has restarted since the binding was issued.
func (e *Engine) bindingStale(up *upstream, b bind.Binding) bool {
	if up.boot == 0 || b.Boot == uint32(up.boot) {
		return false
	}
	issued := int64(b.Expiry) - int64(e.doc.Timing.StreamLife.Seconds())
	if b.Boot == 0 {
		return up.restartedAt != 0 && e.unixTime(up.restartedAt) > issued
	}
	return e.unixTime(up.bootObservedAt) > issued
}

// relay forwards a packet if the upstream's boot is confirmed. Otherwise the packet goes to the upstream's primary, which forwards one packet
// per lease as a probe and parks the others.
func (e *Engine) relay(now model.Instant, p *model.Packet, up *upstream) {
	if !up.unconfirmed(now, e.doc.Timing.WarmLease) {
		e.forward(p, up)
		return
	}
	if e.handOffToPrimary(p, up) {
		return
	}
	if now.Sub(up.probedAt) >= e.doc.Timing.WarmLease || up.probedAt == 0 {
		up.probedAt = max(now, 1)
		e.forward(p, up)
		return
	}
	e.park(p, up)
}

// park holds a packet until an answer or a peer confirms the upstream's boot; it drops the packet if too many are parked.
func (e *Engine) park(p *model.Packet, up *upstream) {
	if up.parked.Len() >= parkLimit {
		e.drop(p, model.ReasonUpstreamSilent)
		return
	}
	up.parked.Push(p)
}

// handOffToPrimary hands a packet off to the upstream's primary; it reports false if there is none, if it is this instance or if the
// packet has reached its hop limit.
func (e *Engine) handOffToPrimary(p *model.Packet, up *upstream) bool {
	primary := up.allocation.Primary()
	limit := uint8(model.MaxHops)
	if p.Class == model.ClassFlow {
		limit = flowPrimaryMaxHops
	}
	if primary == e.cfg.Self.ID || primary == "" || p.Hops >= limit {
		return false
	}
	p.Upstream = up.cfg.ID
	e.handOff(p, primary, model.ReasonUpstreamSilent)
	return true
}

// unpark processes the parked packets of an upstream again.
func (e *Engine) unpark(now model.Instant, up *upstream) {
	for n := up.parked.Len(); n > 0; n-- {
		e.reprocess(now, up.service, up.parked.Pop())
	}
}

// reprocess handles a packet that was parked.
func (e *Engine) reprocess(now model.Instant, s *service, p *model.Packet) {
	if p.Class == model.ClassFlow {
		e.flowPacket(now, s, p)
		return
	}
	e.stickyPacket(now, s, p)
}

func (e *Engine) recordStream(now model.Instant, key model.ExchangeKey, up *upstream, binding []byte) {
	st := stream{up: up}
	copy(st.binding[:], binding)
	old := e.streams.Peek(key)
	if old != nil {
		old.up.streams--
	}
	if !e.streams.Put(now, key, st) {
		e.countReason(model.ReasonFlowLimit)
		return
	}
	up.streams++
}

// challengeStream assigns a new stream to an upstream and answers with its binding, or hands the packet off to an owner of slots.
func (e *Engine) challengeStream(now model.Instant, s *service, p *model.Packet, reason model.Reason) {
	up := e.placeStream(now, s)
	if up == nil {
		if !e.handOffToOwner(now, s, p) {
			e.refuse(p, model.ReasonNoUpstream)
		}
		return
	}
	up.openedStreams.add(now, s.cfg.RefreshInterval)
	up.coldStreams++
	e.challenge(p, reason, bind.Binding{
		Use:      bind.UseStream,
		Upstream: up.cfg.ID.Tag(),
		Boot:     uint32(up.boot),
		Issuer:   e.cfg.Self.Tag(),
		Expiry:   e.expiry(now, e.doc.Timing.StreamLife),
	})
}

// placeStream picks the upstream with more free capacity of two random ones, preferably in this instance's failure domain; nil if none has
// room.
func (e *Engine) placeStream(now model.Instant, s *service) *upstream {
	lease, instances := e.doc.Timing.WarmLease, len(e.homes)
	var local, remote []streamCandidate
	for _, up := range s.upstreams {
		room := up.streamRoom(now, lease, instances)
		if room <= 0 {
			continue
		}
		r := streamCandidate{up: up, room: float64(room) / float64(up.cfg.Connections)}
		if up.cfg.Domain == e.cfg.Self.Domain {
			local = append(local, r)
		} else {
			remote = append(remote, r)
		}
	}
	if len(local) == 0 {
		local = remote
	}
	if len(local) == 0 {
		return nil
	}
	policy := choose.TwoChoices[streamCandidate]{Score: func(r streamCandidate) float64 { return -r.room }}
	return local[policy.Pick(local, e.rng)].up
}

// streamCandidate is an upstream that can accept one more stream.
type streamCandidate struct {
	up *upstream
	// room is the free fraction of the upstream's connections.
	room float64
}
