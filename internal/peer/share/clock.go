package share

import (
	"math/rand/v2"
	"time"

	"hawthorncourse/internal/core/clock"
	"hawthorncourse/internal/core/model"
)

// The replies to polls state the time of the clock that all instances share. An instance follows the peer that it polls.

func newClockSync() *clock.Sync {
	return clock.NewSync(clock.SyncConfig{NewEpoch: func() clock.Epoch { return clock.Epoch(max(rand.Uint64(), 1)) }})
}

// ownTime returns the time of the instance's own clock.
func (s *Share) ownTime() model.Instant {
	if s.cfg.Clock == nil {
		return model.Instant(time.Since(s.start))
	}
	return model.Instant(s.cfg.Clock())
}

// Clock returns the reading of the shared clock at an instant by Config.Clock.
func (s *Share) Clock(at time.Duration) clock.Reading {
	s.clockMu.Lock()
	defer s.clockMu.Unlock()
	return s.clock.Read(model.Instant(at))
}

// stateClock adds the shared time to a reply.
func (s *Share) stateClock(reply *NextReply) {
	s.clockMu.Lock()
	defer s.clockMu.Unlock()
	stated := s.clock.State(s.ownTime())
	reply.ClockEpoch, reply.ClockEarliest, reply.ClockLatest = uint64(stated.Epoch), int64(stated.Earliest), int64(stated.Latest)
}

// followClock takes over the shared time in a reply that has just arrived, to a call that took the time took.
func (s *Share) followClock(reply *NextReply, took time.Duration) {
	if reply.ClockEpoch == 0 || reply.Held <= 0 {
		return
	}
	now := s.ownTime()
	stated := clock.Reading{Epoch: clock.Epoch(reply.ClockEpoch), Earliest: time.Duration(reply.ClockEarliest), Latest: time.Duration(reply.ClockLatest)}
	s.clockMu.Lock()
	epoch := s.clock.Read(now).Epoch
	s.clock.Follow(now, stated, took, time.Duration(reply.Held))
	changed := s.clock.Read(now).Epoch != epoch
	s.clockMu.Unlock()
	if changed && s.cfg.OnEpoch != nil {
		s.cfg.OnEpoch()
	}
}
