package relay

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/rotisserie/eris"

	"hawthorncourse/internal/core/fresh"
	"hawthorncourse/internal/core/model"
)

const (
	// minRefreshInterval is the minimum time between two reads that are triggered by packets.
	minRefreshInterval = 300 * time.Millisecond
	// pollJitter spreads the reads of instances that started at the same time.
	pollJitter = 50 * time.Millisecond
	// seedDelay is how long the store may take to answer after the start before seeds are polled.
	seedDelay = 250 * time.Millisecond
	// seedRetryInterval is the time between two rounds of polls of the seeds.
	seedRetryInterval = 500 * time.Millisecond
	// maxVerifyDelay spreads the questions of all instances about a new era of the store. It is below the grace period, in which nothing ends.
	maxVerifyDelay = time.Second
	// readTimeout bounds one read of the store. It exceeds the time that lists of the planned size take over the slowest link, 10 Mbit/s.
	readTimeout = 10 * time.Second
)

// errStoreIdle cancels a read of the store that receives no data within its idle timeout.
var errStoreIdle = eris.New("platform store sent no data within the idle timeout")

// follow keeps the snapshot up to date: it carries out the scheduler's steps until ctx is cancelled.
func (r *Relay) follow(ctx context.Context) error {
	s := r.scheduler
	f := &follower{Relay: r}
	for ctx.Err() == nil {
		f.applyLimits(ctx)
		r.share.SetWantEnded(r.wantsEnded())
		reader := s.ReaderRecord()
		r.reader.Store(&reader)
		r.reading.Store(s.IsReader())
		step, wait := s.Next(r.now())
		r.waitForStep(ctx, wait)
		if ctx.Err() != nil {
			return nil
		}
		wasReader := s.IsReader()
		switch step {
		case fresh.StepPollReader:
			f.pollReader(ctx)
		case fresh.StepPollLead:
			f.pollLead(ctx)
		case fresh.StepClaimRole:
			f.claim(ctx)
		case fresh.StepVerifyEra:
			f.verifyEra(ctx)
		default:
			f.readStore(ctx)
		}
		if s.IsReader() != wasReader {
			record := s.ReaderRecord()
			r.logger("platform").With("reading", s.IsReader()).With("holder", record.Holder).With("era", record.Era).With("revision", record.Revision).With("step", step).
				Info("The reader role of the failure domain has changed; while reading is true, this instance reads the platform's store for the others.")
		}
	}
	return nil
}

// follower is the state of the follow goroutine.
type follower struct {
	*Relay
	// storeDown is set while the store does not answer this instance.
	storeDown bool
	// nextEndedRequest is the earliest time of the next requests for ended runs.
	nextEndedRequest model.Instant
}

// waitForStep waits until the next step is due. A refresh request ends the wait early, but not before minRefreshInterval.
func (r *Relay) waitForStep(ctx context.Context, d time.Duration) {
	if d == 0 {
		return
	}
	minWait := min(d, minRefreshInterval)
	sleep(ctx, minWait)
	t := time.NewTimer(max(d-minWait-rand.N(pollJitter), 0))
	defer t.Stop()
	select {
	case <-t.C:
	case <-r.refresh:
	case <-ctx.Done():
	}
}

// readStore reads the store and reports the outcome to the scheduler. An instance without a snapshot takes it from the reader if there is one.
func (f *follower) readStore(ctx context.Context) {
	start := f.now()
	readCtx, cancel := f.withIdleTimeout(ctx, f.scheduler.StoreTimeout())
	defer cancel()
	if have := f.currentSnapshot(); have.Revision != 0 {
		next, records, err := f.readSnapshot(readCtx, have)
		f.finishStoreRead(ctx, start, next, records, err)
		return
	}
	records, err := countingRead(f.Relay, f.cfg.ReaderRecords.Read)(readCtx)
	if err == nil && f.startFromReader(ctx, f.ownRecord(records.Items, records.Era)) {
		return
	}
	var next model.Snapshot
	if err == nil {
		next, err = f.readFirst(readCtx, records)
	}
	f.finishStoreRead(ctx, start, next, records.Items, err)
}

