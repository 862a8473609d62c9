package share

import (
	"slices"

	"hawthorncourse/internal/core/model"
)

// stepsKept is how many changes back a caller may be to get only what has changed: half a minute of one change a second.
const stepsKept = 32

// step is what one publication changed, by name.
type step struct {
	// from is the digest of what was known before.
	from uint64
	// upstreams and routes hold what is new or different, goneUpstreams and goneRoutes what vanished.
	upstreams, routes, goneUpstreams, goneRoutes []string
}

// newStep compares two states of knowledge.
func newStep(from, to *model.Snapshot) step {
	s := step{from: from.Digest()}
	was := make(map[model.UpstreamID]model.Revision, len(from.Upstreams.Items))
	for i := range from.Upstreams.Items {
		was[from.Upstreams.Items[i].ID] = from.Upstreams.Items[i].Revision
	}
	for i := range to.Upstreams.Items {
		u := &to.Upstreams.Items[i]
		if rev, known := was[u.ID]; !known || rev != u.Revision {
			s.upstreams = append(s.upstreams, string(u.ID))
		}
		delete(was, u.ID)
	}
	for id := range was {
		s.goneUpstreams = append(s.goneUpstreams, string(id))
	}
	if from.Routes.Revision == to.Routes.Revision {
		return s
	}
	old := make(map[string]*model.Route, len(from.Routes.Routes))
	for i := range from.Routes.Routes {
		old[from.Routes.Routes[i].Name] = &from.Routes.Routes[i]
	}
	for i := range to.Routes.Routes {
		r := &to.Routes.Routes[i]
		if was := old[r.Name]; was == nil || !sameRoute(was, r) {
			s.routes = append(s.routes, r.Name)
		}
		delete(old, r.Name)
	}
	for name := range old {
		s.goneRoutes = append(s.goneRoutes, name)
	}
	return s
}

func sameRoute(a, b *model.Route) bool {
	return a.Address == b.Address && a.Kind == b.Kind && a.Timeout == b.Timeout && slices.Equal(a.Targets, b.Targets)
}

// merge returns what is known after a reply to a caller that knew have.
func merge(have model.Snapshot, reply *NextReply) (k model.Snapshot, err error) {
	told, err := fromWire(reply)
	if err != nil || reply.Scope == scopeAll {
		return told, err
	}
	k = have
	k.Age, k.GraceLeft, k.Ordinal, k.Revision = told.Age, told.GraceLeft, told.Ordinal, max(have.Revision, told.Revision)
	if reply.Scope == scopeNothing {
		return k, nil
	}
	k.Out, k.OutRevision = told.Out, told.OutRevision
	k.Upstreams = model.Listing[model.Registration]{
		Items:      model.Merge(have.Upstreams.Items, told.Upstreams.Items, reply.GoneUpstreams, model.UpstreamName),
		Unreadable: told.Upstreams.Unreadable,
		Revision:   told.Upstreams.Revision,
	}
	k.Routes = told.Routes
	k.Routes.Routes = model.Merge(have.Routes.Routes, told.Routes.Routes, reply.GoneRoutes, model.RouteName)
	return k, nil
}
