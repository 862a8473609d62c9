package direct

import (
	"cmp"
	"slices"

	"hawthorncourse/internal/core/model"
)

// View returns the state of every upstream as seen by this instance, sorted by ID.
func (e *Engine) View(now model.Instant) []model.DirectView {
	views := make([]model.DirectView, 0, len(e.roster.All()))
	for _, u := range e.roster.All() {
		views = append(views, model.DirectView{
			ID:         u.ID,
			Service:    u.Service,
			Domain:     u.Domain,
			Address:    u.Address,
			State:      u.State.String(),
			Draining:   u.Draining,
			Cold:       u.Cold(now),
			Reachable:  e.reachable(u),
			Running:    u.Load.Running,
			Flows:      u.Load.Flows,
			AnswerTime: u.Load.AnswerTime(),
		})
	}
	slices.SortFunc(views, func(a, b model.DirectView) int { return cmp.Compare(a.ID, b.ID) })
	return views
}
