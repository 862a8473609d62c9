package fresh_test

import (
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"

	"hawthorncourse/internal/core/fresh"
	"hawthorncourse/internal/core/model"
)

// ahead is the record of the reader of a domain that comes before "east".
var ahead = model.ReaderRecord{Domain: "centre", Holder: "lead", Control: netip.MustParseAddrPort("127.0.0.1:3"), Revision: 7}

// TestLeadReader checks which reader reads the store for those of all failure domains.
func TestLeadReader(t *testing.T) {
	cases := map[string]struct {
		records []model.ReaderRecord
		want    model.InstanceID
	}{
		"no record":                     {},
		"only domain":                   {records: []model.ReaderRecord{theirs}, want: "b"},
		"first domain in order of name": {records: []model.ReaderRecord{theirs, ahead}, want: "lead"},
		"first domain has no reader":    {records: []model.ReaderRecord{{Domain: "centre"}, theirs}, want: "b"},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			is.New(t).Equal(fresh.LeadReader(tc.records).Holder, tc.want)
		})
	}
}

// TestNextStepOfReader checks the step of a reader of a failure domain after sequences of outcomes.
func TestNextStepOfReader(t *testing.T) {
	later := func(d time.Duration) model.Instant { return model.Instant(time.Minute).Add(d) }
	cases := map[string]struct {
		outcomes func(*fresh.Scheduler)
		after    time.Duration
		want     fresh.Step
	}{
		"this instance is the lead reader": {
			outcomes: func(s *fresh.Scheduler) { s.SetReaders([]model.ReaderRecord{mine}) }, want: fresh.StepReadStore,
		},
		"another instance is the lead reader": {
			outcomes: func(s *fresh.Scheduler) { s.SetReaders([]model.ReaderRecord{ahead, mine}) }, want: fresh.StepPollLead,
		},
		"lead reader answers": {
			outcomes: func(s *fresh.Scheduler) {
				s.SetReaders([]model.ReaderRecord{ahead, mine})
				s.FinishLeadPoll(later(0), 10*time.Millisecond, mine, true)
			},
			want: fresh.StepPollLead,
		},
		"another instance is on record in the copy from which the store was restored": {
			outcomes: func(s *fresh.Scheduler) {
				restored := theirs
				restored.Era, restored.Revision = 1, 2
				s.SetReaders([]model.ReaderRecord{ahead, mine})
				s.FinishLeadPoll(later(0), 10*time.Millisecond, restored, true)
			},
			want: fresh.StepPollReader,
		},
		"no instance is on record in the copy from which the store was restored": {
			outcomes: func(s *fresh.Scheduler) {
				s.SetReaders([]model.ReaderRecord{ahead, mine})
				s.FinishLeadPoll(later(0), 10*time.Millisecond, model.ReaderRecord{Domain: "east", Era: 1}, true)
			},
			want: fresh.StepClaimRole,
		},
		"the lead reader's records are from before the store was restored": {
			outcomes: func(s *fresh.Scheduler) {
				restored := mine
				restored.Era, restored.Revision = 1, 2
				s.FinishStoreRead(later(0), later(0), restored, true)
				s.SetReaders([]model.ReaderRecord{ahead, restored})
				s.FinishLeadPoll(later(0), 10*time.Millisecond, theirs, true)
			},
			want: fresh.StepPollLead,
		},
		"lead reader unresponsive": {
			outcomes: func(s *fresh.Scheduler) {
				s.SetReaders([]model.ReaderRecord{ahead, mine})
				s.FinishLeadPoll(later(0), 0, model.ReaderRecord{}, false)
			},
			want: fresh.StepReadStore,
		},
		"lead reader outdated": {
			outcomes: func(s *fresh.Scheduler) {
				s.SetReaders([]model.ReaderRecord{ahead, mine})
				s.FinishLeadPoll(later(0), 1500*time.Millisecond, mine, true)
			},
			want: fresh.StepReadStore,
		},
		"lead reader unresponsive for long": {
			outcomes: func(s *fresh.Scheduler) {
				s.SetReaders([]model.ReaderRecord{ahead, mine})
				s.FinishLeadPoll(later(0), 0, model.ReaderRecord{}, false)
			},
			after: 10 * time.Second, want: fresh.StepPollLead,
		},
		"another instance replaces the lead reader that failed": {
			outcomes: func(s *fresh.Scheduler) {
				s.SetReaders([]model.ReaderRecord{ahead, mine})
				s.FinishLeadPoll(later(0), 0, model.ReaderRecord{}, false)
				next := ahead
				next.Holder, next.Revision = "lead-2", 9
				s.SetReaders([]model.ReaderRecord{next, mine})
			},
			want: fresh.StepPollLead,
		},
		"another instance replaced this one": {
			outcomes: func(s *fresh.Scheduler) {
				s.SetReaders([]model.ReaderRecord{ahead, mine})
				s.FinishLeadPoll(later(0), 10*time.Millisecond, theirs, true)
			},
			want: fresh.StepPollReader,
		},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			s := fresh.NewScheduler(fresh.SchedulerConfig{Self: "a", MaxStaleness: maxStaleness, LinkMbps: 1000})
			s.FinishStoreRead(later(0), later(0), mine, true)
			tc.outcomes(s)
			step, _ := s.Next(later(tc.after))
			is.New(t).Equal(step, tc.want)
		})
	}
}

// TestStalenessBehindLead simulates the reader of a failure domain whose lead reader fails. Its data must not grow older than its followers bear,
// which poll it and find it outdated after two intervals.
func TestStalenessBehindLead(t *testing.T) {
	cases := map[string]struct {
		// lead reports whether the lead reader answers, and leadStore whether the store answers the lead reader.
		lead, leadStore func(now model.Instant) bool
	}{
		"no fault":                       {lead: always, leadStore: always},
		"lead fails":                     {lead: beforeFault, leadStore: always},
		"lead is cut off from the store": {lead: always, leadStore: beforeFault},
		"lead stalls":                    {lead: between(5*time.Second, 9*time.Second), leadStore: always},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			sim := newSimulation(mine)
			sim.peerAnswers, sim.peerStore, sim.readers = tc.lead, tc.leadStore, []model.ReaderRecord{ahead, mine}
			sim.run(model.Instant(time.Minute))
			t.Logf("largest age %s, %d reads of the store", sim.maxAge, sim.reads)
			is.New(t).True(sim.maxAge <= maxStaleness/2)
			if name == "no fault" {
				is.New(t).Equal(sim.reads, 1)
			}
		})
	}
}
