package whole

import (
	"context"
	"time"

	"hawthorncourse/internal/stand/caller"
)

const (
	coldSlots       = 1
	coldConnections = 50
	// settleTime lets late answers come before journals are read.
	settleTime = 1500 * time.Millisecond
)

// checkPromises checks, against the upstreams' own journals, what must hold under every fault.
func (s *stage) checkPromises() {
	s.t.Helper()
	s.load.stop()
	s.logCounters()
	time.Sleep(settleTime)
	s.checkForeign()
	s.checkCold()
	s.checkBookings()
	for _, text := range s.load.crossed {
		s.t.Errorf("crossed answer: %s", text)
	}
	s.t.Logf("bookings %v, reads %v", s.load.outcomes(time.Time{}), s.load.reads)
	s.t.Logf("refused or lost: %v", s.load.refused)
}

// logCounters logs the sum of the counters of all instances.
func (s *stage) logCounters() {
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

func (s *stage) checkForeign() {
	s.t.Helper()
	for name, j := range s.journals() {
		if j.Foreign != 0 {
			s.t.Errorf("%s got %d packets of another service", name, j.Foreign)
		}
	}
}

func (s *stage) checkCold() {
	s.t.Helper()
	for name, j := range s.journals() {
		if j.ColdPeak > coldSlots {
			s.t.Errorf("%s had %d requests at once in cold start, it bears %d", name, j.ColdPeak, coldSlots)
		}
		if j.ColdOpened > coldConnections {
			s.t.Errorf("%s had %d streams opened in cold start, it bears %d", name, j.ColdOpened, coldConnections)
		}
	}
}

// checkBookings compares what callers were told with what upstreams ran.
func (s *stage) checkBookings() {
	s.t.Helper()
	runs := map[string]int{}
	for _, j := range s.journals() {
		for ref, n := range j.Runs {
			runs[ref] += n
		}
	}
	for _, b := range s.load.bookings {
		switch {
		case runs[b.ref] > 1:
			s.t.Errorf("booking %s ran %d times", b.ref, runs[b.ref])
		case b.outcome == caller.OutcomeNotRun && runs[b.ref] > 0:
			s.t.Errorf("booking %s was refused as not run and ran", b.ref)
		case b.outcome == caller.OutcomeDone && runs[b.ref] == 0:
			s.t.Errorf("booking %s was said to be done and never ran", b.ref)
		}
	}
}

// checkUncut checks that since then no booking was left without a certain answer.
func (s *stage) checkUncut(since time.Time) {
	s.t.Helper()
	out := s.load.outcomes(since)
	if n := out[caller.OutcomeUnknown] + out[caller.OutcomeTimeout]; n != 0 {
		s.t.Errorf("%d bookings were cut: %v", n, out)
	}
	if out[caller.OutcomeDone] == 0 {
		s.t.Errorf("no booking was done: %v", out)
	}
}

func (s *stage) checkUnbroken() {
	s.t.Helper()
	s.load.mu.Lock()
	for _, r := range s.load.live {
		if r.Broken() > 0 {
			s.t.Logf("broken: %+v", r)
		}
	}
	s.load.mu.Unlock()
	if n := s.load.broken(); n != 0 {
		s.t.Errorf("%d streams broke", n)
	}
}
