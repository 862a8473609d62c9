// Command standin3 plays a small deployment around real relay processes: the platform's store, its routers, requesters and endpoints.
package main

import (
	"encoding/binary"
	"hash/crc32"
	"net/netip"
)

// The layout and the flags of packets, as the platform's page gives them.
const (
	headSize = 31
	flagSyn  = 2
	flagAck  = 4
	flagFin  = 32
	flagRst  = 128
)

// packet is a packet between a requester and an endpoint.
type packet struct {
	flags    byte
	echo     uint32
	src, dst netip.AddrPort
	seq, ack uint32
	sum      uint32
	data     []byte
}

// flowKey names a flow by the requester's end and the address of the route.
type flowKey struct {
	requester, route netip.AddrPort
}

// encode returns the bytes of a packet. The sum covers everything except echo.
func (p *packet) encode() []byte {
	b := make([]byte, headSize, headSize+len(p.data))
	binary.BigEndian.PutUint16(b[0:], uint16(len(p.data)))
	b[6] = p.flags
	src, dst := p.src.Addr().As4(), p.dst.Addr().As4()
	copy(b[11:], src[:])
	copy(b[15:], dst[:])
	binary.BigEndian.PutUint16(b[19:], p.dst.Port())
	binary.BigEndian.PutUint16(b[21:], p.src.Port())
	binary.BigEndian.PutUint32(b[23:], p.seq)
	binary.BigEndian.PutUint32(b[27:], p.ack)
	b = append(b, p.data...)
	binary.BigEndian.PutUint32(b[2:], keyedSum(b))
	binary.BigEndian.PutUint32(b[7:], p.echo)
	return b
}

// keyedSum returns the sum of a packet whose echo and sum are zero. It is never zero.
func keyedSum(b []byte) uint32 {
	return max(crc32.Update(0x5eed1234, crc32.MakeTable(crc32.Castagnoli), b), 1)
}

// decode parses a packet. valid is false if its sum is not that of its sender; a reset of the system has the sum 0.
func decode(b []byte) (p packet, valid bool) {
	if len(b) < headSize || int(binary.BigEndian.Uint16(b)) != len(b)-headSize {
		return p, false
	}
	p = packet{
		flags: b[6], echo: binary.BigEndian.Uint32(b[7:]), sum: binary.BigEndian.Uint32(b[2:]),
		src: netip.AddrPortFrom(netip.AddrFrom4([4]byte(b[11:15])), binary.BigEndian.Uint16(b[21:])),
		dst: netip.AddrPortFrom(netip.AddrFrom4([4]byte(b[15:19])), binary.BigEndian.Uint16(b[19:])),
		seq: binary.BigEndian.Uint32(b[23:]), ack: binary.BigEndian.Uint32(b[27:]), data: append([]byte(nil), b[headSize:]...),
	}
	plain := append([]byte(nil), b...)
	clear(plain[2:6])
	clear(plain[7:11])
	return p, keyedSum(plain) == p.sum
}

func (p *packet) has(flag byte) bool { return p.flags&flag != 0 }
