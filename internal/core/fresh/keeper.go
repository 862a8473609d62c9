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
	// StepStore reads the platform's store.
	StepStore Step = iota + 1
	// StepReader waits for the next word of the instance that reads for the failure domain.
	StepReader
	// StepClaim tries to become that instance, by a conditional write.
	StepClaim
)

var stepNames = map[Step]string{StepStore: "store", StepReader: "reader", StepClaim: "claim"}

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

// Keeper decides from whom one instance learns what the platform knows. One instance of a failure domain reads the store
// and tells the others, so that calls do not grow with instances. Who reads is an entry in the store; whoever finds the
// reader silent or outdated reads for itself and claims the seat. Two readers at once cost calls and break nothing.
type Keeper struct {
	self model.InstanceID
	pace Pace
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

// KeeperConfig is what a Keeper is built from.
type KeeperConfig struct {
	// Self is this instance.
	Self model.InstanceID
	// Bound is the time in which changes must be in force.
	Bound time.Duration
	// Link is the speed of the instance's own link in Mbit/s; the fastest should read for the others.
	Link float64
}

// NewKeeper returns the keeper of an instance.
func NewKeeper(cfg KeeperConfig) *Keeper {
	return &Keeper{self: cfg.Self, pace: Pace{Bound: cfg.Bound}, delay: claimDelay(cfg.Link)}
}

// claimDelay returns how long an instance leaves a vacant seat to faster ones: what the reader tells goes to all others of
// the failure domain over its own link.
func claimDelay(link float64) time.Duration {
	slowness := 1 - math.Log10(min(max(link, 1), fastestLink))/math.Log10(fastestLink)
	return time.Duration(slowness * float64(slowestClaim))
}

// SetLink replaces the speed of the instance's own link in Mbit/s.
func (k *Keeper) SetLink(mbps float64) {
	k.delay = claimDelay(mbps)
}

// SetBound replaces the time in which changes must be in force; it reports whether that has changed.
func (k *Keeper) SetBound(bound time.Duration) bool {
	changed := k.pace.Bound != bound
	k.pace.Bound = bound
	return changed
}

// Next returns the next step and how long to wait before it.
func (k *Keeper) Next(now model.Instant) (Step, time.Duration) {
	wait := max(k.next.Sub(now), 0)
	switch {
	case !k.read || k.look || k.seat.Holder == k.self:
		return StepStore, wait
	case k.vacant():
		if k.claimed != 0 && now.Sub(k.claimed) < claimPause {
			return StepStore, wait
		}
		if left := k.vacantSince.Add(k.delay).Sub(now); k.delay > 0 && left > 0 {
			return StepStore, left
		}
		return StepClaim, 0
	default:
		return StepReader, wait
	}
}

// vacant reports whether the seat has no holder that is worth asking.
func (k *Keeper) vacant() bool {
	return k.seat.Holder == "" || k.seat.Revision == k.failed
}

// Seat returns the seat as last read.
func (k *Keeper) Seat() model.ReaderRecord {
	return k.seat
}

// Reading reports whether this instance reads for others.
func (k *Keeper) Reading() bool {
	return k.read && k.seat.Holder == k.self
}

// StoreTimeout returns how long a read of the store may take.
func (k *Keeper) StoreTimeout() time.Duration {
	return k.pace.Timeout()
}

// ReaderWait returns how long the reader's next word may take.
func (k *Keeper) ReaderWait() time.Duration {
	return k.pace.Interval() + readerSlack
}

// MaxAge returns how old a reader's own knowledge may be before others look for themselves.
func (k *Keeper) MaxAge() time.Duration {
	return ageIntervals * k.pace.Interval()
}

// StoreRead takes the outcome of a read that began at start.
func (k *Keeper) StoreRead(now, start model.Instant, seat model.ReaderRecord, ok bool) {
	k.next = now.Add(k.pace.Done(ok, now.Sub(start)))
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

// ReaderTold takes the outcome of a question to the reader; age is that of what it knows.
func (k *Keeper) ReaderTold(now model.Instant, age time.Duration, ok bool) {
	k.next = now
	if ok && age <= k.MaxAge() {
		return
	}
	k.failed, k.look = k.seat.Revision, true
}

// Claimed takes the outcome of a claim: the seat as it is now, if the store answered.
func (k *Keeper) Claimed(now model.Instant, seat model.ReaderRecord, ok bool) {
	k.next = now
	if !ok {
		k.claimed = max(now, 1)
		k.next = now.Add(retryPause)
		return
	}
	k.seat, k.claimed, k.vacantSince = seat, 0, 0
}
