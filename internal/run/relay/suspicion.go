package relay

import (
	"context"

	"hawthorncourse/internal/core/model"
)

// collectSuspicions queues the engine's new suspicions for sendSuspicions. It runs in the decision loop and never blocks; a suspicion that
// does not fit into the queue is dropped.
func (r *Relay) collectSuspicions() {
	if susp := r.engine.TakeSuspicion(); !susp.Empty() && !r.suspicions.Offer(susp) {
		r.counts.Counter("share.doubts_dropped").Inc(1)
	}
}

// sendSuspicions sends queued suspicions to the reader, which broadcasts them in the failure domain.
func (r *Relay) sendSuspicions(ctx context.Context) error {
	for {
		susp, ok := r.suspicions.Take(ctx)
		if !ok {
			return nil
		}
		reader := r.reader.Load()
		switch {
		case reader == nil || reader.Holder == "":
		case reader.Holder == r.cfg.Instance:
			r.share.BroadcastSuspicion(susp)
		default:
			if r.share.SendSuspicion(ctx, reader.Control, susp) != nil {
				r.counts.Counter("share.doubts_lost").Inc(1)
			}
		}
	}
}

// handleSuspicion passes a suspicion of another instance to the engine.
func (r *Relay) handleSuspicion(susp model.Suspicion) {
	r.counts.Counter("share.doubts_heard").Inc(1)
	ctx := r.work
	r.submit(ctx, func(now model.Instant) { r.act(ctx, now, r.engine.HandleSuspicion(now, susp)) })
}
