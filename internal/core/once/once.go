// Package once remembers what an issuer did with each request that must run at most once.
package once

import "hawthorncourse/internal/core/model"

// State is how far a request has come.
type State uint8

// The states of requests.
const (
	// StateNew has not been forwarded.
	StateNew State = iota + 1
	// StateRunning has been forwarded and not answered.
	StateRunning
	// StateAnswered keeps the upstream's answer.
	StateAnswered
	// StateRefused was never run and will never be forwarded.
	StateRefused
	// StateUnknown was forwarded and its answer was not seen in time.
	StateUnknown
)

// Key names one request, or one part of a transfer in parts, under one binding.
type Key struct {
	Serial uint64
	Block  uint32
}

// Entry is what is remembered of one request.
type Entry struct {
	Key   Key
	State State
	// Digest is that of the first copy; other content is another request.
	Digest uint64
	// Answer is set in StateAnswered.
	Answer []byte
	// Waiter is the newest copy of the request, to which the answer goes.
	Waiter *model.Packet
	// Tried holds the upstreams that had the request; none gets it twice.
	Tried []model.UpstreamID
	// expiry is when no copy can be valid any more.
	expiry model.Instant
}

// Ledger holds the entries of one issuer.
type Ledger struct {
	entries map[Key]*Entry
	// order holds the entries by expiry.
	order []*Entry
}

// NewLedger returns an empty ledger.
func NewLedger() *Ledger {
	return &Ledger{entries: map[Key]*Entry{}}
}

// Find returns the entry of the key, or nil.
func (l *Ledger) Find(key Key) *Entry {
	return l.entries[key]
}

// Open adds an entry in StateNew that is kept until expiry; expiries must not fall from call to call.
func (l *Ledger) Open(key Key, p *model.Packet, expiry model.Instant) *Entry {
	e := &Entry{Key: key, State: StateNew, Digest: p.Digest, Waiter: p, expiry: expiry}
	l.entries[key] = e
	l.order = append(l.order, e)
	return e
}

// Expire forgets the entries whose time has passed.
func (l *Ledger) Expire(now model.Instant) {
	n := 0
	for n < len(l.order) && l.order[n].expiry <= now {
		delete(l.entries, l.order[n].Key)
		l.order[n] = nil
		n++
	}
	l.order = l.order[n:]
}

// Len returns the number of entries.
func (l *Ledger) Len() int {
	return len(l.entries)
}

// Had reports whether the upstream had the request before.
func (e *Entry) Had(id model.UpstreamID) bool {
	for _, tried := range e.Tried {
		if tried == id {
			return true
		}
	}
	return false
}
