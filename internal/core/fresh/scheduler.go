package fresh

import (
	"math"
	"time"

	"hawthorncourse/internal/core/model"
)

// Step is the next action of an instance to refresh its copy of the platform's state.
type Step uint8

// The steps.
const (
	// StepReadStore reads the platform's store.
	StepReadStore Step = iota + 1
	// StepPollReader waits for the next update from the reader of the failure domain.
	StepPollReader
	// StepClaimRole tries to become the reader of the failure domain by a conditional write.
	StepClaimRole
	// StepPollLead waits, as the reader of a failure domain, for the next update from the lead reader.
	StepPollLead
	// StepVerifyEra asks the store for its era, which a peer has reported.
	StepVerifyEra
)

var stepNames = map[Step]string{StepReadStore: "store", StepPollReader: "reader", StepClaimRole: "claim", StepPollLead: "lead", StepVerifyEra: "era"}

// String returns the name of the step.
func (s Step) String() string {
	return stepNames[s]
}

const (
	// readerPollSlack is how much longer than a read interval a poll of the reader may take before it counts as failed.
	readerPollSlack = 400 * time.Millisecond
	// minPollWait exceeds a round trip between two instances and the time that a slow one takes to answer.
	minPollWait = 50 * time.Millisecond
	// maxAgeIntervals is the age, in read intervals, above which the reader's data counts as outdated.
	maxAgeIntervals = 2
	// maxClaimDelay is how long the instance with the slowest link waits before it claims the vacant reader role.
	maxClaimDelay = 600 * time.Millisecond
	// fullSpeedMbps is the link speed in Mbit/s from which on an instance claims the reader role without delay.
	fullSpeedMbps = 1000.0
	// claimRetryDelay is the delay before the reader role is claimed again after a claim without an answer.
	claimRetryDelay = time.Second
)

// Scheduler decides whether an instance next reads the platform's store, polls the reader of its failure domain or claims the reader role.
// One instance per failure domain, the reader, sends updates to the others, so that the number of calls to the store does not grow with the number
// of instances. The readers are named by records in the store. The reader of the first domain, the lead reader, reads the store; those of the
// other domains poll it, and read the store themselves while it does not answer. An instance that finds its reader unresponsive or outdated
// reads the store itself and claims the role. Two readers at the same time cost additional calls but do no harm.
type Scheduler struct {
	self  model.InstanceID
	pacer Pacer
	// record is the reader record as last read; recordRead is set once it has been read.
	record     model.ReaderRecord
	recordRead bool
	// failed is the state of the store in which the record was written whose reader was found unresponsive or outdated; zero if there is none.
	failed model.Position
	// storeNext is set while the store has to be read instead of polling the reader.
	storeNext bool
	// verifyAt is when the store is to be asked for its era; zero if that is not necessary.
	verifyAt model.Instant
	// readerAnswers is set if the reader answered the last poll, if only with outdated data.
	readerAnswers bool
	// awaitReader is set after a failed read of the store while the reader answers: the store probably rejects both, and the reader will pass
	// on what it reads first.
	awaitReader bool
	// claimFailedAt is when the last claim failed for lack of an answer; zero if the last claim was answered.
	claimFailedAt model.Instant
	// claimDelay is how long this instance waits before it claims a vacant role, so that instances with faster links claim it first.
	// vacantSince is when the role was found vacant; zero while it is held.
	claimDelay  time.Duration
	vacantSince model.Instant
	// nextAt is the earliest time of the next step.
	nextAt model.Instant
	// lead is used while this instance is the reader of its failure domain.
	lead leadState
	// confirmedAt is when the store last confirmed the instance's data, as far as this instance knows.
	confirmedAt model.Instant
}

// SchedulerConfig configures a Scheduler.
type SchedulerConfig struct {
	// Self is the ID of this instance.
	Self model.InstanceID
	// MaxStaleness is the time within which a change must take effect.
	MaxStaleness time.Duration
	// LinkMbps is the speed of the instance's own link in Mbit/s; the instance with the fastest link should be the reader. Zero means
	// unknown and counts as the slowest link.
	LinkMbps float64
}

// NewScheduler returns a scheduler whose first step is to read the store.
func NewScheduler(cfg SchedulerConfig) *Scheduler {
	return &Scheduler{self: cfg.Self, pacer: Pacer{MaxStaleness: cfg.MaxStaleness}, claimDelay: claimDelay(cfg.LinkMbps)}
}

// claimDelay returns how long an instance waits before it claims a vacant role. Instances with faster links go first, since the reader
// sends its updates to all others of the failure domain over its own link.
func claimDelay(mbps float64) time.Duration {
	slowness := 1 - math.Log10(min(max(mbps, 1), fullSpeedMbps))/math.Log10(fullSpeedMbps)
	return time.Duration(slowness * float64(maxClaimDelay))
}

// SetLinkMbps replaces the speed of the instance's own link in Mbit/s.
func (s *Scheduler) SetLinkMbps(mbps float64) {
	s.claimDelay = claimDelay(mbps)
}

// SetMaxStaleness replaces the time within which a change must take effect; it reports whether it differs from the previous one.
func (s *Scheduler) SetMaxStaleness(maxStaleness time.Duration) bool {
	changed := s.pacer.MaxStaleness != maxStaleness
	s.pacer.MaxStaleness = maxStaleness
	return changed
}

