package entry

import (
	"context"
	"errors"
	"net"
	"net/netip"

	"hawthorncourse/internal/core/model"
	"hawthorncourse/internal/wire/coap"
	"hawthorncourse/internal/wire/dgram"
	"hawthorncourse/internal/wire/frame"
)

const maxDatagram = 64 << 10

// readFront takes callers' packets from the fabric.
func (e *Entry) readFront(ctx context.Context) error {
	return e.read(ctx, e.front, func(f frame.Frame, _ netip.AddrPort) {
		f.Hops, f.Upstream = 0, ""
		e.takePacket(f)
	})
}

// readBack takes answers from upstreams.
func (e *Entry) readBack(ctx context.Context) error {
	return e.read(ctx, e.back, func(f frame.Frame, from netip.AddrPort) {
		e.takeAnswer(f, from, false)
	})
}

// readHand takes packets and answers from peers.
func (e *Entry) readHand(ctx context.Context) error {
	return e.read(ctx, e.hand, func(f frame.Frame, _ netip.AddrPort) {
		if f.From.IsValid() {
			e.takeAnswer(f, f.From, true)
			return
		}
		f.Hops = max(f.Hops, 1)
		e.takePacket(f)
	})
}

func (e *Entry) read(ctx context.Context, conn *net.UDPConn, take func(frame.Frame, netip.AddrPort)) error {
	buf := make([]byte, maxDatagram)
	for {
		n, from, err := conn.ReadFromUDPAddrPort(buf)
		if ctx.Err() != nil || errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			e.counts.Counter("entry.read_failed").Inc(1)
			continue
		}
		raw := make([]byte, n)
		copy(raw, buf[:n])
		f, err := frame.Parse(raw)
		if err != nil {
			e.tally.drop(model.ReasonMalformed)
			continue
		}
		take(f, netip.AddrPortFrom(from.Addr().Unmap(), from.Port()))
	}
}

// takePacket classifies a caller's packet and passes it to the decide duty.
func (e *Entry) takePacket(f frame.Frame) {
	flow := model.FlowKey{Caller: f.Source, Service: f.Dest}
	p, err := e.classify(flow, f.Payload)
	if err != nil {
		e.tally.drop(model.ReasonMalformed)
		return
	}
	p.Hops, p.Upstream = f.Hops, f.Upstream
	if !e.packets.Offer(p) {
		e.tally.drop(model.ReasonRingFull)
	}
}

func (e *Entry) classify(flow model.FlowKey, raw []byte) (model.Packet, error) {
	if kinds := e.services.Load(); kinds != nil && (*kinds)[flow.Service] == model.KindDatagram {
		return dgram.ParsePacket(flow, raw), nil
	}
	return coap.ParsePacket(flow, raw)
}

// takeAnswer classifies an upstream's datagram and passes it to the decide duty.
func (e *Entry) takeAnswer(f frame.Frame, from netip.AddrPort, home bool) {
	flow := model.FlowKey{Caller: f.Dest, Service: f.Source}
	a, err := e.classifyAnswer(flow, f.Payload)
	if err != nil {
		e.tally.drop(model.ReasonMalformed)
		return
	}
	a.From, a.Boot, a.HandedOff = from, f.Boot, home
	if !e.answers.Offer(a) {
		e.tally.drop(model.ReasonRingFull)
	}
}

func (e *Entry) classifyAnswer(flow model.FlowKey, raw []byte) (model.Answer, error) {
	if kinds := e.services.Load(); kinds != nil && (*kinds)[flow.Service] == model.KindDatagram {
		return dgram.ParseAnswer(flow, raw), nil
	}
	return coap.ParseAnswer(flow, raw)
}

// send is the duty that writes datagrams.
func (e *Entry) send(ctx context.Context) error {
	for {
		d, ok := e.out.Take(ctx)
		if !ok {
			return nil
		}
		if _, err := d.conn.WriteToUDPAddrPort(d.raw, d.to); err != nil && ctx.Err() == nil {
			e.tally.drop(model.ReasonSendFailed)
		}
	}
}
