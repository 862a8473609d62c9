package fresh_test

import (
	"time"

	"hawthorncourse/internal/core/fresh"
	"hawthorncourse/internal/core/model"
)

// simulation drives a scheduler in virtual time, with a store and a peer that the instance polls: its reader or the lead reader.
type simulation struct {
	s *fresh.Scheduler
	// record is the reader record of the instance's failure domain in the store, and readers those of all domains, if the test uses them.
	record  model.ReaderRecord
	readers []model.ReaderRecord
	// store reports whether the store answers the instance, peerStore whether it answers the peer, and peerAnswers whether the peer answers polls.
	store, peerStore, peerAnswers func(now model.Instant) bool

	// confirmedAt and peerConfirmedAt are when the store last confirmed the data of the instance and of the peer.
	confirmedAt, peerConfirmedAt model.Instant
	// pollEnd is when the present poll ends at the latest; zero while there is none.
	pollEnd model.Instant

	// maxAge is the largest age of the instance's data; reads, failedReads and claims count its calls to the store.
	maxAge                     time.Duration
	reads, failedReads, claims int
}

// newSimulation returns a simulation without faults.
func newSimulation(record model.ReaderRecord) *simulation {
	return &simulation{
		s:      fresh.NewScheduler(fresh.SchedulerConfig{Self: "a", MaxStaleness: maxStaleness, LinkMbps: 1000}),
		record: record, store: always, peerStore: always, peerAnswers: always,
	}
}

// run simulates the time until the instant. The peer reads the store once a second.
func (m *simulation) run(until model.Instant) {
	const tick = 10 * time.Millisecond
	nextAt := model.Instant(0)
	for now := model.Instant(tick); now < until; now = now.Add(tick) {
		if m.peerAnswers(now) && m.peerStore(now) && now%model.Instant(time.Second) == 0 {
			m.peerConfirmedAt = now
		}
		if m.confirmedAt > 0 {
			m.maxAge = max(m.maxAge, now.Sub(m.confirmedAt))
		}
		if now < nextAt {
			continue
		}
		step, wait := m.s.Next(now)
		if wait > 0 {
			nextAt = now.Add(wait)
			continue
		}
		m.take(now, step)
	}
}

// take carries out one step; a poll may take several ticks.
func (m *simulation) take(now model.Instant, step fresh.Step) {
	switch step {
	case fresh.StepReadStore:
		m.readStore(now)
	case fresh.StepClaimRole:
		m.claims++
		m.record = mine
		m.record.Revision = 9
		m.s.FinishClaim(now, m.record, m.store(now))
	case fresh.StepPollLead:
		if answered, done := m.poll(now, m.s.LeadPollWait); done {
			m.s.FinishLeadPoll(now, now.Sub(m.peerConfirmedAt), m.record, answered)
		}
	default:
		if answered, done := m.poll(now, m.s.PollWait); done {
			m.s.FinishReaderPoll(now, now.Sub(m.peerConfirmedAt), answered)
		}
	}
}

func (m *simulation) readStore(now model.Instant) {
	ok := m.store(now)
	m.s.FinishStoreRead(now, now, m.record, ok)
	if !ok {
		m.failedReads++
		return
	}
	m.reads++
	m.confirmedAt = now
	m.s.SetReaders(m.readers)
}

// poll starts or continues a poll of the peer; done is set when it has ended, and answered whether the peer answered.
func (m *simulation) poll(now model.Instant, wait func(model.Instant) time.Duration) (answered, done bool) {
	if m.pollEnd == 0 {
		m.pollEnd = now.Add(wait(now))
	}
	published := m.peerConfirmedAt > m.confirmedAt
	if !published && now < m.pollEnd {
		return false, false
	}
	m.pollEnd = 0
	m.confirmedAt = max(m.confirmedAt, m.peerConfirmedAt)
	return published || m.peerAnswers(now), true
}
