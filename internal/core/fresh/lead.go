package fresh

import (
	"time"

	"hawthorncourse/internal/core/model"
)

// leadRetryInterval is how long a reader reads the store itself after the lead reader did not answer or had outdated data, before it polls the
// lead reader again. It exceeds most partitions between failure domains.
const leadRetryInterval = 10 * time.Second

// LeadReader returns the record of the reader that reads the store for the readers of all failure domains, that of the first domain in order of
// names that has a reader. The holder is empty if no domain has one.
func LeadReader(records []model.ReaderRecord) (lead model.ReaderRecord) {
	for _, r := range records {
		if r.Holder != "" && (lead.Holder == "" || r.Domain < lead.Domain) {
			lead = r
		}
	}
	return lead
}

// leadState is what a reader knows of the lead reader.
type leadState struct {
	record model.ReaderRecord
	// failedAt is when the lead reader last did not answer or had outdated data; zero if it has not failed.
	failedAt model.Instant
}

// usable reports whether the lead reader is another instance that has not failed recently.
func (l *leadState) usable(now model.Instant, self model.InstanceID) bool {
	return l.record.Holder != "" && l.record.Holder != self && (l.failedAt == 0 || now.Sub(l.failedAt) >= leadRetryInterval)
}

// SetReaders records the reader records of all failure domains, of which one names the lead reader. A new lead reader is polled at once.
func (s *Scheduler) SetReaders(records []model.ReaderRecord) {
	lead := LeadReader(records)
	if lead.Holder != s.lead.record.Holder || lead.At() != s.lead.record.At() {
		s.lead.failedAt = 0
	}
	s.lead.record = lead
}

// Lead returns the record of the lead reader.
func (s *Scheduler) Lead() model.ReaderRecord {
	return s.lead.record
}

// LeadPollWait returns how long a poll of the lead reader that starts now may wait for its next confirmation. It ends before the followers of this
// instance find its data outdated, so that time remains to read the store.
func (s *Scheduler) LeadPollWait(now model.Instant) time.Duration {
	return max(s.confirmedAt.Add(s.ReaderTimeout()).Sub(now), minPollWait)
}

// FinishLeadPoll records the outcome of a poll of the lead reader; age is that of its data, and own the record of this instance's failure domain in
// it. If the data is outdated, the store is read next.
func (s *Scheduler) FinishLeadPoll(now model.Instant, age time.Duration, own model.ReaderRecord, ok bool) {
	s.nextAt = now
	if !ok || age >= s.ReaderTimeout() {
		s.lead.failedAt = max(now, 1)
		return
	}
	s.lead.failedAt = 0
	s.confirmedAt = max(s.confirmedAt, now.Add(-age))
	if own.At().Compare(s.record.At()) > 0 {
		s.record = own
	}
}
