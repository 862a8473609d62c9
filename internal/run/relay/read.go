package relay

import (
	"context"
	"time"

	"golang.org/x/sync/errgroup"

	"hawthorncourse/internal/core/fresh"
	"hawthorncourse/internal/core/model"
)

const (
	// catchUpPatience is how long the store may take to tell what has changed: while it says nothing of changes, the call hangs.
	catchUpPatience = 150 * time.Millisecond
	// catchUpFactor is how much longer than the read before it may take, from a store that is slow.
	catchUpFactor = 3
)

// readKnowledge returns what the store holds now.
func (r *Relay) readKnowledge(ctx context.Context) (k model.Snapshot, seats []model.ReaderRecord, err error) {
	have := r.knowledge()
	if have.Revision == 0 {
		// Nothing is known yet: all kinds are read at once, to serve soon.
		g, work := errgroup.WithContext(ctx)
		var list model.Listing[model.ReaderRecord]
		g.Go(func() (err error) {
			list, err = counted(r, r.cfg.ReaderRecords.Read)(work)
			return err
		})
		g.Go(func() (err error) {
			k, err = r.readParts(work, &opening{relay: r, ctx: ctx})
			return err
		})
		err = g.Wait()
		// Every part may be older than the others: the next read goes on from the oldest.
		k.Revision = min(list.Revision, k.Revision)
		return k, list.Items, err
	}
	start := r.now()
	list, err := counted(r, r.cfg.ReaderRecords.Read)(ctx)
	if err != nil || list.Revision == have.Revision {
		return have, list.Items, err
	}
	patience, cancel := context.WithTimeout(ctx, max(catchUpPatience, catchUpFactor*r.now().Sub(start)))
	defer cancel()
	k, ok := r.catchUp(patience, have, &list)
	if !ok {
		r.counts.Counter("platform.lists").Inc(1)
		k, err = r.readParts(ctx, nil)
	}
	k.Revision = list.Revision
	return k, list.Items, err
}

// catchUp reads only what has changed since what is known. The store may say nothing of changes for a while, or have
// forgotten them; ok is false then, and everything has to be read.
func (r *Relay) catchUp(ctx context.Context, have model.Snapshot, seats *model.Listing[model.ReaderRecord]) (k model.Snapshot, ok bool) {
	var upstreams model.Changes[model.Registration]
	var routes model.Changes[model.RouteTable]
	var out model.Changes[model.DomainID]
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error { return since(ctx, r, r.cfg.Upstreams, have.Revision, &upstreams) })
	g.Go(func() error { return since(ctx, r, r.cfg.Routes, have.Revision, &routes) })
	g.Go(func() error { return since(ctx, r, r.cfg.DomainsOut, have.Revision, &out) })
	if g.Wait() != nil {
		return k, false
	}
	newest := max(upstreams.Newest, routes.Newest, out.Newest)
	for _, s := range seats.Items {
		newest = max(newest, s.Revision)
	}
	if !fresh.CaughtUp(seats.Revision, newest, upstreams.Revision, routes.Revision, out.Revision) {
		return k, false
	}
	k = have
	k.Upstreams = have.Upstreams.Apply(upstreams, model.UpstreamName)
	k.Out, k.OutRevision = model.Merge(have.Out, out.Items, out.Deleted, model.DomainName), max(have.OutRevision, out.Revision)
	r.noteUnreadable(len(upstreams.Unreadable), routes.Unreadable)
	if len(routes.Items) > 0 {
		k.Routes = routes.Items[0]
	}
	return k, true
}

// since reads the changes of one kind.
func since[T any](ctx context.Context, r *Relay, s Source[T], after model.Revision, into *model.Changes[T]) (err error) {
	*into, err = s.ChangesSince(ctx, after)
	r.countCall(err)
	return err
}

// noteUnreadable counts what could not be understood.
func (r *Relay) noteUnreadable(upstreams int, routes []string) {
	r.counts.Counter("platform.unreadable_upstreams").Inc(int64(upstreams))
	if len(routes) > 0 {
		r.counts.Counter("platform.unreadable_routes").Inc(1)
		r.part("platform").With("names", routes).Error("A configuration cannot be read, the last good one stays in force.")
	}
}

// readParts reads upstreams, routes and failure domains at once; the revision is that up to which all are complete. The instance may
// serve as soon as the opening has enough of them.
func (r *Relay) readParts(ctx context.Context, o *opening) (k model.Snapshot, err error) {
	k.Routes = r.knowledge().Routes
	var routesAt model.Revision
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() (err error) {
		read := r.cfg.Upstreams.Read
		if o != nil {
			read = func(ctx context.Context) (model.Listing[model.Registration], error) {
				return r.cfg.Upstreams.ReadPaged(ctx, o.upstreams)
			}
		}
		k.Upstreams, err = counted(r, read)(ctx)
		r.noteUnreadable(len(k.Upstreams.Unreadable), nil)
		return err
	})
	g.Go(func() error {
		list, err := counted(r, r.cfg.Routes.Read)(ctx)
		routesAt = list.Revision
		if len(list.Items) > 0 {
			k.Routes = list.Items[0]
			o.routes(list.Items[0])
		}
		r.noteUnreadable(0, list.Unreadable)
		return err
	})
	g.Go(func() error {
		list, err := counted(r, r.cfg.DomainsOut.Read)(ctx)
		k.Out, k.OutRevision = list.Items, list.Revision
		if err == nil {
			o.domainsOut(list.Items)
		}
		return err
	})
	err = g.Wait()
	k.Revision = min(k.Upstreams.Revision, routesAt, k.OutRevision)
	return k, err
}

// counted counts the outcomes of a read.
func counted[T any](r *Relay, read func(context.Context) (model.Listing[T], error)) func(context.Context) (model.Listing[T], error) {
	return func(ctx context.Context) (model.Listing[T], error) {
		list, err := read(ctx)
		r.countCall(err)
		return list, err
	}
}

// countCall counts the outcome of a call to the store.
func (r *Relay) countCall(err error) {
	if err != nil {
		r.counts.Counter("platform.calls.failed").Inc(1)
		return
	}
	r.counts.Counter("platform.calls.done").Inc(1)
}
