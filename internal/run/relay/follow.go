package relay

import (
	"context"
	"math/rand/v2"
	"time"

	"golang.org/x/sync/errgroup"

	"hawthorncourse/internal/core/model"
)

const (
	// nudgePause is the least time between two reads that packets ask for.
	nudgePause = 300 * time.Millisecond
	// paceJitter spreads the reads of instances that started together.
	paceJitter = 50 * time.Millisecond
)

// known holds the store's revision as of the last read of each kind.
type known struct {
	upstreams model.Revision
	routes    model.Revision
}

// follow is the duty that keeps the engine's knowledge young.
func (r *Relay) follow(ctx context.Context) error {
	var have known
	lost := false
	for ctx.Err() == nil {
		start := time.Now()
		err := r.refresh(ctx, &have)
		if ctx.Err() != nil {
			return nil
		}
		if err != nil {
			r.counts.Counter("platform.read_failed").Inc(1)
			r.do(ctx, func(now model.Instant) { r.engine.Roster().Distrust(now) })
			if !lost {
				r.part("platform").With("error", err).Warn("The platform's store does not answer; what is known stays in force.")
			}
		} else if lost {
			r.part("platform").Info("The platform's store answers again.")
		}
		lost = err != nil
		r.pause(ctx, r.pace.Done(err == nil, time.Since(start)))
	}
	return nil
}

// pause waits until the next read is due or asked for.
func (r *Relay) pause(ctx context.Context, d time.Duration) {
	early := min(d, nudgePause)
	sleep(ctx, early)
	t := time.NewTimer(max(d-early-rand.N(paceJitter), 0))
	defer t.Stop()
	select {
	case <-t.C:
	case <-r.nudge:
	case <-ctx.Done():
	}
}

// refresh reads the smallest kind, whose answer tells the store's revision, and the other kinds if anything has changed since they were read.
func (r *Relay) refresh(ctx context.Context, have *known) error {
	ctx, cancel := context.WithTimeout(ctx, r.pace.Timeout())
	defer cancel()
	if have.routes == 0 {
		// Nothing is known yet: all kinds are read at once, to serve soon.
		return r.readAll(ctx, have)
	}
	out, err := r.cfg.DomainsOut.Read(ctx)
	r.countCall(err)
	if err != nil {
		return err
	}
	r.do(ctx, func(now model.Instant) { r.engine.Roster().SetOut(now, out.Items) })
	g, ctx := errgroup.WithContext(ctx)
	if out.Revision != have.upstreams {
		g.Go(func() error { return r.readUpstreams(ctx, have) })
	}
	if out.Revision != have.routes {
		g.Go(func() error { return r.readRoutes(ctx, have) })
	}
	return g.Wait()
}

func (r *Relay) readAll(ctx context.Context, have *known) error {
	g, work := errgroup.WithContext(ctx)
	g.Go(func() error { return r.readUpstreams(work, have) })
	g.Go(func() error { return r.readRoutes(work, have) })
	g.Go(func() error {
		out, err := r.cfg.DomainsOut.Read(work)
		r.countCall(err)
		if err == nil {
			r.do(work, func(now model.Instant) { r.engine.Roster().SetOut(now, out.Items) })
		}
		return err
	})
	if err := g.Wait(); err != nil {
		*have = known{}
		return err
	}
	r.do(ctx, func(model.Instant) {
		r.engine.SetReady()
		r.serving.Store(true)
		r.part("relay").With("upstreams", r.engine.Roster().Len()).Info("Instance is ready.")
	})
	return nil
}

func (r *Relay) readUpstreams(ctx context.Context, have *known) error {
	list, err := r.cfg.Upstreams.Read(ctx)
	r.countCall(err)
	if err != nil {
		return err
	}
	have.upstreams = list.Revision
	if n := len(list.Unreadable); n > 0 {
		r.counts.Counter("platform.unreadable_upstreams").Inc(int64(n))
	}
	r.do(ctx, func(now model.Instant) { r.engine.Roster().Sync(now, list) })
	return nil
}

func (r *Relay) readRoutes(ctx context.Context, have *known) error {
	list, err := r.cfg.Routes.Read(ctx)
	r.countCall(err)
	if err != nil {
		return err
	}
	have.routes = list.Revision
	if len(list.Unreadable) > 0 {
		r.counts.Counter("platform.unreadable_routes").Inc(1)
		r.part("platform").With("names", list.Unreadable).Error("A configuration cannot be read, the last good one stays in force.")
	}
	for _, table := range list.Items {
		r.do(ctx, func(model.Instant) {
			if r.engine.SetRoutes(table) {
				r.part("platform").With("version", table.Version).With("revision", table.Revision).With("routes", len(table.Routes)).Info("A configuration is in force.")
			}
		})
	}
	return nil
}

func (r *Relay) countCall(err error) {
	if err != nil {
		r.counts.Counter("platform.calls.failed").Inc(1)
		return
	}
	r.counts.Counter("platform.calls.done").Inc(1)
}
