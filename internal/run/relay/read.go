package relay

import (
	"context"
	"strings"
	"time"

	"github.com/rotisserie/eris"
	"golang.org/x/sync/errgroup"

	"hawthorncourse/internal/core/fresh"
	"hawthorncourse/internal/core/model"
)

const (
	// minCatchUpTimeout is the least time that the store gets to return changes. A call for changes hangs while the store withholds them.
	minCatchUpTimeout = 150 * time.Millisecond
	// catchUpFactor scales the timeout by the duration of the preceding read, for a store that is slow.
	catchUpFactor = 3
)

// errRestored means that the parts of a read show the store before and after it was restored from an older copy.
var errRestored = eris.New("platform store was restored from an older copy during the read")

// readSnapshot returns the current contents of the store, given the contents at an earlier state. It reads the reader records first: their list
// carries the store's state, so nothing else has to be read if that has not changed.
func (r *Relay) readSnapshot(ctx context.Context, have model.Snapshot) (snap model.Snapshot, records []model.ReaderRecord, err error) {
	start := r.now()
	list, err := countingRead(r, r.cfg.ReaderRecords.Read)(ctx)
	if err != nil || list.At() == have.At() {
		return have, list.Items, err
	}
	catchUpCtx, cancel := context.WithTimeout(ctx, max(minCatchUpTimeout, catchUpFactor*r.now().Sub(start)))
	defer cancel()
	snap, ok := r.catchUp(catchUpCtx, have, &list)
	if !ok {
		r.counts.Counter("platform.lists").Inc(1)
		snap, err = r.readAll(ctx, nil)
	}
	if err == nil && snap.Era != list.Era {
		err = errRestored
	}
	snap.Revision = list.Revision
	return snap, list.Items, err
}

// catchUp updates a snapshot by reading only the changes since its revision. Upstreams change far more often than the rest, which is read only
// if their changes and those of the reader records do not account for every new revision. ok is false if the store withholds changes, no longer
// has them or was restored since; everything has to be read then.
func (r *Relay) catchUp(ctx context.Context, have model.Snapshot, records *model.Listing[model.ReaderRecord]) (snap model.Snapshot, ok bool) {
	var upstreams model.Changes[model.Registration]
	var routes model.Changes[model.RouteTable]
	var out model.Changes[model.DomainID]
	if have.Era != records.Era || readChanges(ctx, r, r.cfg.Upstreams, have.At(), &upstreams) != nil {
		return snap, false
	}
	revisions := upstreams.Revisions
	for _, record := range records.Items {
		revisions = append(revisions, record.Revision)
	}
	if fresh.Accounted(have.Revision, records.Revision, revisions) {
		snap = have
		snap.Upstreams = have.Upstreams.Apply(upstreams, model.UpstreamName)
		snap.OutRevision = max(have.OutRevision, records.Revision)
		r.reportUnreadable(len(upstreams.Unreadable), nil)
		return snap, true
	}
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error { return readChanges(ctx, r, r.cfg.Routes, have.At(), &routes) })
	g.Go(func() error { return readChanges(ctx, r, r.cfg.DomainsOut, have.At(), &out) })
	if g.Wait() != nil {
		return snap, false
	}
	newest := max(upstreams.Newest, routes.Newest, out.Newest)
	for _, record := range records.Items {
		newest = max(newest, record.Revision)
	}
	if !fresh.CaughtUp(records.Revision, newest, upstreams.Revision, routes.Revision, out.Revision) {
		return snap, false
	}
	snap = have
	snap.Upstreams = have.Upstreams.Apply(upstreams, model.UpstreamName)
	snap.Out, snap.OutRevision = model.Merge(have.Out, out.Items, out.Deleted, model.DomainName), max(have.OutRevision, out.Revision)
	r.reportUnreadable(len(upstreams.Unreadable), routes.Unreadable)
	if len(routes.Items) > 0 {
		snap.Routes = routes.Items[0]
		r.reportOmitted(&snap.Routes)
	}
	return snap, true
}

// readChanges reads the changes of one kind since a state of the store. It fails with errRestored if they are of another era.
func readChanges[T any](ctx context.Context, r *Relay, s Source[T], after model.Position, into *model.Changes[T]) (err error) {
	*into, err = s.ChangesSince(ctx, after.Revision)
	r.countCall(err)
	if err == nil && into.Era != after.Era {
		err = errRestored
	}
	return err
}

