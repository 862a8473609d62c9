package relay

import (
	"context"
	"errors"
	"net"
	"net/netip"
	"time"

	"hawthorncourse/internal/core/direct"
	"hawthorncourse/internal/core/model"
	"hawthorncourse/internal/peer/share"
)

const (
	// tickInterval bounds how late the expiry of flows, tags and suspicions is noticed; a shorter interval costs processor time.
	tickInterval = 100 * time.Millisecond
	// ringRetryDelay is how long a goroutine waits before it retries a full queue.
	ringRetryDelay = 5 * time.Millisecond
	// maxDatagram exceeds the largest packet of any codec, in bytes.
	maxDatagram = 2048
)

// read parses packets from the socket and queues them for the decision loop.
func (r *Relay) read(ctx context.Context) error {
	buf := make([]byte, maxDatagram)
	for {
		n, _, err := r.packets.ReadFromUDPAddrPort(buf)
		switch {
		case ctx.Err() != nil:
			return nil
		case errors.Is(err, net.ErrClosed):
			return err
		case err != nil:
			// The error concerns one packet only: an open socket can still receive the next.
			r.counters.drop(model.ReasonReceiveFailed)
			sleep(ctx, ringRetryDelay)
			continue
		}
		r.receivedBytes.Add(int64(n) + datagramOverhead)
		seg, err := r.cfg.Codec.Parse(append([]byte(nil), buf[:n]...))
		if err != nil {
			r.counters.drop(model.ReasonMalformed)
			continue
		}
		seg.Arrived = r.now()
		if !r.segments.Offer(seg) {
			r.counters.drop(model.ReasonRingFull)
		}
	}
}

// decide is the decision loop, the only goroutine that uses the engine. It handles packets, commands and timers in turn.
func (r *Relay) decide(ctx context.Context) error {
	timer := time.NewTimer(tickInterval)
	defer timer.Stop()
	// tickAt is when the engine's next tick is due at the latest, however many packets and commands come before.
	tickAt := r.now().Add(tickInterval)
	r.stall.expect(r.now(), tickInterval)
	for {
		select {
		case seg := <-r.segments.Items():
			r.handleStall()
			r.handlePacket(ctx, &seg)
			r.transmitQueued(r.now())
			if r.segments.Len() > 0 {
				// Queued answers are handled before the timers that would count them as missing.
				continue
			}
		case c := <-r.commands.Items():
			r.handleStall()
			c(r.now())
		case <-timer.C:
			r.handleStall()
			now := r.now()
			r.updateClock(now)
			r.act(ctx, now, r.engine.Tick(now))
			r.logOmitted(now)
			r.recordSamples()
			r.updateGauges(now)
			tickAt = now.Add(tickInterval)
		case <-ctx.Done():
			return nil
		}
		r.handleStall()
		r.transmitQueued(r.now())
		r.logEvents(r.now())
		r.collectSuspicions()
		wait := r.untilTick(tickAt)
		r.stall.expect(r.now(), wait)
		timer.Reset(wait)
	}
}

// handleStall acts on a stall of the process that has just ended, before anything is decided. After one longer than share.CallMargin it discards the
// ordinal, as it may have been assigned to another instance. SYNs that were queued meanwhile get no leases.
func (r *Relay) handleStall() {
	now := r.now()
	delay := r.stall.wake(now)
	if delay > 0 {
		r.checkClock(now)
	}
	if delay > maxQueueTime {
		// What is queued came before the end of the stall.
		r.engine.WithholdLeases(now.Add(staleDrainTime))
	}
	if delay > share.CallMargin {
		r.engine.SetOrdinal(model.Ordinal{}, 0)
	}
	if delay > staleThreshold {
		r.discardQueued()
	}
}

// untilTick returns the time to the engine's next deadline or to the next queued datagram, at most that to tickAt.
func (r *Relay) untilTick(tickAt model.Instant) time.Duration {
	now := r.now()
	wait := max(tickAt.Sub(now), 0)
	if at, ok := r.engine.NextDeadline(); ok {
		wait = min(wait, max(at.Sub(now), 0))
	}
	if untilTransmit, ok := r.untilTransmit(now); ok {
		wait = min(wait, untilTransmit)
	}
	return wait
}

// handlePacket passes a packet to the engine, or drops it if it was queued during a long stall.
func (r *Relay) handlePacket(ctx context.Context, seg *model.Segment) {
	now := r.now()
	r.lastPacket.Store(int64(now))
	switch {
	case r.stall.stale(now):
		r.act(ctx, now, []direct.Action{{Verb: model.VerbDrop, Reason: model.ReasonStale, Flow: seg.Flow, Tag: seg.Tag}})
	case r.copyQueued(seg):
		r.act(ctx, now, []direct.Action{{Verb: model.VerbDrop, Reason: model.ReasonCopyQueued, Flow: seg.Flow, Tag: seg.Tag}})
	default:
		seg.Delay = now.Sub(seg.Arrived)
		r.act(ctx, now, r.engine.Packet(now, seg))
	}
}

// act carries out, counts and logs the engine's actions.
func (r *Relay) act(ctx context.Context, now model.Instant, actions []direct.Action) {
	for i := range actions {
		a := &actions[i]
		r.counters.count(a.Verb, a.Reason)
		if a.Unleased {
			r.counters.unleased.Inc(1)
		}
		r.record(now, a)
		switch a.Verb {
		case model.VerbForward:
			r.datagram = r.cfg.Codec.AppendForward(r.datagram[:0], a.Raw, a.Upstream.Number, a.Mark)
			r.transmit(now, a, a.Upstream.Address)
		case model.VerbReset:
			r.egress.Forget(a.Flow)
			r.datagram = r.cfg.Codec.AppendReset(r.datagram[:0], a.Flow, a.Seq)
			r.transmit(now, a, netip.AddrPortFrom(a.Flow.Caller.Addr(), r.cfg.Packets.Port()))
		case model.VerbProbe:
			r.probe(ctx, a.Upstream, a.Timeout)
		case model.VerbHold:
			if a.Reason == model.ReasonTagUnknown || a.Reason == model.ReasonRouteUnknown {
				r.requestRefresh()
			}
		}
	}
}

// requestRefresh asks the follow goroutine to refresh the snapshot early.
func (r *Relay) requestRefresh() {
	select {
	case r.refresh <- struct{}{}:
	default:
	}
}
