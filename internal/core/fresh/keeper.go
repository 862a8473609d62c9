package fresh

import (
	"math"
	"time"

	"hawthorncourse/internal/core/model"
)

// Step is what an instance does next to keep its knowledge young.
type Step uint8

// The steps.
const (
	// StepReadStore reads the platform's store.
	StepReadStore Step = iota + 1
	// StepPollReader waits for the next word of the instance that reads for the failure domain.
	StepPollReader
	// StepClaimRole tries to become that instance, by a conditional write.
	StepClaimRole
)

var stepNames = map[Step]string{StepReadStore: "store", StepPollReader: "reader", StepClaimRole: "claim"}

// String returns the step's name.
func (s Step) String() string {
	return stepNames[s]
}

const (
	// readerSlack is how much later than its rhythm a reader's word may come before it counts as failed.
	readerSlack = 400 * time.Millisecond
	// ageIntervals is how many intervals old a reader's own knowledge may be before others look for themselves.
	ageIntervals = 2
	// slowestClaim is how long the instance with the slowest link leaves a vacant seat to others.
	slowestClaim = 600 * time.Millisecond
	// fastestLink is the link, in Mbit/s, from which on an instance claims at once.
	fastestLink = 1000.0
	// claimPause separates two attempts to take a seat that failed without an answer.
	claimPause = time.Second
)

// Scheduler decides from whom one instance learns what the platform knows. One instance of a failure domain reads the store
// and tells the others, so that calls do not grow with instances. Who reads is an entry in the store; whoever finds the
// reader silent or outdated reads for itself and claims the seat. Two readers at once cost calls and break nothing.
type Scheduler struct {
	self model.InstanceID
	pace Pacer
	// seat is as last read; read tells whether it ever was.
	seat model.ReaderRecord
	read bool
	// failed is the seat's revision whose holder was found silent or outdated.
	failed model.Revision
	// look is set while the store is to be read in place of asking the reader.
	look bool
	// claimed is when the seat was last claimed without an answer.
	claimed model.Instant
	// delay is how long a vacant seat is left to others, and vacantSince when it was found vacant; zero while it is not.
	delay       time.Duration
	vacantSince model.Instant
	// next is when the next step is due.
	next model.Instant
}

// SchedulerConfig is what a Keeper is built from.
type SchedulerConfig struct {
	// Self is this instance.
	Self model.InstanceID
	// MaxStaleness is the time in which changes must be in force.
	MaxStaleness time.Duration
	// LinkMbps is the speed of the instance's own link in Mbit/s; the fastest should read for the others.
	LinkMbps float64
}

// NewScheduler returns the keeper of an instance.
func NewScheduler(cfg SchedulerConfig) *Scheduler {
	return &Scheduler{self: cfg.Self, pace: Pacer{MaxStaleness: cfg.MaxStaleness}, delay: claimDelay(cfg.LinkMbps)}
}

// claimDelay returns how long an instance leaves a vacant seat to faster ones: what the reader tells goes to all others of
// the failure domain over its own link.
func claimDelay(link float64) time.Duration {
	slowness := 1 - math.Log10(min(max(link, 1), fastestLink))/math.Log10(fastestLink)
	return time.Duration(slowness * float64(slowestClaim))
}

// SetLinkMbps replaces the speed of the instance's own link in Mbit/s.
func (k *Scheduler) SetLinkMbps(mbps float64) {
	k.delay = claimDelay(mbps)
}

// SetMaxStaleness replaces the time in which changes must be in force; it reports whether that has changed.
func (k *Scheduler) SetMaxStaleness(bound time.Duration) bool {
	changed := k.pace.MaxStaleness != bound
	k.pace.MaxStaleness = bound
	return changed
}

// Next returns the next step and how long to wait before it.
func (k *Scheduler) Next(now model.Instant) (Step, time.Duration) {
	wait := max(k.next.Sub(now), 0)
	switch {
	case !k.read || k.look || k.seat.Holder == k.self:
		return StepReadStore, wait
	case k.vacant():
		if k.claimed != 0 && now.Sub(k.claimed) < claimPause {
			return StepReadStore, wait
		}
		if left := k.vacantSince.Add(k.delay).Sub(now); k.delay > 0 && left > 0 {
			return StepReadStore, left
		}
		return StepClaimRole, 0
	default:
		return StepPollReader, wait
	}
}

// vacant reports whether the seat has no holder that is worth asking.
func (k *Scheduler) vacant() bool {
	return k.seat.Holder == "" || k.seat.Revision == k.failed
}

// ReaderRecord returns the seat as last read.
func (k *Scheduler) ReaderRecord() model.ReaderRecord {
	return k.seat
}

// IsReader reports whether this instance reads for others.
func (k *Scheduler) IsReader() bool {
	return k.read && k.seat.Holder == k.self
}

// StoreTimeout returns how long a read of the store may take.
func (k *Scheduler) StoreTimeout() time.Duration {
	return k.pace.Timeout()
}

// ReaderTimeout returns how long the reader's next word may take.
func (k *Scheduler) ReaderTimeout() time.Duration {
	return k.pace.Interval() + readerSlack
}

// MaxAge returns how old a reader's own knowledge may be before others look for themselves.
func (k *Scheduler) MaxAge() time.Duration {
	return ageIntervals * k.pace.Interval()
}

// FinishStoreRead takes the outcome of a read that began at start.
func (k *Scheduler) FinishStoreRead(now, start model.Instant, seat model.ReaderRecord, ok bool) {
	k.next = now.Add(k.pace.FinishRead(ok, now.Sub(start)))
	if !ok {
		// The reader may know more than a store that does not answer here.
		k.look = !k.read || k.vacant()
		return
	}
	k.seat, k.read, k.look = seat, true, false
	switch {
	case !k.vacant():
		k.vacantSince = 0
	case k.vacantSince == 0:
		k.vacantSince = max(now, 1)
	}
}

// FinishReaderPoll takes the outcome of a question to the reader; age is that of what it knows.
func (k *Scheduler) FinishReaderPoll(now model.Instant, age time.Duration, ok bool) {
	k.next = now
	if ok && age <= k.MaxAge() {
		return
	}
	k.failed, k.look = k.seat.Revision, true
}

// FinishClaim takes the outcome of a claim: the seat as it is now, if the store answered.
func (k *Scheduler) FinishClaim(now model.Instant, seat model.ReaderRecord, ok bool) {
	k.next = now
	if !ok {
		k.claimed = max(now, 1)
		k.next = now.Add(retryPause)
		return
	}
	k.seat, k.claimed, k.vacantSince = seat, 0, 0
}
