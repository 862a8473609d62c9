package caller

import (
	"context"
	"encoding/binary"
	"net"
	"net/netip"
	"time"
)

const (
	bootSize  = 8
	flowFrame = 2048
)

// FlowReport is what happened to one opaque flow.
type FlowReport struct {
	Sent, Answered int
	// Moves counts answers of another upstream than the first.
	Moves int
	// Foreign counts answers to other callers' datagrams.
	Foreign int
	// LastAnswer is when the last answer came.
	LastAnswer time.Time
}

// Flow sends numbered datagrams from one address until ctx ends and reports who answered.
func Flow(ctx context.Context, local netip.Addr, service netip.AddrPort, every time.Duration, mark uint32) (r FlowReport, err error) {
	conn, err := net.DialUDP("udp", net.UDPAddrFromAddrPort(netip.AddrPortFrom(local, 0)), net.UDPAddrFromAddrPort(service))
	if err != nil {
		return r, err
	}
	defer conn.Close()
	var boot uint64
	buf := make([]byte, flowFrame)
	for ctx.Err() == nil {
		next := time.Now().Add(every)
		r.Sent++
		payload := binary.BigEndian.AppendUint32(nil, mark)
		_, _ = conn.Write(binary.BigEndian.AppendUint32(payload, uint32(r.Sent)))
		_ = conn.SetReadDeadline(next)
		for {
			n, err := conn.Read(buf)
			if err != nil {
				break
			}
			r.take(buf[:n], mark, &boot)
		}
		time.Sleep(time.Until(next))
	}
	return r, nil
}

// take checks one answer: the start of its upstream, then the caller's own bytes.
func (r *FlowReport) take(raw []byte, mark uint32, boot *uint64) {
	if len(raw) < bootSize+4 || binary.BigEndian.Uint32(raw[bootSize:]) != mark {
		r.Foreign++
		return
	}
	r.Answered++
	r.LastAnswer = time.Now()
	from := binary.BigEndian.Uint64(raw)
	if *boot != 0 && *boot != from {
		r.Moves++
	}
	*boot = from
}
