// Package once records the state of requests that must run at most once, at the instance that issued their bindings.
package once

import "hawthorncourse/internal/core/model"

// State is the progress of a request.
type State uint8

// The states of requests.
const (
	// StateNew means that the request has not been forwarded.
	StateNew State = iota + 1
	// StateRunning means that the request has been forwarded and not answered.
	StateRunning
	// StateAnswered means that Entry.Answer holds the upstream's answer.
	StateAnswered
	// StateRefused means that the request was not run and will never be forwarded.
	StateRefused
	// StateUnknown means that the request was forwarded and no answer arrived in time.
	StateUnknown
)

// Key identifies one request, or one block of a block-wise transfer, under one binding.
type Key struct {
	// Serial is that of the binding.
	Serial uint64
	// Block is the number of the block; zero for a request that is not block-wise.
	Block uint32
}

// Entry is the record of one request.
type Entry struct {
	Key   Key
	State State
	// Digest is the digest of the first copy; a copy with another digest is a different request.
	Digest uint64
	// Answer is the raw answer of the upstream; it is set in StateAnswered.
	Answer []byte
	// LatestCopy is the latest copy of the request, to which the answer is sent.
	LatestCopy *model.Packet
	// Tried holds the upstreams to which the request was forwarded; none gets it twice.
	Tried []model.UpstreamID
	// expiry is when the binding of every copy has expired.
	expiry model.Instant
}

// Ledger holds the records of one issuer.
type Ledger struct {
	entries map[Key]*Entry
	// byExpiry holds the entries in the order of their expiry.
	byExpiry []*Entry
}

// NewLedger returns an empty ledger.
func NewLedger() *Ledger {
	return &Ledger{entries: map[Key]*Entry{}}
}

// Find returns the entry for the key, or nil.
func (l *Ledger) Find(key Key) *Entry {
	return l.entries[key]
}

// Add creates an entry in StateNew that is kept until expiry. expiry must not decrease from one call to the next.
func (l *Ledger) Add(key Key, p *model.Packet, expiry model.Instant) *Entry {
	e := &Entry{Key: key, State: StateNew, Digest: p.Digest, LatestCopy: p, expiry: expiry}
	l.entries[key] = e
	l.byExpiry = append(l.byExpiry, e)
	return e
}

// Expire removes the entries whose expiry has passed.
func (l *Ledger) Expire(now model.Instant) {
	n := 0
	for n < len(l.byExpiry) && l.byExpiry[n].expiry <= now {
		delete(l.entries, l.byExpiry[n].Key)
		l.byExpiry[n] = nil
		n++
	}
	l.byExpiry = l.byExpiry[n:]
}

// Len returns the number of entries.
func (l *Ledger) Len() int {
	return len(l.entries)
}

// WasTried reports whether the request was forwarded to the upstream before.
func (e *Entry) WasTried(id model.UpstreamID) bool {
	for _, tried := range e.Tried {
		if tried == id {
			return true
		}
	}
	return false
}
