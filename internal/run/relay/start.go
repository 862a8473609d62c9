package relay

import (
	"context"
	"time"

	"hawthorncourse/internal/core/model"
)

const (
	// readerConnectTimeout is how long a starting instance waits for a connection to the reader; one that runs accepts it within a round trip.
	readerConnectTimeout = 20 * time.Millisecond
	// readerStartTimeout is how long a starting instance waits for the reader's snapshot, which takes 30 ms over a link of 20 Mbit/s.
	readerStartTimeout = 100 * time.Millisecond
)

// startFromReader fetches the first snapshot from the reader of the failure domain, which costs the store no call. It reports false if there is
// no reader or if it does not answer at once, as after an outage of all instances.
func (f *follower) startFromReader(ctx context.Context, record model.ReaderRecord) bool {
	if record.Holder == "" || record.Holder == f.cfg.Instance {
		return false
	}
	connectCtx, cancel := context.WithTimeout(ctx, readerConnectTimeout)
	defer cancel()
	if err := f.share.Connect(connectCtx, record.Control); err != nil {
		f.logger("platform").With("holder", record.Holder).With("error", err).Info("The reader of the failure domain is not reachable at the start; reading the platform's store.")
		return false
	}
	pollCtx, cancel := context.WithTimeout(ctx, readerStartTimeout)
	defer cancel()
	snap, err := f.share.Poll(pollCtx, record.Control, model.Snapshot{}, 0)
	if err != nil || snap.Age > f.scheduler.MaxAge() || snap.Era != record.Era {
		f.logger("platform").With("holder", record.Holder).With("error", err).With("ageMs", snap.Age.Milliseconds()).With("era", snap.Era).With("storeEra", record.Era).
			Info("The reader of the failure domain has no recent snapshot; reading the platform's store.")
		return false
	}
	f.counts.Counter("platform.started_from_reader").Inc(1)
	f.applySnapshot(ctx, snap, fromReader)
	f.scheduler.StartFromReader(f.now(), record, snap.Age)
	f.setOrdinal(ctx, snap.Ordinal)
	return true
}

// readFirst reads the first snapshot, given a list of the reader records that was read just before. It reads lists that may be seconds old, which
// cost a tenth, and serves from them as soon as they are not older than the records; otherwise it adds the changes since.
func (r *Relay) readFirst(ctx context.Context, records model.Listing[model.ReaderRecord]) (snap model.Snapshot, err error) {
	snap, err = r.readAll(ctx, &bootstrap{relay: r, ctx: ctx, current: records.At()})
	if err != nil || snap.At().Compare(records.At()) >= 0 {
		return snap, err
	}
	r.counts.Counter("platform.stale_at_start").Inc(1)
	snap, _, err = r.readSnapshot(ctx, snap)
	return snap, err
}
