package relay

import (
	"context"

	"hawthorncourse/internal/core/model"
)

// collectDoubts gives what the engine found silent to the duty that tells others; it is called by the decide duty and never waits.
func (r *Relay) collectDoubts() {
	if d := r.engine.TakeSuspicion(); !d.Empty() && !r.doubts.Offer(d) {
		r.counts.Counter("share.doubts_dropped").Inc(1)
	}
}

// tellDoubts is the duty that tells others what this instance found silent, by way of the instance that reads for the failure domain.
func (r *Relay) tellDoubts(ctx context.Context) error {
	for {
		d, ok := r.doubts.Take(ctx)
		if !ok {
			return nil
		}
		seat := r.seat.Load()
		switch {
		case seat == nil || seat.Holder == "":
		case seat.Holder == r.cfg.Instance:
			r.share.BroadcastSuspicion(d)
		default:
			if r.share.SendSuspicion(ctx, seat.Control, d) != nil {
				r.counts.Counter("share.doubts_lost").Inc(1)
			}
		}
	}
}

// hearDoubt takes what another instance found silent.
func (r *Relay) hearDoubt(d model.Suspicion) {
	r.counts.Counter("share.doubts_heard").Inc(1)
	ctx := r.work
	r.do(ctx, func(now model.Instant) { r.act(ctx, now, r.engine.HandleSuspicion(now, d)) })
}
