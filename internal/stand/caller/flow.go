package caller

import (
	"context"
	"encoding/binary"
	"net"
	"net/netip"
	"time"
)

const (
	// bootSize is the size of the upstream's boot ID at the start of each reply, in bytes.
	bootSize       = 8
	flowBufferSize = 2048
)

// FlowReport holds the results of one opaque flow.
type FlowReport struct {
	// Sent counts the datagrams sent, and Replies the replies to them.
	Sent, Replies int
	// UpstreamChanges counts replies whose boot ID differs from that of the reply before: they came from another upstream, or from the same
	// one after a restart.
	UpstreamChanges int
	// Misdelivered counts datagrams that are not replies to this flow.
	Misdelivered int
	// LastReply is when the last reply arrived.
	LastReply time.Time
}

// RunFlow sends a datagram to the service at every interval until ctx ends, all from one socket, and checks the replies. Each datagram holds the
// flow ID, which must be unique among flows, and its sequence number.
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

// handleReply checks one reply, which holds the boot ID of its upstream and the datagram that it echoes.
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
