package share

import (
	"slices"

	"hawthorncourse/internal/core/model"
)

// maxDeltas is the number of publications that a caller may have missed without needing a full reply: half a minute at one change per second.
const maxDeltas = 32

// delta holds the names of the upstreams and routes that one publication changed.
type delta struct {
	// from is the digest of the snapshot before the publication.
	from uint64
	// upstreams and routes hold the new and changed ones, deletedUpstreams and deletedRoutes the deleted ones.
	upstreams, routes, deletedUpstreams, deletedRoutes []string
}

// newDelta compares two snapshots by content: a revision may stand for another content after a restore of the store.
func newDelta(from, to *model.Snapshot) delta {
	d := delta{from: from.Digest()}
	before := make(map[model.UpstreamID]*model.Registration, len(from.Upstreams.Items))
	for i := range from.Upstreams.Items {
		before[from.Upstreams.Items[i].ID] = &from.Upstreams.Items[i]
	}
	for i := range to.Upstreams.Items {
		u := &to.Upstreams.Items[i]
		if old := before[u.ID]; old == nil || *old != *u {
			d.upstreams = append(d.upstreams, string(u.ID))
		}
		delete(before, u.ID)
	}
	for id := range before {
		d.deletedUpstreams = append(d.deletedUpstreams, string(id))
	}
	if from.Routes.At() == to.Routes.At() {
		return d
	}
	old := make(map[string]*model.Route, len(from.Routes.Routes))
	for i := range from.Routes.Routes {
		old[from.Routes.Routes[i].Name] = &from.Routes.Routes[i]
	}
	for i := range to.Routes.Routes {
		r := &to.Routes.Routes[i]
		if before := old[r.Name]; before == nil || !sameRoute(before, r) {
			d.routes = append(d.routes, r.Name)
		}
		delete(old, r.Name)
	}
	for name := range old {
		d.deletedRoutes = append(d.deletedRoutes, name)
	}
	return d
}

func sameRoute(a, b *model.Route) bool {
	return a.Address == b.Address && a.Kind == b.Kind && a.Timeout == b.Timeout && a.Priority == b.Priority && a.Target == b.Target &&
		slices.Equal(a.Targets, b.Targets)
}

// merge applies a reply to have, the snapshot that the caller sent the digest of.
func merge(have model.Snapshot, reply *NextReply) (snap model.Snapshot, err error) {
	received, err := fromWire(reply)
	if err != nil || reply.Scope == scopeAll {
		return received, err
	}
	snap = have
	snap.Readers = received.Readers
	snap.Age, snap.GraceLeft, snap.Ordinal = received.Age, received.GraceLeft, received.Ordinal
	if received.At().Compare(have.At()) > 0 {
		snap.Era, snap.Revision = received.Era, received.Revision
	}
	if reply.Scope == scopeNothing {
		return snap, nil
	}
	snap.Out, snap.OutRevision = received.Out, received.OutRevision
	snap.Upstreams = model.Listing[model.Registration]{
		Items:      model.Merge(have.Upstreams.Items, received.Upstreams.Items, reply.GoneUpstreams, model.UpstreamName),
		Unreadable: received.Upstreams.Unreadable,
		Revision:   received.Upstreams.Revision,
		Era:        received.Upstreams.Era,
	}
	snap.Routes = received.Routes
	snap.Routes.Routes = model.Merge(have.Routes.Routes, received.Routes.Routes, reply.GoneRoutes, model.RouteName)
	return snap, nil
}
