// Package clock bounds the time of a clock that all instances share. No instance sets the clock of another: each knows two values between which the shared
// time lies, from the calls that it makes to other instances.
package clock

import (
	"time"

	"hawthorncourse/internal/core/model"
)

const (
	// maxDrift is the most by which two clocks drift apart, if each is slewed by up to 500 ppm.
	maxDrift = 1001e-6
	// maxWidth is the widest reading with which an instance that follows no other goes on instead of beginning an epoch.
	maxWidth = 20 * time.Millisecond
	// settleTime is the age from which an epoch is used. Instances hear of it with their next poll, so that they change to it at about the same time.
	settleTime = 2 * time.Second
	// followTime is how long after its last reading from a peer an instance counts as following that peer. It exceeds the interval between two polls.
	followTime = 3 * time.Second
)

// Epoch identifies one run of the shared clock; zero is none. Times of different epochs cannot be compared.
type Epoch uint64

// Reading bounds the shared time at one instant of an instance's own clock. The zero value is a reading of an unknown time.
type Reading struct {
	Epoch Epoch
	// At is the instant by the instance's own clock.
	At model.Instant
	// Earliest and Latest are the bounds, as times since the beginning of the epoch; Earliest is at most Latest.
	Earliest, Latest time.Duration
}

// Known reports whether the reading bounds the shared time at all.
func (r Reading) Known() bool {
	return r.Epoch != 0
}

// Width returns the difference of the bounds.
func (r Reading) Width() time.Duration {
	return r.Latest - r.Earliest
}

// On returns the bounds at another instant of the same own clock. They widen with the time between the two, as clocks drift.
func (r Reading) On(at model.Instant) Reading {
	if !r.Known() {
		return Reading{}
	}
	passed := at.Sub(r.At)
	drift := driftIn(passed)
	return Reading{Epoch: r.Epoch, At: at, Earliest: r.Earliest + passed - drift, Latest: r.Latest + passed + drift}
}

// driftIn returns the most by which two clocks drift apart in a time, rounded up.
func driftIn(d time.Duration) time.Duration {
	return time.Duration(float64(d.Abs())*maxDrift) + 1
}

// SyncConfig configures a Sync.
type SyncConfig struct {
	// NewEpoch returns a random epoch, which is not zero.
	NewEpoch func() Epoch
}

// Sync keeps the best reading of one instance. Instances follow those that they poll; one that is polled and follows none begins an epoch. It is not safe for
// concurrent use.
type Sync struct {
	cfg SyncConfig
	// reading is the best one so far, and previous the one that was in use before its epoch.
	reading, previous Reading
	// origin is set if this instance has begun the epoch of reading.
	origin bool
	// followedAt is when a peer last stated a reading.
	followedAt model.Instant
}

// NewSync returns a Sync that knows no shared time.
func NewSync(cfg SyncConfig) *Sync {
	return &Sync{cfg: cfg}
}

// Read returns the reading to use at an instant of the own clock.
func (s *Sync) Read(now model.Instant) Reading {
	if r := s.latest(now); r.Earliest >= settleTime {
		return r
	}
	return s.previous.On(now)
}

// latest returns the best reading at an instant of the own clock.
func (s *Sync) latest(now model.Instant) Reading {
	if s.origin {
		// The own clock is the shared one, so that there is no drift.
		passed := now.Sub(s.reading.At)
		return Reading{Epoch: s.reading.Epoch, At: now, Earliest: s.reading.Earliest + passed, Latest: s.reading.Latest + passed}
	}
	return s.reading.On(now)
}

// replace replaces the reading.
func (s *Sync) replace(now model.Instant, next Reading, origin bool) {
	if next.Epoch != s.reading.Epoch {
		s.previous = s.Read(now)
	}
	s.reading, s.origin = next, origin
}

// Follow takes over the reading that a polled peer stated in a reply, which has arrived now. The call took the time took by the own clock, for held of which,
// by the peer's clock, the peer had not written the reply yet. What peers of the same epoch state is true of the same clock, so the narrower reading stays.
func (s *Sync) Follow(now model.Instant, stated Reading, took, held time.Duration) {
	if !stated.Known() {
		return
	}
	s.followedAt = now
	transit := max(took-held, 0) + driftIn(took)
	next := Reading{Epoch: stated.Epoch, At: now, Earliest: stated.Earliest, Latest: stated.Latest + transit}
	have := s.latest(now)
	if have.Epoch == next.Epoch && (s.origin || have.Width() <= next.Width()) {
		return
	}
	s.replace(now, next, false)
}

// State returns the reading to state to a peer that polls this instance. It begins an epoch if there is none to follow.
func (s *Sync) State(now model.Instant) Reading {
	have := s.latest(now)
	following := s.followedAt != 0 && now.Sub(s.followedAt) < followTime
	if !s.origin && !following && (!have.Known() || have.Width() > maxWidth) {
		s.replace(now, Reading{Epoch: s.cfg.NewEpoch(), At: now}, true)
	}
	return s.latest(now)
}
