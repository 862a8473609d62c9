package fresh_test

import (
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"

	"hawthorncourse/internal/core/fresh"
	"hawthorncourse/internal/core/model"
)

const maxStaleness = 3 * time.Second

var (
	mine   = model.ReaderRecord{Domain: "east", Holder: "a", Control: netip.MustParseAddrPort("127.0.0.1:1"), Revision: 4}
	theirs = model.ReaderRecord{Domain: "east", Holder: "b", Control: netip.MustParseAddrPort("127.0.0.1:2"), Revision: 5}
	vacant = model.ReaderRecord{Domain: "east"}
)

// TestNextStep checks the step that follows a sequence of outcomes.
func TestNextStep(t *testing.T) {
	cases := map[string]struct {
		outcomes func(*fresh.Scheduler)
		want     fresh.Step
		wait     time.Duration
	}{
		"start": {outcomes: func(*fresh.Scheduler) {}, want: fresh.StepReadStore},
		"store unavailable at start": {
			outcomes: func(s *fresh.Scheduler) { s.FinishStoreRead(0, 0, model.ReaderRecord{}, false) },
			want:     fresh.StepReadStore, wait: 200 * time.Millisecond,
		},
		"domain without reader": {
			outcomes: func(s *fresh.Scheduler) { s.FinishStoreRead(0, 0, vacant, true) },
			want:     fresh.StepClaimRole,
		},
		"this instance is the reader": {
			outcomes: func(s *fresh.Scheduler) { s.FinishStoreRead(0, 0, mine, true) },
			want:     fresh.StepReadStore, wait: time.Second,
		},
		"another instance is the reader": {
			outcomes: func(s *fresh.Scheduler) { s.FinishStoreRead(0, 0, theirs, true); s.FinishReaderPoll(0, 0, true) },
			want:     fresh.StepPollReader,
		},
		"reader unresponsive": {
			outcomes: func(s *fresh.Scheduler) { s.FinishStoreRead(0, 0, theirs, true); s.FinishReaderPoll(0, 0, false) },
			want:     fresh.StepReadStore,
		},
		"reader outdated": {
			outcomes: func(s *fresh.Scheduler) {
				s.FinishStoreRead(0, 0, theirs, true)
				s.FinishReaderPoll(0, 2100*time.Millisecond, true)
			},
			want: fresh.StepReadStore,
		},
		"reader unresponsive and still on record": {
			outcomes: func(s *fresh.Scheduler) {
				s.FinishStoreRead(0, 0, theirs, true)
				s.FinishReaderPoll(0, 0, false)
				s.FinishStoreRead(0, 0, theirs, true)
			},
			want: fresh.StepClaimRole,
		},
		"reader unresponsive and replaced by another instance": {
			outcomes: func(s *fresh.Scheduler) {
				next := theirs
				next.Holder, next.Revision = "c", 6
				s.FinishStoreRead(0, 0, theirs, true)
				s.FinishReaderPoll(0, 0, false)
				s.FinishStoreRead(0, 0, next, true)
				s.FinishReaderPoll(0, 0, true)
			},
			want: fresh.StepPollReader,
		},
		"reader unresponsive, and its revision given out again by a restore of the store": {
			outcomes: func(s *fresh.Scheduler) {
				next := theirs
				next.Holder, next.Era = "c", 1
				s.FinishStoreRead(0, 0, theirs, true)
				s.FinishReaderPoll(0, 0, false)
				s.FinishStoreRead(0, 0, next, true)
			},
			want: fresh.StepPollReader, wait: time.Second,
		},
		"another instance claimed first": {
			outcomes: func(s *fresh.Scheduler) { s.FinishStoreRead(0, 0, vacant, true); s.FinishClaim(0, theirs, true) },
			want:     fresh.StepPollReader,
		},
		"claim not answered": {
			outcomes: func(s *fresh.Scheduler) {
				s.FinishStoreRead(0, 0, vacant, true)
				s.FinishClaim(0, model.ReaderRecord{}, false)
			},
			want: fresh.StepReadStore, wait: 200 * time.Millisecond,
		},
		"this instance was replaced as reader": {
			outcomes: func(s *fresh.Scheduler) {
				s.FinishStoreRead(0, 0, mine, true)
				s.FinishStoreRead(0, 0, theirs, true)
				s.FinishReaderPoll(0, 0, true)
			},
			want: fresh.StepPollReader,
		},
		"store unavailable and reader outdated": {
			outcomes: func(s *fresh.Scheduler) {
				s.FinishStoreRead(0, 0, theirs, true)
				s.FinishReaderPoll(0, 3*time.Second, true)
				s.FinishStoreRead(0, 0, model.ReaderRecord{}, false)
			},
			want: fresh.StepPollReader,
		},
		"store unavailable and reader unresponsive": {
			outcomes: func(s *fresh.Scheduler) {
				s.FinishStoreRead(0, 0, theirs, true)
				s.FinishReaderPoll(0, 0, false)
				s.FinishStoreRead(0, 0, model.ReaderRecord{}, false)
			},
			want: fresh.StepReadStore, wait: 200 * time.Millisecond,
		},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := fresh.NewScheduler(fresh.SchedulerConfig{Self: "a", MaxStaleness: maxStaleness, LinkMbps: 1000})
			tc.outcomes(s)
			step, wait := s.Next(0)
			is.Equal(step, tc.want)
			is.Equal(wait, tc.wait)
		})
	}
}

