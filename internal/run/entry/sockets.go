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

// readFront reads callers' packets from the fabric and clears the header fields that only peers may set.
func (e *Entry) readFront(ctx context.Context) error {
	return e.read(ctx, e.front, func(f frame.Frame, _ netip.AddrPort) {
		f.Hops, f.Upstream = 0, ""
		e.enqueuePacket(f)
	})
}

// readBack reads answers from upstreams.
func (e *Entry) readBack(ctx context.Context) error {
	return e.read(ctx, e.back, func(f frame.Frame, from netip.AddrPort) {
		e.enqueueAnswer(f, from, false)
	})
}

// readHandOff reads packets and answers that peers hand off to this instance.
func (e *Entry) readHandOff(ctx context.Context) error {
	return e.read(ctx, e.handOff, func(f frame.Frame, _ netip.AddrPort) {
		if f.From.IsValid() {
			e.enqueueAnswer(f, f.From, true)
			return
		}
		f.Hops = max(f.Hops, 1)
		e.enqueuePacket(f)
	})
}

// read parses datagrams from conn until ctx is cancelled. Each frame gets its own copy of the datagram, as the buffer is reused.
func (e *Entry) read(ctx context.Context, conn *net.UDPConn, handle func(frame.Frame, netip.AddrPort)) error {
	buf := make([]byte, maxDatagram)
	for {
		n, from, err := conn.ReadFromUDPAddrPort(buf)
		if ctx.Err() != nil || errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			e.counts.Counter("entry.read_failed").Inc(1)
			sleep(ctx, ringRetryDelay)
			continue
		}
		raw := make([]byte, n)
		copy(raw, buf[:n])
		f, err := frame.Parse(raw)
		if err != nil {
			e.counters.drop(model.ReasonMalformed)
			continue
		}
		handle(f, netip.AddrPortFrom(from.Addr().Unmap(), from.Port()))
	}
}

// enqueuePacket classifies a caller's packet and queues it for the decision loop; it drops the packet if the queue is full.
func (e *Entry) enqueuePacket(f frame.Frame) {
	flow := model.FlowKey{Caller: f.Source, Service: f.Dest}
	p, err := e.classify(flow, f.Payload)
	if err != nil {
		e.counters.drop(model.ReasonMalformed)
		return
	}
	p.Hops, p.Upstream = f.Hops, f.Upstream
	if !e.packets.Offer(p) {
		e.counters.drop(model.ReasonRingFull)
	}
}

func (e *Entry) classify(flow model.FlowKey, raw []byte) (model.Packet, error) {
	if kinds := e.services.Load(); kinds != nil && (*kinds)[flow.Service] == model.KindDatagram {
		return dgram.ParsePacket(flow, raw), nil
	}
	return coap.ParsePacket(flow, raw)
}

// enqueueAnswer classifies an upstream's datagram and queues it for the decision loop; it drops the datagram if the queue is full. handedOff
// is set if the datagram was handed off by a peer.
func (e *Entry) enqueueAnswer(f frame.Frame, from netip.AddrPort, handedOff bool) {
	flow := model.FlowKey{Caller: f.Dest, Service: f.Source}
	a, err := e.classifyAnswer(flow, f.Payload)
	if err != nil {
		e.counters.drop(model.ReasonMalformed)
		return
	}
	a.From, a.Boot, a.HandedOff = from, f.Boot, handedOff
	if !e.answers.Offer(a) {
		e.counters.drop(model.ReasonRingFull)
	}
}

func (e *Entry) classifyAnswer(flow model.FlowKey, raw []byte) (model.Answer, error) {
	if kinds := e.services.Load(); kinds != nil && (*kinds)[flow.Service] == model.KindDatagram {
		return dgram.ParseAnswer(flow, raw), nil
	}
	return coap.ParseAnswer(flow, raw)
}

// send writes the queued datagrams.
func (e *Entry) send(ctx context.Context) error {
	for {
		d, ok := e.out.Take(ctx)
		if !ok {
			return nil
		}
		if _, err := d.conn.WriteToUDPAddrPort(d.raw, d.to); err != nil && ctx.Err() == nil {
			e.counters.drop(model.ReasonSendFailed)
		}
	}
}
