// Package bind issues and verifies bindings: short signed statements that tie a caller to an upstream or an issuer.
package bind

import (
	"crypto/hmac"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/binary"
	"errors"
	"hash"

	"hawthorncourse/internal/core/model"
)

// Size is the length of an encoded binding in bytes, the most that an Echo option holds.
const Size = 40

const (
	bodySize = 26
	macSize  = Size - bodySize
	format   = 1
)

// Use is what a binding permits.
type Use uint8

// The uses of bindings.
const (
	// UseStream permits a flow to its upstream through any instance.
	UseStream Use = iota + 1
	// UseOnce permits one request through its issuer alone.
	UseOnce
)

// The errors of Open.
var (
	ErrForged     = errors.New("binding is not ours or not for this caller and service")
	ErrUnknownKey = errors.New("binding key is not known here")
	// ErrKeyAhead means that others have a newer key than any known here.
	ErrKeyAhead = errors.New("binding key is not known here yet")
)

// Binding is the content of a binding.
type Binding struct {
	Use   Use
	Epoch model.Epoch
	// Upstream is zero for UseOnce: the issuer chooses when it forwards.
	Upstream model.UpstreamTag
	// Boot is the low half of the upstream's boot identity.
	Boot   uint32
	Issuer model.IssuerTag
	// Serial tells the bindings of one issuer apart.
	Serial uint64
	// Expiry is in seconds since 1970.
	Expiry uint32
}

// Key is the secret of one epoch.
type Key struct {
	Epoch  model.Epoch
	Secret [32]byte
}

// Keys holds the valid keys, the newest first; at most two are valid at a time.
type Keys struct {
	Version model.Version
	List    []Key
}

// Sealer issues and verifies bindings; it is not safe for concurrent use.
type Sealer struct {
	version model.Version
	macs    []keyed
	sum     [sha256.Size]byte
	scope   [36 + bodySize]byte
}

type keyed struct {
	epoch model.Epoch
	mac   hash.Hash
}

// SetKeys replaces the keys unless they are older than those in use.
func (s *Sealer) SetKeys(keys Keys) {
	if keys.Version <= s.version {
		return
	}
	s.version = keys.Version
	s.macs = s.macs[:0]
	for _, k := range keys.List {
		s.macs = append(s.macs, keyed{epoch: k.Epoch, mac: hmac.New(sha256.New, k.Secret[:])})
	}
}

// Newest returns the newest epoch, or zero while there are no keys.
func (s *Sealer) Newest() model.Epoch {
	if len(s.macs) == 0 {
		return 0
	}
	return s.macs[0].epoch
}

// Seal returns the encoded binding for the flow under the newest key; ok is false while there are no keys.
func (s *Sealer) Seal(flow model.FlowKey, b Binding) (raw []byte, ok bool) {
	if len(s.macs) == 0 {
		return nil, false
	}
	b.Epoch = s.macs[0].epoch
	raw = make([]byte, Size)
	encode(raw, b)
	copy(raw[bodySize:], s.sign(s.macs[0].mac, flow, raw[:bodySize]))
	return raw, true
}

// Open verifies raw for the flow and returns its content; the expiry is the caller's to judge.
func (s *Sealer) Open(flow model.FlowKey, raw []byte) (Binding, error) {
	if len(raw) != Size || raw[0]>>4 != format {
		return Binding{}, ErrForged
	}
	b := decode(raw)
	for _, k := range s.macs {
		if byte(k.epoch) != raw[bodySize-1] {
			continue
		}
		if subtle.ConstantTimeCompare(raw[bodySize:], s.sign(k.mac, flow, raw[:bodySize])) != 1 {
			return Binding{}, ErrForged
		}
		b.Epoch = k.epoch
		return b, nil
	}
	if len(s.macs) > 0 && int8(raw[bodySize-1]-byte(s.macs[0].epoch)) > 0 {
		return Binding{}, ErrKeyAhead
	}
	return Binding{}, ErrUnknownKey
}

func (s *Sealer) sign(mac hash.Hash, flow model.FlowKey, body []byte) []byte {
	caller, service := flow.Caller.Addr().As16(), flow.Service.Addr().As16()
	copy(s.scope[:16], caller[:])
	copy(s.scope[16:32], service[:])
	binary.BigEndian.PutUint16(s.scope[32:], flow.Caller.Port())
	binary.BigEndian.PutUint16(s.scope[34:], flow.Service.Port())
	copy(s.scope[36:], body)
	mac.Reset()
	mac.Write(s.scope[:])
	return mac.Sum(s.sum[:0])[:macSize]
}

func encode(raw []byte, b Binding) {
	raw[0] = format<<4 | byte(b.Use)
	put48(raw[1:], uint64(b.Issuer))
	put48(raw[7:], b.Serial)
	binary.BigEndian.PutUint32(raw[13:], uint32(b.Upstream))
	binary.BigEndian.PutUint32(raw[17:], b.Boot)
	binary.BigEndian.PutUint32(raw[21:], b.Expiry)
	raw[bodySize-1] = byte(b.Epoch)
}

func decode(raw []byte) Binding {
	return Binding{
		Use:      Use(raw[0] & 0x0f),
		Issuer:   model.IssuerTag(get48(raw[1:])),
		Serial:   get48(raw[7:]),
		Upstream: model.UpstreamTag(binary.BigEndian.Uint32(raw[13:])),
		Boot:     binary.BigEndian.Uint32(raw[17:]),
		Expiry:   binary.BigEndian.Uint32(raw[21:]),
	}
}

func put48(b []byte, v uint64) {
	binary.BigEndian.PutUint16(b, uint16(v>>32))
	binary.BigEndian.PutUint32(b[2:], uint32(v))
}

func get48(b []byte) uint64 {
	return uint64(binary.BigEndian.Uint16(b))<<32 | uint64(binary.BigEndian.Uint32(b[2:]))
}