// TestStalenessBound simulates an instance whose reader fails or stalls, and checks that the age of its data never exceeds two thirds of
// the staleness bound.
func TestStalenessBound(t *testing.T) {
	cases := map[string]struct {
		// reader reports whether the reader answers polls, and readerStore whether the store answers the reader.
		reader, readerStore func(now model.Instant) bool
	}{
		"no fault":                             {reader: always, readerStore: always},
		"reader fails":                         {reader: beforeFault, readerStore: always},
		"reader is partitioned from the store": {reader: always, readerStore: beforeFault},
		"reader stalls":                        {reader: between(5*time.Second, 9*time.Second), readerStore: always},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			sim := newSimulation(theirs)
			sim.peerAnswers, sim.peerStore = tc.reader, tc.readerStore
			sim.run(model.Instant(20 * time.Second))
			t.Logf("largest age %s", sim.maxAge)
			is.New(t).True(sim.maxAge <= maxStaleness*2/3)
		})
	}
}

func always(model.Instant) bool { return true }

// failingAt is when faults begin.
const failingAt = model.Instant(5 * time.Second)

func beforeFault(now model.Instant) bool { return now < failingAt }

func between(from, to time.Duration) func(model.Instant) bool {
	return func(now model.Instant) bool { return now < model.Instant(from) || now > model.Instant(to) }
}

// TestPacer checks the interval between reads and the growth of the timeout while the store fails.
func TestPacer(t *testing.T) {
	is := is.New(t)
	p := fresh.Pacer{MaxStaleness: maxStaleness}
	is.Equal(p.FinishRead(true, 100*time.Millisecond), 900*time.Millisecond)
	is.Equal(p.FinishRead(true, 2*time.Second), time.Duration(0))
	var timeouts, delays []time.Duration
	for range 4 {
		timeouts = append(timeouts, p.Timeout())
		delays = append(delays, p.FinishRead(false, time.Second))
	}
	is.Equal(timeouts, []time.Duration{600 * time.Millisecond, 1200 * time.Millisecond, 2400 * time.Millisecond, 2400 * time.Millisecond})
	is.Equal(delays, []time.Duration{200 * time.Millisecond, 400 * time.Millisecond, 800 * time.Millisecond, time.Second})
	p.FinishRead(true, 0)
	is.Equal(p.Timeout(), 600*time.Millisecond)
}

// TestClaimOrder checks that a vacant reader role goes to the instance with the fastest link, and that slower ones read the store again
// before they claim it.
func TestClaimOrder(t *testing.T) {
	cases := map[string]struct {
		linkMbps float64
		want     time.Duration
	}{
		"full speed":       {linkMbps: 1000},
		"above full speed": {linkMbps: 10_000},
		"100 Mbit/s":       {linkMbps: 100, want: 200 * time.Millisecond},
		"10 Mbit/s":        {linkMbps: 10, want: 400 * time.Millisecond},
		"unknown speed":    {linkMbps: 0, want: 600 * time.Millisecond},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := fresh.NewScheduler(fresh.SchedulerConfig{Self: "a", MaxStaleness: maxStaleness, LinkMbps: tc.linkMbps})
			now := model.Instant(time.Minute)
			s.FinishStoreRead(now, now, vacant, true)
			step, wait := s.Next(now)
			if tc.want == 0 {
				is.Equal(step, fresh.StepClaimRole)
				return
			}
			is.Equal(step, fresh.StepReadStore)
			is.True(wait > tc.want-time.Millisecond && wait < tc.want+time.Millisecond)
			now = now.Add(wait)
			s.FinishStoreRead(now, now, theirs, true)
			step, _ = s.Next(now.Add(time.Second))
			is.Equal(step, fresh.StepPollReader)
			s.FinishStoreRead(now, now, vacant, true)
			now = now.Add(time.Second)
			step, _ = s.Next(now)
			is.Equal(step, fresh.StepClaimRole)
		})
	}
}

// TestCallsDuringOutage replays an outage of the store for all instances: the reader answers polls, but its data grows old. A follower must not add
// a refused call for each of its retries, as hundreds of instances do so at the same time, and must go on with the reader once the store is back.
func TestCallsDuringOutage(t *testing.T) {
	const outageEnd = model.Instant(20 * time.Second)
	is := is.New(t)
	sim := newSimulation(theirs)
	up := func(now model.Instant) bool { return now <= failingAt || now >= outageEnd }
	sim.peerStore, sim.store = up, up
	sim.run(outageEnd.Add(5 * time.Second))
	t.Logf("%d failed reads and %d claims in 15 s of outage", sim.failedReads, sim.claims)
	is.True(sim.failedReads <= 12)
	is.Equal(sim.claims, 0)
	step, _ := sim.s.Next(outageEnd.Add(5 * time.Second))
	is.Equal(step, fresh.StepPollReader)
}
