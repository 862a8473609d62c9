package relay

import (
	"context"
	"net/netip"
	"slices"

	"hawthorncourse/internal/core/model"
)

// requestRoutes asks other instances for the route configuration that they use, in the background, if that of the store cannot be read and this instance has
// none from before.
func (f *follower) requestRoutes(ctx context.Context, records []model.ReaderRecord) {
	if current := f.currentSnapshot(); current.Routes.Version != 0 || !f.requestingRoutes.CompareAndSwap(false, true) {
		return
	}
	peers := f.routePeers(records)
	go func() {
		defer f.requestingRoutes.Store(false)
		for _, peer := range peers {
			snap, err := f.share.PollAsReader(ctx, peer, model.Snapshot{}, 0)
			if err == nil && f.adoptRoutes(ctx, snap.Routes) {
				return
			}
		}
		f.counts.Counter("platform.routes_request_failed").Inc(1)
	}()
}

// routePeers returns the readers of all failure domains and the seeds, but for this instance, each once.
func (r *Relay) routePeers(records []model.ReaderRecord) (peers []netip.AddrPort) {
	for _, record := range records {
		if record.Holder != "" && record.Holder != r.cfg.Instance {
			peers = append(peers, record.Control)
		}
	}
	for _, seed := range r.limits.Load().Seeds {
		if seed != r.cfg.Control && !slices.Contains(peers, seed) {
			peers = append(peers, seed)
		}
	}
	return peers
}

// adoptRoutes makes the route configuration of another instance current if it is newer than that of this one, and reports whether it did.
func (r *Relay) adoptRoutes(ctx context.Context, t model.RouteTable) bool {
	r.snapshotMu.Lock()
	defer r.snapshotMu.Unlock()
	if r.snapshot.Revision == 0 || !t.NewerThan(&r.snapshot.Routes) {
		return false
	}
	r.snapshot.Routes = t
	r.snapshotDigest = r.snapshot.Digest()
	snap := r.snapshot
	snap.Age = r.snapshotAge(r.now())
	r.share.Publish(snap)
	r.counts.Counter("platform.routes_adopted").Inc(1)
	r.logger("platform").With("version", t.Version).With("routes", len(t.Routes)).Warn("The route configuration of another instance is used, as that of the store cannot be read.")
	r.submit(ctx, func(now model.Instant) {
		r.engine.SetRoutes(t)
		r.startServing(ctx, now)
		r.act(ctx, now, r.engine.ReleaseHeld(now))
	})
	return true
}