// finishStoreRead applies what a read of the store that started at start has returned, or records its failure.
func (f *follower) finishStoreRead(ctx context.Context, start model.Instant, next model.Snapshot, records []model.ReaderRecord, err error) {
	now := f.now()
	if ctx.Err() != nil {
		return
	}
	f.logStoreState(err)
	if err != nil {
		f.scheduler.FinishStoreRead(now, start, model.ReaderRecord{}, false)
		return
	}
	next.Age, next.GraceLeft, next.Readers = now.Sub(start), 0, records
	f.applySnapshot(ctx, next, fromStore)
	f.scheduler.FinishStoreRead(now, start, f.ownRecord(records, next.Era), true)
	f.confirmRole(ctx, now, start, records)
	f.requestEnded(ctx, records)
	f.requestRoutes(ctx, records)
}

// confirmRole records that the store confirmed the reader records at the instant at, and assigns this instance an ordinal if it is a reader.
func (f *follower) confirmRole(ctx context.Context, now, at model.Instant, records []model.ReaderRecord) {
	f.scheduler.SetReaders(records)
	f.ordinals.confirm(now, at, f.scheduler.IsReader())
	if f.scheduler.IsReader() {
		f.setOrdinal(ctx, f.ordinals.Ordinal(f.cfg.Instance))
	}
}

// pollLead waits for the next update from the lead reader, which reads the store for the readers of all failure domains.
func (f *follower) pollLead(ctx context.Context) {
	lead := f.scheduler.Lead()
	snap, err := f.share.PollAsReader(ctx, lead.Control, f.currentSnapshot(), f.scheduler.LeadPollWait(f.now()))
	if ctx.Err() != nil {
		return
	}
	defer f.addEnded(ctx)
	now := f.now()
	ok := err == nil && len(snap.Readers) > 0
	if ok {
		ok = f.applyPolled(ctx, snap, fromLead)
	} else {
		f.counts.Counter("platform.lead_failed").Inc(1)
		f.logger("platform").With("holder", lead.Holder).With("error", err).Warn("The lead reader does not answer or is no reader any more; reading the platform's store instead.")
	}
	f.scheduler.FinishLeadPoll(now, snap.Age, f.ownRecord(snap.Readers, snap.Era), ok)
	if ok {
		f.confirmRole(ctx, now, now.Add(-snap.Age), snap.Readers)
	}
}

// setOrdinal makes the engine use an ordinal until it expires; after that it may be assigned to another instance.
func (f *follower) setOrdinal(ctx context.Context, ordinal model.Ordinal) {
	until := f.now().Add(f.ordinals.ordinalTTL())
	f.ordinal.Store(&ordinal)
	f.submit(ctx, func(model.Instant) { f.engine.SetOrdinal(ordinal, until) })
}

// withIdleTimeout returns a context that is cancelled when the store has sent no data for idleTimeout, and in any case after readTimeout.
func (r *Relay) withIdleTimeout(ctx context.Context, idleTimeout time.Duration) (context.Context, context.CancelFunc) {
	ctx, stop := context.WithTimeout(ctx, readTimeout)
	readCtx, cancel := context.WithCancelCause(ctx)
	start := time.Now()
	go func() {
		idle := time.Duration(0)
		for idle < idleTimeout && readCtx.Err() == nil {
			sleep(readCtx, idleTimeout-idle)
			idle = min(r.cfg.SinceStoreResponse(), time.Since(start))
		}
		cancel(errStoreIdle)
	}()
	return readCtx, stop
}

// logStoreState logs when the store stops answering and when it answers again.
func (f *follower) logStoreState(err error) {
	log := f.logger("platform")
	switch {
	case err != nil && !f.storeDown:
		log.With("error", err).Warn("The platform's store does not answer; the last snapshot stays in use.")
	case err == nil && f.storeDown:
		log.Info("The platform's store answers again; the snapshot is being refreshed.")
	}
	f.storeDown = err != nil
}

// ownRecord returns the reader record of this instance's failure domain, given the records that were read in an era.
func (r *Relay) ownRecord(records []model.ReaderRecord, era model.Era) model.ReaderRecord {
	for _, record := range records {
		if record.Domain == r.cfg.Domain {
			return record
		}
	}
	return model.ReaderRecord{Domain: r.cfg.Domain, Era: era}
}

