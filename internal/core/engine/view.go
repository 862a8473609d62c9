package engine

import (
	"cmp"
	"slices"

	"hawthorncourse/internal/core/model"
)

// View returns what this instance believes of each upstream, by name.
func (e *Engine) View(now model.Instant) []model.UpstreamView {
	views := make([]model.UpstreamView, 0, len(e.upstreams))
	for _, up := range e.upstreams {
		lease := e.doc.Timing.WarmLease
		views = append(views, model.UpstreamView{
			ID:              up.cfg.ID,
			Service:         up.service.cfg.ID,
			Domain:          up.cfg.Domain,
			Owned:           up.share.Owned(),
			Limit:           up.limit(now, lease),
			Running:         up.running,
			Streams:         up.streams,
			Cold:            now < up.coldUntil,
			StartUnverified: up.unsure(now, lease),
			NoNewWork:       up.closed(),
		})
	}
	slices.SortFunc(views, func(a, b model.UpstreamView) int { return cmp.Compare(a.ID, b.ID) })
	return views
}