// reportUnreadable counts registrations and route configurations that cannot be parsed, and logs the names of the latter.
func (r *Relay) reportUnreadable(upstreams int, routes []string) {
	r.counts.Counter("platform.unreadable_upstreams").Inc(int64(upstreams))
	if len(routes) > 0 {
		r.counts.Counter("platform.unreadable_routes").Inc(1)
		r.logger("platform").With("names", routes).Error("A new route configuration cannot be parsed; the last valid one stays active.")
	}
}

// maxOmissionLines bounds the lines that one route configuration adds to the log.
const maxOmissionLines = 20

// reportOmitted counts and logs the values of a route configuration that could not be read and were left out. It does nothing if the configuration is in use.
func (r *Relay) reportOmitted(t *model.RouteTable) {
	current := r.currentSnapshot()
	if t.At() == current.Routes.At() {
		return
	}
	for n, o := range t.Omitted {
		r.counts.Counter("platform.omitted." + strings.ReplaceAll(o.Field, "-", "_")).Inc(1)
		if n >= maxOmissionLines {
			continue
		}
		r.logger("platform").With("object", o.Object).With("field", o.Field).With("error", o.Reason).With("version", t.Version).With("partial", t.Partial).
			Error("A value of the route configuration cannot be read and was left out; the rest takes effect. While partial is true, routes are missing.")
	}
}

// readAll reads the complete lists of upstreams, routes and failure domains in parallel. The snapshot's revision is the oldest of theirs. It fails
// with errRestored if they are of different eras.
// If b is not nil, the lists may be seconds old, and the parts also go to b as they arrive.
func (r *Relay) readAll(ctx context.Context, b *bootstrap) (snap model.Snapshot, err error) {
	snap.Routes = r.currentSnapshot().Routes
	var routesAt, outAt model.Position
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() (err error) {
		snap.Upstreams, err = readList(ctx, r, r.cfg.Upstreams, b, b.upstreams)
		r.reportUnreadable(len(snap.Upstreams.Unreadable), nil)
		return err
	})
	g.Go(func() error {
		list, err := readList(ctx, r, r.cfg.Routes, b, func([]model.RouteTable, model.Position) {})
		routesAt = list.At()
		if len(list.Items) > 0 {
			snap.Routes = list.Items[0]
			r.reportOmitted(&snap.Routes)
			b.routes(list.Items[0], list.At())
		}
		r.reportUnreadable(0, list.Unreadable)
		return err
	})
	g.Go(func() error {
		list, err := readList(ctx, r, r.cfg.DomainsOut, b, func([]model.DomainID, model.Position) {})
		snap.Out, snap.OutRevision, outAt = list.Items, list.Revision, list.At()
		if err == nil {
			b.domainsOut(list.Items, list.At())
		}
		return err
	})
	err = g.Wait()
	if err == nil && (routesAt.Era != snap.Upstreams.Era || outAt.Era != snap.Upstreams.Era) {
		err = errRestored
	}
	snap.Revision, snap.Era = min(snap.Upstreams.Revision, routesAt.Revision, outAt.Revision), snap.Upstreams.Era
	return snap, err
}

// readList reads the list of one kind, in a state that may be old if b is not nil.
func readList[T any](ctx context.Context, r *Relay, s Source[T], b *bootstrap, onPage func([]T, model.Position)) (model.Listing[T], error) {
	if b == nil {
		return countingRead(r, s.Read)(ctx)
	}
	return countingRead(r, func(ctx context.Context) (model.Listing[T], error) { return s.ReadStale(ctx, onPage) })(ctx)
}

// countingRead wraps a read so that its outcome is counted.
func countingRead[T any](r *Relay, read func(context.Context) (model.Listing[T], error)) func(context.Context) (model.Listing[T], error) {
	return func(ctx context.Context) (model.Listing[T], error) {
		list, err := read(ctx)
		r.countCall(err)
		return list, err
	}
}

// countCall counts a call to the store by its outcome.
func (r *Relay) countCall(err error) {
	if err != nil {
		r.counts.Counter("platform.calls.failed").Inc(1)
		return
	}
	r.counts.Counter("platform.calls.done").Inc(1)
}
