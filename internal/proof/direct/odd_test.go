package direct

import (
	"slices"
	"testing"
	"time"

	"hawthorncourse/platform/stand"
)

// maxSteadyCalls is the number of calls to the store in steadyTime while nothing changes: two in each second for each of two readers, and those of one
// read that was under way.
const maxSteadyCalls = 10

// TestOddRegistrations guards against single registrations of another writer that end processes, or keep them from following the store: nested deeply,
// with numbers that are too large, or with a port out of range. Changes must take effect in time beside them, also at instances that start.
func TestOddRegistrations(t *testing.T) {
	t.Parallel()
	s := newSystem(t)
	time.Sleep(steadyTime)
	s.Store.CorruptUpstreams()
	time.Sleep(changeLimit)
	s.upstreams[0].Drain()
	s.Store.Configure(2, feed, order, photo, stand.Route{Name: "new", Address: extraAddress, Service: "desk"})
	time.Sleep(changeLimit)
	from := time.Now()
	calls := s.Store.Calls()
	time.Sleep(steadyTime)
	if n := s.Store.Calls().Reads - calls.Reads; n > maxSteadyCalls {
		t.Errorf("%d calls to the store in %s in which nothing changed", n, steadyTime)
	}
	if s.upstreams[0].LastOpening().After(from) {
		t.Error("a draining upstream received a new flow")
	}
	f, err := s.Callers[0].Open(s.ctx, extraAddress)
	s.check(err)
	f.Close()
	for _, p := range s.Processes {
		if report := s.report(p); !slices.Equal(slices.Sorted(slices.Values(report.Unreadable)), stand.CorruptNames()) || report.Version != 2 {
			t.Errorf("%s has version %d and unreadable registrations %q", p.Settings.Name, report.Version, report.Unreadable)
		}
	}
	s.checkServed()
	s.restartAll()
	time.Sleep(time.Second)
	s.load.ResetCounts()
	time.Sleep(steadyTime)
	s.checkServed()
	s.checkInvariants()
}

// TestOddReaderRecords guards against reader records of another writer that keep failure domains without a reader, so that each of their instances reads
// the store by itself.
func TestOddReaderRecords(t *testing.T) {
	t.Parallel()
	s := newSystem(t)
	time.Sleep(steadyTime)
	s.Store.CorruptReaders("east", "west", "elsewhere")
	time.Sleep(changeLimit)
	calls := s.Store.Calls()
	time.Sleep(steadyTime)
	now := s.Store.Calls()
	if n := now.Reads - calls.Reads; n > maxSteadyCalls {
		t.Errorf("%d calls to the store in %s in which nothing changed", n, steadyTime)
	}
	if n := now.Writes - calls.Writes; n > 0 {
		t.Errorf("%d claims of the reader role in %s, after the records had become odd %s before", n, steadyTime, changeLimit)
	}
	s.checkServed()
	s.checkInvariants()
}
