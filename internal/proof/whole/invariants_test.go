package whole

import (
	"context"
	"time"

	"hawthorncourse/internal/bench/drive"
	"hawthorncourse/internal/core/model"
	"hawthorncourse/internal/stand/caller"
)

const (
	// coldSlots and coldConnections are the limits of an upstream during its cold start: concurrent requests, and streams or flows opened.
	coldSlots       = 1
	coldConnections = 50
	// lateResponseTime is how long late responses are awaited before the upstreams' records are read.
	lateResponseTime = 1500 * time.Millisecond
)

// startLoad starts callers and waits until all their streams are open.
func (s *system) startLoad() {
	s.t.Helper()
	l, err := drive.Start(drive.Config{
		Fleet:           s.Fleet,
		Streams:         30,
		Bookers:         8,
		Readers:         6,
		ThinkTime:       20 * time.Millisecond,
		RefreshInterval: 2 * time.Second,
		Seed:            seed,
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

// checkInvariants stops the load and compares the callers' results with the upstreams' records: at most one execution of each booking,
// results that agree with the executions, no packet at another service, no response to another request, and no more work in a cold start than
// its limits allow. These hold under every fault.
func (s *system) checkInvariants() {
	s.t.Helper()
	s.load.Stop()
	s.logCounters()
	time.Sleep(lateResponseTime)
	for _, b := range s.load.Verify(drive.ColdLimits{ColdSlots: coldSlots, ColdConnections: coldConnections}) {
		s.t.Error(b)
	}
	s.t.Logf("bookings by outcome %v, reads by outcome %v, refused or lost %v", s.load.Bookings(time.Time{}), s.load.Reads(), s.load.Refused())
}

// logCounters logs the sum of the counters of all instances.
func (s *system) logCounters() {
	sums := map[string]int64{}
	for _, in := range s.Instances {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		report, err := in.Status(ctx)
		cancel()
		if err != nil {
			continue
		}
		for _, c := range report.Counters {
			sums[c.Name] += c.Value
		}
	}
	s.t.Logf("counters %v", sums)
}

// checkNoBookingLost checks that since the instant every booking got a definite result, and at least one succeeded.
func (s *system) checkNoBookingLost(since time.Time) {
	s.t.Helper()
	out := s.load.Bookings(since)
	if n := out[caller.OutcomeUnknown] + out[caller.OutcomeTimeout]; n != 0 {
		s.t.Errorf("%d bookings without a definite result: %v", n, out)
	}
	if out[caller.OutcomeDone] == 0 {
		s.t.Errorf("no booking succeeded: %v", out)
	}
}

// checkNoStreamBroken checks that no stream broke.
func (s *system) checkNoStreamBroken() {
	s.t.Helper()
	s.checkNoStreamBrokenOutside("")
}

// checkNoStreamBrokenOutside checks that only streams whose first upstream is in the failure domain broke.
func (s *system) checkNoStreamBrokenOutside(domain model.DomainID) {
	s.t.Helper()
	for _, r := range s.load.BrokenStreams() {
		if s.UpstreamDomains()[r.FirstUpstream] != domain {
			s.t.Errorf("stream of upstream %s broke: %+v", r.FirstUpstream, r.StreamReport)
		}
	}
}