// Next returns the next step and how long to wait before it.
func (s *Scheduler) Next(now model.Instant) (Step, time.Duration) {
	wait := max(s.nextAt.Sub(now), 0)
	switch {
	case s.verifyAt != 0 && now >= s.verifyAt:
		return StepVerifyEra, 0
	case s.PollsLead(now):
		return StepPollLead, 0
	case !s.recordRead || s.storeNext || s.record.Holder == s.self:
		return StepReadStore, wait
	case s.awaitReader:
		return StepPollReader, 0
	case s.roleVacant():
		return s.nextWhileVacant(now, wait)
	default:
		return StepPollReader, wait
	}
}

// PollsLead reports whether this instance is a reader that gets its data from the lead reader.
func (s *Scheduler) PollsLead(now model.Instant) bool {
	return s.IsReader() && s.confirmedAt != 0 && s.lead.usable(now, s.self)
}

// nextWhileVacant returns the next step while the reader role is vacant; wait is the time to the next read of the store.
func (s *Scheduler) nextWhileVacant(now model.Instant, wait time.Duration) (Step, time.Duration) {
	if s.claimFailedAt != 0 && now.Sub(s.claimFailedAt) < claimRetryDelay {
		return StepReadStore, wait
	}
	if left := s.vacantSince.Add(s.claimDelay).Sub(now); s.claimDelay > 0 && left > 0 {
		return StepReadStore, left
	}
	return StepClaimRole, 0
}

// roleVacant reports whether the reader role has no holder, or one that was found unresponsive or outdated.
func (s *Scheduler) roleVacant() bool {
	return s.record.Holder == "" || s.record.At() == s.failed
}

// ReaderRecord returns the reader record as last read.
func (s *Scheduler) ReaderRecord() model.ReaderRecord {
	return s.record
}

// IsReader reports whether this instance is the reader of its failure domain.
func (s *Scheduler) IsReader() bool {
	return s.recordRead && s.record.Holder == s.self
}

// StoreTimeout returns the timeout of a read of the store.
func (s *Scheduler) StoreTimeout() time.Duration {
	return s.pacer.Timeout()
}

// ReaderTimeout returns the longest time that a poll of the reader may take.
func (s *Scheduler) ReaderTimeout() time.Duration {
	return s.pacer.Interval() + readerPollSlack
}

// PollWait returns how long a poll of the reader that starts now may wait for its next confirmation. It ends when the data that this instance
// has becomes outdated: a reader that is partitioned from the store answers polls, but confirms nothing.
func (s *Scheduler) PollWait(now model.Instant) time.Duration {
	if s.awaitReader {
		return s.ReaderTimeout()
	}
	untilOutdated := s.confirmedAt.Add(s.MaxAge()).Sub(now)
	return min(s.ReaderTimeout(), max(untilOutdated-minPollWait, minPollWait))
}

// MaxAge returns the age above which the reader's data counts as outdated.
func (s *Scheduler) MaxAge() time.Duration {
	return maxAgeIntervals * s.pacer.Interval()
}

// VerifyEra makes StepVerifyEra the next step at the instant at or soon after.
func (s *Scheduler) VerifyEra(at model.Instant) {
	s.verifyAt = max(at, 1)
}

// FinishVerifyEra records that the store was asked for its era. An instance that the store does not answer keeps what it has heard.
func (s *Scheduler) FinishVerifyEra() {
	s.verifyAt = 0
}

// FinishStoreRead records the outcome of a read of the store that started at start.
func (s *Scheduler) FinishStoreRead(now, start model.Instant, record model.ReaderRecord, ok bool) {
	s.nextAt = now.Add(s.pacer.FinishRead(ok, now.Sub(start)))
	if !ok {
		// The reader may have newer data than this instance can read from a store that does not respond to it.
		s.awaitReader = s.recordRead && s.readerAnswers && s.record.Holder != s.self
		s.storeNext = !s.recordRead || (s.roleVacant() && !s.awaitReader)
		return
	}
	s.awaitReader, s.verifyAt = false, 0
	s.record, s.recordRead, s.storeNext = record, true, false
	s.confirmedAt = max(s.confirmedAt, start)
	switch {
	case !s.roleVacant():
		s.vacantSince = 0
	case s.vacantSince == 0:
		s.vacantSince = max(now, 1)
	}
}

// StartFromReader records that the first data came from the reader that the record names; age is that of the data.
func (s *Scheduler) StartFromReader(now model.Instant, record model.ReaderRecord, age time.Duration) {
	s.record, s.recordRead, s.storeNext = record, true, false
	s.nextAt, s.confirmedAt = now, now.Add(-age)
}

// FinishReaderPoll records the outcome of a poll of the reader; age is that of the reader's data.
func (s *Scheduler) FinishReaderPoll(now model.Instant, age time.Duration, ok bool) {
	s.nextAt = now
	s.readerAnswers, s.awaitReader = ok, false
	if ok {
		s.confirmedAt = max(s.confirmedAt, now.Add(-age))
	}
	// Data that would be outdated at the end of the shortest poll counts as outdated already.
	if ok && age+minPollWait < s.MaxAge() {
		if s.record.At() == s.failed {
			// The reader that was outdated has recovered.
			s.failed = model.Position{}
		}
		return
	}
	s.failed, s.storeNext = s.record.At(), true
}

// FinishClaim records the outcome of a claim: the current reader record, or ok false if the store did not answer.
func (s *Scheduler) FinishClaim(now model.Instant, record model.ReaderRecord, ok bool) {
	s.nextAt = now
	if !ok {
		s.claimFailedAt = max(now, 1)
		s.nextAt = now.Add(retryDelay)
		return
	}
	s.record, s.claimFailedAt, s.vacantSince = record, 0, 0
}
