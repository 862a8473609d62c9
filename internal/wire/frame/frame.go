// Package frame reads and writes the PROXY protocol header that precedes each datagram.
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

const (
	typeHops = proxyproto.PP2_TYPE_MIN_CUSTOM
	typeFrom = proxyproto.PP2_TYPE_MIN_CUSTOM + 1
	typeTo   = proxyproto.PP2_TYPE_MIN_CUSTOM + 2

	version = 2
)

// The errors of Parse.
var (
	ErrAddresses = eris.New("header names no pair of UDP addresses")
	ErrCommand   = eris.New("header does not say PROXY")
	ErrTLV       = eris.New("header holds a bad field")
)

// Frame is one datagram with what its header says.
type Frame struct {
	// Source and Dest are the caller and the service, or the reverse for answers.
	Source, Dest netip.AddrPort
	// Boot is the upstream's start, from the unique-ID field; zero if absent.
	Boot model.BootID
	// Hops counts the instances that handed the packet on.
	Hops uint8
	// From is the upstream of an answer handed between instances; otherwise invalid.
	From netip.AddrPort
	// Upstream is the upstream that a peer found for the packet; empty for none.
	Upstream model.UpstreamID
	// Payload is the datagram behind the header.
	Payload []byte
}

// Parse splits a datagram into header and payload; the payload shares its memory.
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
	f = Frame{Source: clean(source), Dest: clean(dest), Payload: payload}
	if !f.Source.IsValid() || !f.Dest.IsValid() {
		return Frame{}, ErrAddresses
	}
	tlvs, err := h.TLVs()
	if err != nil {
		return Frame{}, err
	}
	for _, tlv := range tlvs {
		if err := f.read(tlv); err != nil {
			return Frame{}, err
		}
	}
	return f, nil
}

func (f *Frame) read(tlv proxyproto.TLV) error {
	switch tlv.Type {
	case proxyproto.PP2_TYPE_UNIQUE_ID:
		f.Boot = BootOf(tlv.Value)
	case typeHops:
		if len(tlv.Value) != 1 {
			return ErrTLV
		}
		f.Hops = tlv.Value[0]
	case typeTo:
		f.Upstream = model.UpstreamID(tlv.Value)
	case typeFrom:
		if err := f.From.UnmarshalBinary(tlv.Value); err != nil {
			return ErrTLV
		}
	}
	return nil
}

// BootOf returns the boot identity that an upstream's unique ID stands for.
func BootOf(id []byte) model.BootID {
	if len(id) == 8 {
		return model.BootID(binary.BigEndian.Uint64(id))
	}
	return model.BootID(xxhash.Sum64(id))
}

// Format returns the frame as one datagram.
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
		tlvs = append(tlvs, proxyproto.TLV{Type: typeTo, Value: []byte(f.Upstream)})
	}
	if f.From.IsValid() {
		value, _ := f.From.MarshalBinary()
		tlvs = append(tlvs, proxyproto.TLV{Type: typeFrom, Value: value})
	}
	return tlvs
}

func clean(addr *net.UDPAddr) netip.AddrPort {
	ap := addr.AddrPort()
	return netip.AddrPortFrom(ap.Addr().Unmap(), ap.Port())
}
