package relay

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"hawthorncourse/internal/core/model"
)

// TestStall checks that stalls of the process and suspensions of the machine are detected, and that packets queued during a long one are
// dropped.
func TestStall(t *testing.T) {
	cases := map[string]struct {
		// steady and boot are how late the timer fires, by the monotonic and the boot-time clock.
		steady, boot time.Duration
		// early is set if a packet is handled before the timer.
		early bool
		// stalled and stale are the expected detection of a stall and of stale packets.
		stalled, stale bool
	}{
		"on time":                             {},
		"slightly late":                       {steady: 40 * time.Millisecond, boot: 40 * time.Millisecond, stalled: true},
		"a stalled process":                   {steady: 3 * time.Second, boot: 3 * time.Second, stalled: true, stale: true},
		"a suspended machine":                 {boot: 3 * time.Second, stalled: true, stale: true},
		"a packet before the timer":           {steady: 3 * time.Second, boot: 3 * time.Second, early: true, stalled: true, stale: true},
		"a machine without a boot-time clock": {steady: 3 * time.Second, stalled: true, stale: true},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var boot time.Duration
			s := newStallDetector(func() time.Duration { return boot })
			now := model.Instant(time.Minute)
			s.expect(now, 100*time.Millisecond)
			now, boot = now.Add(100*time.Millisecond+tc.steady), 100*time.Millisecond+tc.boot
			if tc.early {
				is.Equal(s.stale(now), tc.stale)
			}
			is.Equal(s.wake(now) > 0, tc.stalled)
			s.expect(now, 100*time.Millisecond)
			is.Equal(s.stale(now.Add(time.Millisecond)), tc.stale)
			is.True(!s.stale(now.Add(staleDrainTime)))
		})
	}
}

// TestStalledSince checks that a stall is known whichever event the decision loop handles first after it.
func TestStalledSince(t *testing.T) {
	const wait, stall = 100 * time.Millisecond, 60 * time.Millisecond
	cases := map[string]struct {
		// steady and boot are how late the decision loop wakes, by the monotonic and the boot-time clock.
		steady, boot time.Duration
		// wake handles what the decision loop takes first.
		wake func(s *stallDetector, now model.Instant)
		// start is when the probe began, after the timer was set.
		start   time.Duration
		stalled bool
	}{
		"on time, the timer":         {wake: func(s *stallDetector, now model.Instant) { s.wake(now); s.expect(now, wait) }},
		"on time, a command":         {wake: func(s *stallDetector, now model.Instant) { s.expect(now, wait) }},
		"on time, the probe":         {wake: func(*stallDetector, model.Instant) {}},
		"slightly late, the probe":   {steady: stallThreshold - 1, boot: stallThreshold - 1, wake: func(*stallDetector, model.Instant) {}},
		"a stall, then the timer":    {steady: stall, boot: stall, wake: func(s *stallDetector, now model.Instant) { s.wake(now); s.expect(now, wait) }, stalled: true},
		"a stall, then a command":    {steady: stall, boot: stall, wake: func(s *stallDetector, now model.Instant) { s.expect(now, wait) }, stalled: true},
		"a stall, then the probe":    {steady: stall, boot: stall, wake: func(*stallDetector, model.Instant) {}, stalled: true},
		"a suspension, then a probe": {boot: stall, wake: func(*stallDetector, model.Instant) {}, stalled: true},
		"a stall before the probe":   {steady: stall, boot: stall, wake: func(s *stallDetector, now model.Instant) { s.expect(now, wait) }, start: wait + stall + 1},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var boot time.Duration
			s := newStallDetector(func() time.Duration { return boot })
			begin := model.Instant(time.Minute)
			s.expect(begin, wait)
			boot = wait + tc.boot
			now := begin.Add(wait + tc.steady)
			tc.wake(s, now)
			is.Equal(s.stalledSince(now.Add(1), begin.Add(tc.start)), tc.stalled)
		})
	}
}

// TestShutdownComplete checks when a graceful shutdown may end.
func TestShutdownComplete(t *testing.T) {
	cases := map[string]struct {
		since, quiet time.Duration
		want         bool
	}{
		"routers may not have detected it":          {since: time.Second, quiet: time.Second},
		"packets still arrive":                      {since: 2 * time.Second, quiet: 100 * time.Millisecond},
		"routers detected it and no packets arrive": {since: 1300 * time.Millisecond, quiet: 600 * time.Millisecond, want: true},
		"the time limit is near":                    {since: 5500 * time.Millisecond, want: true},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			is.New(t).Equal(shutdownComplete(tc.since, tc.quiet, 6*time.Second), tc.want)
		})
	}
}
