// Package bind issues and verifies bindings: short authenticated tokens that tie a caller's flow to an upstream or to the issuing instance.
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

// Size is the length of an encoded binding in bytes, the maximum length of a CoAP Echo option.
const Size = 40

const (
	bodySize      = 26
	macSize       = Size - bodySize
	formatVersion = 1
)

// Use is what a binding permits.
type Use uint8

// The uses of bindings.
const (
	// UseStream permits a stream to its upstream through any instance.
	UseStream Use = iota + 1
	// UseOnce permits one request through its issuer only.
	UseOnce
)

// The errors of Verify.
var (
	ErrForged     = errors.New("binding is malformed, forged or issued for another caller or service")
	ErrUnknownKey = errors.New("binding key is unknown or no longer valid")
	// ErrNewerKey means that the binding was signed with a key that is newer than all keys of this Signer.
	ErrNewerKey = errors.New("binding key is newer than all known keys")
)

// Binding is the content of an encoded binding.
type Binding struct {
	Use   Use
	Epoch model.Epoch
	// Upstream is zero for UseOnce: the issuer selects an upstream when it forwards the request.
	Upstream model.UpstreamTag
	// Boot is the low 32 bits of the upstream's boot ID.
	Boot   uint32
	Issuer model.IssuerTag
	// Serial is unique among the bindings of one issuer.
	Serial uint64
	// Expiry is in seconds since 1970.
	Expiry uint32
}

// Key is the signing secret of one epoch.
type Key struct {
	Epoch  model.Epoch
	Secret [32]byte
}

// Keys holds the valid keys, newest first; at most two are valid at the same time.
type Keys struct {
	// Era is the era of the store in which Version was read.
	Era     model.Era
	Version model.Version
	List    []Key
}

// At returns the state of the store in which the keys were written, as seen in their era.
func (k Keys) At() model.Position {
	return model.Position{Era: k.Era, Revision: model.Revision(k.Version)}
}

// DerivesFrom reports whether k came from other by rotation, by any number of steps. Each rotation raises the epoch of the newest key.
func (k Keys) DerivesFrom(other Keys) bool {
	return len(k.List) > 0 && len(other.List) > 0 && k.List[0].Epoch > other.List[0].Epoch
}

// Signer signs and verifies bindings. It is not safe for concurrent use.
type Signer struct {
	// at is where the keys in use were written; the zero value without keys.
	at   model.Position
	macs []epochMAC
	// macBuffer and signedData are reused from call to call.
	macBuffer [sha256.Size]byte
	// signedData is the input of the MAC: the addresses and ports of caller and service, then the body of the binding.
	signedData [36 + bodySize]byte
}

type epochMAC struct {
	epoch model.Epoch
	mac   hash.Hash
}

// SetKeys replaces the keys; keys that are not newer than those in use are ignored.
func (s *Signer) SetKeys(keys Keys) {
	if keys.At().Compare(s.at) <= 0 {
		return
	}
	s.at = keys.At()
	s.macs = s.macs[:0]
	for _, k := range keys.List {
		s.macs = append(s.macs, epochMAC{epoch: k.Epoch, mac: hmac.New(sha256.New, k.Secret[:])})
	}
}

// NewestEpoch returns the epoch of the newest key, or zero if there are no keys.
func (s *Signer) NewestEpoch() model.Epoch {
	if len(s.macs) == 0 {
		return 0
	}
	return s.macs[0].epoch
}

// Sign encodes the binding for the flow and signs it with the newest key; ok is false if there are no keys.
func (s *Signer) Sign(flow model.FlowKey, b Binding) (raw []byte, ok bool) {
	if len(s.macs) == 0 {
		return nil, false
	}
	b.Epoch = s.macs[0].epoch
	raw = make([]byte, Size)
	encode(raw, b)
	copy(raw[bodySize:], s.computeMAC(s.macs[0].mac, flow, raw[:bodySize]))
	return raw, true
}

// Verify checks that raw was issued for the flow and returns its content. It does not check the expiry. It returns ErrForged, ErrUnknownKey or
// ErrNewerKey.
func (s *Signer) Verify(flow model.FlowKey, raw []byte) (Binding, error) {
	if len(raw) != Size || raw[0]>>4 != formatVersion {
		return Binding{}, ErrForged
	}
	b := decode(raw)
	for _, k := range s.macs {
		if byte(k.epoch) != raw[bodySize-1] {
			continue
		}
		if subtle.ConstantTimeCompare(raw[bodySize:], s.computeMAC(k.mac, flow, raw[:bodySize])) != 1 {
			return Binding{}, ErrForged
		}
		b.Epoch = k.epoch
		return b, nil
	}
	if len(s.macs) > 0 && int8(raw[bodySize-1]-byte(s.macs[0].epoch)) > 0 {
		return Binding{}, ErrNewerKey
	}
	return Binding{}, ErrUnknownKey
}

func (s *Signer) computeMAC(mac hash.Hash, flow model.FlowKey, body []byte) []byte {
	caller, service := flow.Caller.Addr().As16(), flow.Service.Addr().As16()
	copy(s.signedData[:16], caller[:])
	copy(s.signedData[16:32], service[:])
	binary.BigEndian.PutUint16(s.signedData[32:], flow.Caller.Port())
	binary.BigEndian.PutUint16(s.signedData[34:], flow.Service.Port())
	copy(s.signedData[36:], body)
	mac.Reset()
	mac.Write(s.signedData[:])
	return mac.Sum(s.macBuffer[:0])[:macSize]
}

func encode(raw []byte, b Binding) {
	raw[0] = formatVersion<<4 | byte(b.Use)
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
