package engine

import (
	"cmp"
	"slices"

	"hawthorncourse/internal/core/model"
)

// View returns this instance's view of each upstream, ordered by ID.
func (e *Engine) View(now model.Instant) []model.UpstreamView {
	views := make([]model.UpstreamView, 0, len(e.upstreams))
	for _, up := range e.upstreams {
		lease := e.doc.Timing.WarmLease
		views = append(views, model.UpstreamView{
			ID:              up.cfg.ID,
			Service:         up.service.cfg.ID,
			Domain:          up.cfg.Domain,
			Owned:           up.allocation.Owned(),
			Limit:           up.requestLimit(now, lease),
			Running:         up.running,
			Streams:         up.streams,
			Cold:            now < up.coldUntil,
			StartUnverified: up.unconfirmed(now, lease),
			NoNewWork:       up.noNewWork(),
		})
	}
	slices.SortFunc(views, func(a, b model.UpstreamView) int { return cmp.Compare(a.ID, b.ID) })
	return views
}
