package caller

import (
	"context"
	"encoding/binary"
	"net"
	"net/netip"
	"time"
)

const (
	bootSize       = 8
	flowBufferSize = 2048
)

// FlowReport is what happened to one opaque flow.
type FlowReport struct {
	Sent, Replies int
	// UpstreamChanges counts answers of another upstream than the first.
	UpstreamChanges int
	// Misdelivered counts answers to other callers' datagrams.
	Misdelivered int
	// LastReply is when the last answer came.
	LastReply time.Time
}

// RunFlow sends numbered datagrams from one address until ctx ends and reports who answered.
func RunFlow(ctx context.Context, local netip.Addr, service netip.AddrPort, interval time.Duration, flowID uint32) (r FlowReport, err error) {
	conn, err := net.DialUDP("udp", net.UDPAddrFromAddrPort(netip.AddrPortFrom(local, 0)), net.UDPAddrFromAddrPort(service))
	if err != nil {
		return r, err
	}
	defer conn.Close()
	var lastBoot uint64
	buf := make([]byte, flowBufferSize)
	for ctx.Err() == nil {
		next := time.Now().Add(interval)
		r.Sent++
		payload := binary.BigEndian.AppendUint32(nil, flowID)
		_, _ = conn.Write(binary.BigEndian.AppendUint32(payload, uint32(r.Sent)))
		_ = conn.SetReadDeadline(next)
		for {
			n, err := conn.Read(buf)
			if err != nil {
				break
			}
			r.handleReply(buf[:n], flowID, &lastBoot)
		}
		time.Sleep(time.Until(next))
	}
	return r, nil
}

// handleReply checks one answer: the start of its upstream, then the caller's own bytes.
func (r *FlowReport) handleReply(raw []byte, flowID uint32, lastBoot *uint64) {
	if len(raw) < bootSize+4 || binary.BigEndian.Uint32(raw[bootSize:]) != flowID {
		r.Misdelivered++
		return
	}
	r.Replies++
	r.LastReply = time.Now()
	boot := binary.BigEndian.Uint64(raw)
	if *lastBoot != 0 && *lastBoot != boot {
		r.UpstreamChanges++
	}
	*lastBoot = boot
}
