package relay

import (
	"context"
	"net/netip"
	"time"

	"hawthorncourse/internal/core/model"
)

// endedRequestInterval is the time between two requests for ended runs to the readers of the other failure domains, and how long they wait for changes of the
// list. Those readers learn of a later run up to a second after it has registered, and callers repeat their requests after 1.4 s and 3 s.
const endedRequestInterval = time.Second

// publishEnded offers the ended runs that the engine knows to instances that have started recently, if they have changed. It runs in the decision loop.
func (r *Relay) publishEnded(now model.Instant) {
	if len(r.engine.Roster().Gone()) == 0 && r.endedDigest == 0 {
		return
	}
	list := r.engine.Roster().Ended(now)
	if digest := model.EndedDigest(list); digest != r.endedDigest {
		r.endedDigest = digest
		r.share.PublishEnded(list)
	}
}

// addEnded passes the ended runs that peers have sent to the engine, and handles the packets that wait for them.
func (r *Relay) addEnded(ctx context.Context) {
	list := r.share.TakeEnded()
	if len(list) == 0 {
		return
	}
	r.submit(ctx, func(now model.Instant) {
		added := r.engine.Roster().AddEnded(now, list)
		if added > 0 {
			r.counts.Counter("upstream.ended_added").Inc(int64(added))
			r.logger("platform").With("received", len(list)).With("added", added).
				Info("Another instance has sent runs of upstreams that this instance has not seen end.")
		}
		r.publishEnded(now)
		r.act(ctx, now, r.engine.ReleaseHeld(now))
	})
}

// wantsEnded reports whether this instance has run for less than the life of a flow, so that flows may be open at runs that it has not seen end.
func (r *Relay) wantsEnded() bool {
	return time.Duration(r.now()) < r.limits.Load().FlowLife
}

// requestEnded asks the readers of the other failure domains for ended runs, in the background. It does nothing unless this instance is a reader that
// has started recently. The lead reader polls nobody, and the readers that poll it find out up to ten seconds after its start that it is there again.
func (f *follower) requestEnded(ctx context.Context, records []model.ReaderRecord) {
	now := f.now()
	if !f.scheduler.IsReader() || !f.wantsEnded() || now < f.nextEndedRequest {
		return
	}
	// Reads of the store, which start the requests, are up to pollJitter early.
	f.nextEndedRequest = now.Add(endedRequestInterval - 2*pollJitter)
	var polled model.InstanceID
	if f.scheduler.PollsLead(now) {
		polled = f.scheduler.Lead().Holder
	}
	for _, peer := range endedPeers(records, f.cfg.Domain, polled) {
		go f.requestEndedFrom(ctx, peer, endedRequestInterval)
	}
}

// endedPeers returns the readers of the failure domains other than own, except for the one that this instance polls, if any: polls bring its ended runs.
func endedPeers(records []model.ReaderRecord, own model.DomainID, polled model.InstanceID) (peers []netip.AddrPort) {
	for _, record := range records {
		if record.Domain != own && record.Holder != "" && record.Holder != polled {
			peers = append(peers, record.Control)
		}
	}
	return peers
}

// requestEndedFrom asks a peer for ended runs, waits up to wait for a list that this instance lacks, and passes it to the engine.
func (r *Relay) requestEndedFrom(ctx context.Context, peer netip.AddrPort, wait time.Duration) {
	if err := r.share.RequestEnded(ctx, peer, wait); err != nil {
		r.counts.Counter("share.ended_failed").Inc(1)
		return
	}
	r.addEnded(ctx)
}
