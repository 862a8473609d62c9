package direct

import (
	"hawthorncourse/internal/core/model"
	"hawthorncourse/internal/core/roster"
)

// endReason says why an open flow has ended with the run of its upstream, for a packet of a route; it returns ReasonNone if the flow may still be open
// there. All resets because of an upstream follow from it, whether a packet or a probe asks for them.
//
// The proof is the same for every flow: a later run has taken the place of the upstream, or it is dead (health.Tracker.Dead). Unanswered packets alone prove
// nothing, as an upstream that is full ignores SYNs and lets requests wait. A flow of a registered upstream is only reset if its caller can
// repeat the request, since the verdict of one instance may be due to the path.
func (e *Engine) endReason(now model.Instant, kind model.RouteKind, up *roster.Upstream) model.Reason {
	switch {
	case up.Ended(now):
		return model.ReasonUpstreamGone
	case kind.Idempotent() && up.State != roster.StateGone && !e.cfg.Disabled.Resets && up.Health.Dead(now):
		return model.ReasonUpstreamUnreachable
	default:
		return model.ReasonNone
	}
}
