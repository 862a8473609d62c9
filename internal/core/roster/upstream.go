package roster

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"

	"hawthorncourse/internal/core/health"
	"hawthorncourse/internal/core/model"
	"hawthorncourse/internal/core/place"
)

// State is what is known of one start of an upstream.
type State uint8

// The states of upstreams.
const (
	// StateListed has an entry in the registry.
	StateListed State = iota + 1
	// StateMissing has lost its entry while the registry could not be trusted; it may still live.
	StateMissing
	// StateUnreadable has an entry that cannot be understood: open flows go on, new ones belong elsewhere.
	StateUnreadable
	// StateGone has ended for certain.
	StateGone
)

var stateNames = map[State]string{
	StateListed:     "listed",
	StateMissing:    "missing",
	StateUnreadable: "unreadable",
	StateGone:       "gone",
}

// String returns the state's name.
func (s State) String() string {
	return stateNames[s]
}

// Upstream is one start of one upstream.
type Upstream struct {
	model.Registration
	// Tag is never zero.
	Tag   model.RoutingTag
	State State
	// Since is when the state was taken up.
	Since model.Instant
	// ColdUntil is when the upstream is warm by its own word.
	ColdUntil model.Instant
	Load      place.Load
	Health    health.Tracker
	// replaced is set once a later start has its address.
	replaced bool
	// atService and atAll are its places in the roster's lists while it is current.
	atService, atAll int
}

// Cold reports whether the upstream bears only a few new flows.
func (u *Upstream) Cold(now model.Instant) bool {
	return now < u.ColdUntil
}

// tagOf names one start of an upstream: every instance finds the same tag without asking.
func tagOf(r *model.Registration) model.RoutingTag {
	var buf [24]byte
	binary.BigEndian.PutUint64(buf[:], uint64(r.Number))
	binary.BigEndian.PutUint64(buf[8:], uint64(r.Boot))
	binary.BigEndian.PutUint64(buf[16:], xxhash.Sum64String(string(r.Service)))
	sum := xxhash.Sum64(buf[:])
	return model.RoutingTag(max(uint32(sum>>32), 1))
}
