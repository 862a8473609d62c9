// Package frame parses and formats datagrams with a PROXY protocol version 2 header, in which the network fabric, instances and upstreams
// exchange packets.
package frame

import (
	"encoding/binary"
	"net"
	"net/netip"

	"github.com/cespare/xxhash/v2"
	"github.com/pires/go-proxyproto"
	"github.com/rotisserie/eris"

	"hawthorncourse/internal/core/model"
)

// The types of the custom TLVs, by the fields of Frame that they carry, and the version of the protocol.
const (
	typeHops     = proxyproto.PP2_TYPE_MIN_CUSTOM
	typeFrom     = proxyproto.PP2_TYPE_MIN_CUSTOM + 1
	typeUpstream = proxyproto.PP2_TYPE_MIN_CUSTOM + 2

	version = 2
)

// The errors of Parse.
var (
	ErrAddresses = eris.New("header does not hold two valid UDP addresses")
	ErrCommand   = eris.New("header is not version 2 with the command PROXY")
	ErrTLV       = eris.New("header holds a malformed TLV")
)

// Frame is a datagram with the content of its header.
type Frame struct {
	// Source and Dest are the caller and the service, or the reverse for answers.
	Source, Dest netip.AddrPort
	// Boot identifies the run of the upstream that sent an answer, from the unique ID TLV; zero if absent.
	Boot model.BootID
	// Hops is the number of hand-offs of the packet between instances so far.
	Hops uint8
	// From is the address of the upstream that sent the answer, in answers that are handed off between instances; otherwise invalid.
	From netip.AddrPort
	// Upstream is the upstream that the sending instance has determined for the packet; empty if none.
	Upstream model.UpstreamID
	// Payload is the datagram after the header.
	Payload []byte
}

// Parse parses a datagram; the frame's payload references it.
func Parse(datagram []byte) (f Frame, err error) {
	defer func() {
		if err != nil {
			err = eris.Wrap(err, "frame: parse")
		}
	}()
	h, payload, err := proxyproto.ParseUDPDatagram(datagram)
	if err != nil {
		return Frame{}, err
	}
	if h.Version != version || !h.Command.IsProxy() {
		return Frame{}, ErrCommand
	}
	source, dest, ok := h.UDPAddrs()
	if !ok {
		return Frame{}, ErrAddresses
	}
	f = Frame{Source: unmap(source), Dest: unmap(dest), Payload: payload}
	if !f.Source.IsValid() || !f.Dest.IsValid() {
		return Frame{}, ErrAddresses
	}
	tlvs, err := h.TLVs()
	if err != nil {
		return Frame{}, err
	}
	for _, tlv := range tlvs {
		if err := f.readTLV(tlv); err != nil {
			return Frame{}, err
		}
	}
	return f, nil
}

func (f *Frame) readTLV(tlv proxyproto.TLV) error {
	switch tlv.Type {
	case proxyproto.PP2_TYPE_UNIQUE_ID:
		f.Boot = BootOf(tlv.Value)
	case typeHops:
		if len(tlv.Value) != 1 {
			return ErrTLV
		}
		f.Hops = tlv.Value[0]
	case typeUpstream:
		f.Upstream = model.UpstreamID(tlv.Value)
	case typeFrom:
		if err := f.From.UnmarshalBinary(tlv.Value); err != nil {
			return ErrTLV
		}
	}
	return nil
}

// BootOf returns the boot ID for the value of a unique ID TLV: its number if the value has eight bytes, otherwise a hash.
func BootOf(id []byte) model.BootID {
	if len(id) == 8 {
		return model.BootID(binary.BigEndian.Uint64(id))
	}
	return model.BootID(xxhash.Sum64(id))
}

// Format encodes the frame as a datagram.
func Format(f Frame) (datagram []byte, err error) {
	defer func() {
		if err != nil {
			err = eris.Wrap(err, "frame: format")
		}
	}()
	h := proxyproto.Header{
		Version:           version,
		Command:           proxyproto.PROXY,
		TransportProtocol: proxyproto.UDPv4,
		SourceAddr:        net.UDPAddrFromAddrPort(f.Source),
		DestinationAddr:   net.UDPAddrFromAddrPort(f.Dest),
	}
	if f.Source.Addr().Is6() {
		h.TransportProtocol = proxyproto.UDPv6
	}
	if tlvs := f.tlvs(); len(tlvs) > 0 {
		if err := h.SetTLVs(tlvs); err != nil {
			return nil, err
		}
	}
	return h.FormatUDPDatagram(f.Payload)
}

func (f *Frame) tlvs() []proxyproto.TLV {
	var tlvs []proxyproto.TLV
	if f.Boot != 0 {
		tlvs = append(tlvs, proxyproto.TLV{Type: proxyproto.PP2_TYPE_UNIQUE_ID, Value: binary.BigEndian.AppendUint64(nil, uint64(f.Boot))})
	}
	if f.Hops != 0 {
		tlvs = append(tlvs, proxyproto.TLV{Type: typeHops, Value: []byte{f.Hops}})
	}
	if f.Upstream != "" {
		tlvs = append(tlvs, proxyproto.TLV{Type: typeUpstream, Value: []byte(f.Upstream)})
	}
	if f.From.IsValid() {
		value, _ := f.From.MarshalBinary()
		tlvs = append(tlvs, proxyproto.TLV{Type: typeFrom, Value: value})
	}
	return tlvs
}

// unmap converts an address to its netip form, and an IPv4-mapped IPv6 address to IPv4.
func unmap(addr *net.UDPAddr) netip.AddrPort {
	ap := addr.AddrPort()
	return netip.AddrPortFrom(ap.Addr().Unmap(), ap.Port())
}
