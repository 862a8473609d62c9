package relay

import (
	"context"

	"hawthorncourse/internal/base/logs"
	"hawthorncourse/internal/core/model"
)

func (r *Relay) currentSnapshot() model.Snapshot {
	r.snapshotMu.Lock()
	defer r.snapshotMu.Unlock()
	return r.snapshot
}

// snapshotSource says where a snapshot came from; its values occur in logs.
type snapshotSource string

// The sources of snapshots.
const (
	fromStore  snapshotSource = "store"
	fromReader snapshotSource = "reader"
	fromLead   snapshotSource = "lead"
	fromSeed   snapshotSource = "seed"
)

// applySnapshot makes a snapshot current, unless the current one is newer, and publishes it to the instances that poll this one. It reports whether
// it did.
func (r *Relay) applySnapshot(ctx context.Context, snap model.Snapshot, from snapshotSource) (applied bool) {
	r.snapshotMu.Lock()
	defer r.snapshotMu.Unlock()
	if r.outdated(&snap, from) {
		r.logDiscarded(&snap, from)
		return false
	}
	if snap.Era != r.snapshot.Era && r.snapshot.Revision != 0 {
		r.logRestored(&snap, from)
	}
	if snap.Routes.Version < r.snapshot.Routes.Version {
		r.snapshotLogger(&snap, from).With("version", snap.Routes.Version).With("currentVersion", r.snapshot.Routes.Version).
			Warn("The platform's store holds an older route configuration than the active one, which stays active.")
	}
	snap = snap.KeepNewer(r.snapshot)
	arrived := r.now()
	snap.GraceLeft = r.outages.Confirm(arrived, arrived.Add(-snap.Age), snap.Era, snap.GraceLeft)
	digest := snap.Digest()
	newer := digest != r.snapshotDigest
	first := r.snapshot.Revision == 0
	r.snapshot, r.snapshotDigest = snap, digest
	r.revision.Store(uint64(snap.Revision))
	r.era.Store(uint64(snap.Era))
	r.confirmedAt.Store(int64(arrived.Add(-snap.Age)))
	r.share.Publish(snap)
	r.submit(ctx, func(now model.Instant) {
		if snap.GraceLeft > 0 {
			r.engine.Roster().ExtendGrace(now.Add(snap.GraceLeft))
		}
		if newer {
			r.installSnapshot(now, &snap)
		}
		r.engine.Roster().Confirm(now, arrived.Add(-snap.Age))
		r.publishEnded(now)
		if first {
			r.discardStateChanges()
			r.logger("platform").With("upstreams", len(snap.Upstreams.Items)).With("era", snap.Era).With("revision", snap.Revision).With("ageMs", snap.Age.Milliseconds()).
				With("source", from).Info("The first snapshot of the platform's store is complete.")
		}
		r.startServing(ctx, now)
		r.act(ctx, now, r.engine.ReleaseHeld(now))
	})
	return true
}

// outdated reports whether a snapshot is older than the current one; r.snapshotMu must be held. What this instance has read from the store itself is
// never outdated by a snapshot of another era, which may be known from a peer only.
func (r *Relay) outdated(snap *model.Snapshot, from snapshotSource) bool {
	if from == fromStore && snap.Era != r.snapshot.Era {
		return false
	}
	return snap.At().Compare(r.snapshot.At()) < 0
}

// logDiscarded logs and counts a snapshot that is older than the current one; r.snapshotMu must be held.
func (r *Relay) logDiscarded(snap *model.Snapshot, from snapshotSource) {
	r.counts.Counter("platform.snapshots_discarded").Inc(1)
	r.snapshotLogger(snap, from).Info("A snapshot of the platform's store was discarded because the current one is newer.")
}

// logRestored logs that a snapshot is the first one since the store was restored from an older copy; r.snapshotMu must be held.
func (r *Relay) logRestored(snap *model.Snapshot, from snapshotSource) {
	r.counts.Counter("platform.restores").Inc(1)
	r.snapshotLogger(snap, from).Warn("The platform's store was restored from an older copy; changes that it lost take effect again when they are written again.")
}

// snapshotLogger returns a logger with the state and the source of a snapshot and the state of the current one; r.snapshotMu must be held.
func (r *Relay) snapshotLogger(snap *model.Snapshot, from snapshotSource) logs.Logger {
	return r.logger("platform").With("source", from).With("era", snap.Era).With("revision", snap.Revision).With("ageMs", snap.Age.Milliseconds()).
		With("currentEra", r.snapshot.Era).With("currentRevision", r.snapshot.Revision)
}

// discardStateChanges discards the state changes and refused registrations of upstreams that the first read of the registry causes: one log line each would take a
// starting instance longer than the read itself. It runs in the decision loop.
func (r *Relay) discardStateChanges() {
	r.engine.Roster().TakeStateChanges()
	r.engine.Roster().TakeRefusals()
}

// startServing makes the instance ready once it has a route configuration: without one, it would reset flows that others serve. It does nothing after
// that. It runs in the decision loop.
func (r *Relay) startServing(ctx context.Context, now model.Instant) {
	if r.engineReady {
		return
	}
	if !r.engine.HasRoutes() {
		if !r.unconfigured {
			r.unconfigured = true
			r.counts.Counter("relay.unconfigured").Inc(1)
			r.logger("relay").With("revision", r.revision.Load()).
				Error("There is no route configuration that can be read; the instance is not ready, and asks others for theirs.")
		}
		return
	}
	r.engineReady = true
	r.act(ctx, now, r.engine.SetReady(now))
	r.serving.Store(!r.stopping.Load())
	r.logger("relay").With("upstreams", r.engine.Roster().Len()).With("routesRevision", r.engine.Revision()).Info("Instance is ready and serves traffic.")
}

// installSnapshot passes a changed snapshot to the engine. It runs in the decision loop.
func (r *Relay) installSnapshot(now model.Instant, snap *model.Snapshot) {
	r.engine.Roster().SetOut(now, snap.Out, snap.Era)
	if retained := r.engine.Roster().RetainedOut(); len(retained) > 0 {
		r.logger("platform").With("domains", retained).With("era", snap.Era).With("revision", snap.Revision).
			Warn("Failure domains that the restored store does not list stay out of service until operators had time to write again.")
	}
	r.engine.Roster().Sync(now, snap.Upstreams)
	if r.engine.SetRoutes(snap.Routes) {
		r.logger("platform").With("version", snap.Routes.Version).With("revision", snap.Routes.Revision).With("routes", len(snap.Routes.Routes)).
			With("era", snap.Routes.Era).With("age", snap.Age).Info("A new route configuration is active.")
	}
}