// pollReader waits for the next update from the reader of the failure domain.
func (f *follower) pollReader(ctx context.Context) {
	reader := f.scheduler.ReaderRecord()
	snap, err := f.share.Poll(ctx, reader.Control, f.currentSnapshot(), f.scheduler.PollWait(f.now()))
	if ctx.Err() != nil {
		return
	}
	defer f.addEnded(ctx)
	ok := err == nil && f.applyPolled(ctx, snap, fromReader)
	if err != nil {
		f.counts.Counter("platform.reader_failed").Inc(1)
		f.logger("platform").With("holder", reader.Holder).With("error", err).Warn("The reader of the failure domain does not answer; reading the platform's store instead.")
	}
	f.scheduler.FinishReaderPoll(f.now(), snap.Age, ok)
	if ok {
		f.setOrdinal(ctx, snap.Ordinal)
	}
}

// applyPolled applies the snapshot of a peer. It reports false if the snapshot is of an earlier era than the current one, so that it confirms
// nothing. The store, which has the last word, is asked about an era that only the peer knows so far.
func (f *follower) applyPolled(ctx context.Context, snap model.Snapshot, from snapshotSource) (ok bool) {
	era := f.currentSnapshot().Era
	f.applySnapshot(ctx, snap, from)
	if snap.Era > era {
		f.scheduler.VerifyEra(f.now().Add(rand.N(maxVerifyDelay)))
	}
	return snap.Era >= era
}

// verifyEra asks the store whether it has the era of the current snapshot, and reads it if it does not. One small list tells; the snapshot stays as the
// peer sent it, so that the next polls are answered with changes.
func (f *follower) verifyEra(ctx context.Context) {
	readCtx, cancel := f.withIdleTimeout(ctx, f.scheduler.StoreTimeout())
	defer cancel()
	list, err := countingRead(f.Relay, f.cfg.ReaderRecords.Read)(readCtx)
	f.scheduler.FinishVerifyEra()
	if err == nil && list.Era != f.currentSnapshot().Era {
		f.readStore(ctx)
	}
}

// claim tries to become the reader of the failure domain.
func (f *follower) claim(ctx context.Context) {
	record := f.scheduler.ReaderRecord()
	record.Domain, record.Holder, record.Control = f.cfg.Domain, f.cfg.Instance, f.cfg.Control
	claimCtx, cancel := context.WithTimeout(ctx, f.scheduler.StoreTimeout())
	defer cancel()
	current, err := f.cfg.ReaderRecords.Claim(claimCtx, record)
	if err != nil {
		f.counts.Counter("platform.claim_failed").Inc(1)
		f.logger("platform").With("error", err).Warn("Claiming the role of reader of the failure domain failed; the claim is retried while the role is vacant.")
	} else {
		f.counts.Counter("platform.claims").Inc(1)
	}
	f.scheduler.FinishClaim(f.now(), current, err == nil)
}

// pollSeeds fetches a first snapshot from other instances if the store does not answer at the start. It returns once there is a snapshot.
func (r *Relay) pollSeeds(ctx context.Context) error {
	sleep(ctx, seedDelay)
	for ctx.Err() == nil && r.currentSnapshot().Revision == 0 {
		if r.cfg.SinceStoreResponse() < seedDelay {
			// The store is sending the lists. Its link is faster than that of a seed, which all starting instances poll.
			sleep(ctx, seedDelay)
			continue
		}
		for _, seed := range r.limits.Load().Seeds {
			if seed == r.cfg.Control || r.currentSnapshot().Revision != 0 {
				continue
			}
			snap, err := r.share.Poll(ctx, seed, r.currentSnapshot(), 0)
			if err != nil {
				r.counts.Counter("platform.seed_failed").Inc(1)
				continue
			}
			r.applySnapshot(ctx, snap, fromSeed)
			r.requestEndedFrom(ctx, seed, 0)
		}
		sleep(ctx, seedRetryInterval)
	}
	return nil
}
