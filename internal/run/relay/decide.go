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
	// tickInterval bounds how late lapsed entries are noticed; each wake-up costs processor time.
	tickInterval = 100 * time.Millisecond
	// ringPause is how long a duty waits for room in a full ring.
	ringPause = 5 * time.Millisecond
	// largestDatagram is above the largest packet of any codec, in bytes.
	largestDatagram = 2048
)

// read is the duty that takes packets from the socket.
func (r *Relay) read(ctx context.Context) error {
	buf := make([]byte, largestDatagram)
	for {
		n, _, err := r.packets.ReadFromUDPAddrPort(buf)
		switch {
		case ctx.Err() != nil:
			return nil
		case errors.Is(err, net.ErrClosed):
			return err
		case err != nil:
			// An open socket recovers: what one packet met says nothing of the next.
			r.tally.drop(model.ReasonReceiveFailed)
			sleep(ctx, ringPause)
			continue
		}
		seg, err := r.cfg.Codec.Parse(append([]byte(nil), buf[:n]...))
		if err != nil {
			r.tally.drop(model.ReasonMalformed)
			continue
		}
		if !r.arrived.Offer(seg) {
			r.tally.drop(model.ReasonRingFull)
		}
	}
}

// decide is the duty that drives the engine; nothing else touches it.
func (r *Relay) decide(ctx context.Context) error {
	timer := time.NewTimer(tickInterval)
	defer timer.Stop()
	r.stall.expect(r.now(), tickInterval)
	for {
		select {
		case seg := <-r.arrived.Items():
			r.packet(ctx, &seg)
			if r.arrived.Len() > 0 {
				// Answers that wait come before timers that would call them missing.
				continue
			}
		case c := <-r.commands.Items():
			c(r.now())
		case <-timer.C:
			now := r.now()
			r.stood(now, r.stall.woke(now))
			r.act(ctx, now, r.engine.Tick(now))
			r.summarise(now)
			r.measure()
			r.gauge(now)
		case <-ctx.Done():
			return nil
		}
		r.report(r.now())
		r.collectDoubts()
		wait := r.untilTick()
		r.stall.expect(r.now(), wait)
		timer.Reset(wait)
	}
}

// stood notes that the process stood still: silence meanwhile was its own, and others may have its number.
func (r *Relay) stood(now model.Instant, late time.Duration) {
	if late > 0 {
		r.stalled.Store(int64(now))
	}
	if late > share.CallMargin {
		r.engine.SetOrdinal(model.Ordinal{}, 0)
	}
}

// untilTick returns the time to the engine's next handshake timer, or to the next regular tick.
func (r *Relay) untilTick() time.Duration {
	at, ok := r.engine.NextDeadline()
	if !ok {
		return tickInterval
	}
	return min(max(at.Sub(r.now()), 0), tickInterval)
}

func (r *Relay) packet(ctx context.Context, seg *model.Segment) {
	now := r.now()
	r.lastPacket.Store(int64(now))
	if r.stall.stale(now) {
		r.act(ctx, now, []direct.Action{{Verb: model.VerbDrop, Reason: model.ReasonStale, Flow: seg.Flow, Tag: seg.Tag}})
		return
	}
	r.act(ctx, now, r.engine.Packet(now, seg))
}

// act carries out the engine's decisions.
func (r *Relay) act(ctx context.Context, now model.Instant, actions []direct.Action) {
	for i := range actions {
		a := &actions[i]
		r.tally.count(a.Verb, a.Reason)
		r.record(now, a)
		switch a.Verb {
		case model.VerbForward:
			r.datagram = r.cfg.Codec.AppendForward(r.datagram[:0], a.Raw, a.Upstream.Number, a.Upstream.Tag)
			r.send(a.Upstream.Address)
		case model.VerbReset:
			r.datagram = r.cfg.Codec.AppendReset(r.datagram[:0], a.Flow, a.Seq)
			r.send(netip.AddrPortFrom(a.Flow.Caller.Addr(), r.cfg.Packets.Port()))
		case model.VerbProbe:
			r.probe(ctx, a.Upstream, a.Timeout)
		default:
			if a.Reason == model.ReasonTagUnknown {
				r.askEarly()
			}
		}
	}
}

func (r *Relay) send(to netip.AddrPort) {
	if _, err := r.packets.WriteToUDPAddrPort(r.datagram, to); err != nil {
		r.tally.drop(model.ReasonSendFailed)
	}
}

// askEarly asks the follow duty to read before its time.
func (r *Relay) askEarly() {
	select {
	case r.nudge <- struct{}{}:
	default:
	}
}
