package whole

import (
	"context"
	"time"

	"hawthorncourse/internal/bench/drive"
	"hawthorncourse/internal/core/model"
	"hawthorncourse/internal/stand/caller"
)

const (
	coldSlots       = 1
	coldConnections = 50
	// lateResponseTime lets late answers come before journals are read.
	lateResponseTime = 1500 * time.Millisecond
)

// startLoad sets callers to work and waits until every stream is open.
func (s *system) startLoad() {
	s.t.Helper()
	l, err := drive.Start(drive.Config{
		Fleet:   s.Fleet,
		Streams: 30,
		Bookers: 8,
		Readers: 6,
		Think:   20 * time.Millisecond,
		Refresh: 2 * time.Second,
		Seed:    seed,
	})
	if err != nil {
		s.t.Fatal(err)
	}
	s.load = l
	s.t.Cleanup(l.Stop)
	ctx, cancel := context.WithTimeout(context.Background(), startTimeout)
	defer cancel()
	if err := l.AwaitStreams(ctx); err != nil {
		s.t.Fatal(err)
	}
}

// checkInvariants checks, against the upstreams' own journals, what must hold under every fault.
func (s *system) checkInvariants() {
	s.t.Helper()
	s.load.Stop()
	s.logCounters()
	time.Sleep(lateResponseTime)
	for _, b := range s.load.Verify(drive.Limits{ColdSlots: coldSlots, ColdConnections: coldConnections}) {
		s.t.Error(b)
	}
	s.t.Logf("bookings %v, reads %v, refused or lost %v", s.load.Bookings(time.Time{}), s.load.Reads(), s.load.Refused())
}

// logCounters logs the sum of the counters of all instances.
func (s *system) logCounters() {
	sums := map[string]int64{}
	for _, in := range s.Instances {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		w, err := in.Status(ctx)
		cancel()
		if err != nil {
			continue
		}
		for _, c := range w.Counters {
			sums[c.Name] += c.Value
		}
	}
	s.t.Logf("counters %v", sums)
}

// checkNoBookingLost checks that since then no booking was left without a certain answer.
func (s *system) checkNoBookingLost(since time.Time) {
	s.t.Helper()
	out := s.load.Bookings(since)
	if n := out[caller.OutcomeUnknown] + out[caller.OutcomeTimeout]; n != 0 {
		s.t.Errorf("%d bookings were cut: %v", n, out)
	}
	if out[caller.OutcomeDone] == 0 {
		s.t.Errorf("no booking was done: %v", out)
	}
}

// checkNoStreamBroken checks that no stream broke.
func (s *system) checkNoStreamBroken() {
	s.t.Helper()
	s.checkNoStreamBrokenOutside("")
}

// checkNoStreamBrokenOutside checks that only streams of the domain broke.
func (s *system) checkNoStreamBrokenOutside(domain model.DomainID) {
	s.t.Helper()
	for _, r := range s.load.Broken() {
		if s.UpstreamDomains()[r.First] != domain {
			s.t.Errorf("stream at %s broke: %+v", r.First, r.StreamReport)
		}
	}
}
