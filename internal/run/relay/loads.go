package relay

import (
	"cmp"
	"context"
	"net/http"
	"slices"
	"time"

	"hawthorncourse/internal/core/model"
	"hawthorncourse/internal/core/queue"
	"hawthorncourse/internal/load/gauge"
)

const (
	// askInterval is the time between two health requests to an upstream; a request costs the upstream a hundredth of a usual one.
	askInterval = time.Second
	// urgentAskInterval replaces askInterval while the work of the upstream's service exceeds the slots. It is also the interval at which loads are
	// published and the plan is revised.
	urgentAskInterval = 250 * time.Millisecond
	// urgentAskHold is how long a service stays urgent after its work was last found to exceed the slots, so that the interval does not alternate.
	urgentAskHold = time.Second
	// maxAsksPerSecond bounds the health requests of an instance, by its processor time: one takes about 40 us.
	maxAsksPerSecond = 150
	// maxAsking bounds the health requests that are under way: upstreams that do not answer must not take all descriptors and memory.
	maxAsking = 16
	// maxSilentInterval is the longest time between two requests to an upstream that does not answer: a request to one takes one of maxAsking places for
	// up to 700 ms. It is below gauge.MaxAge, so that the load of one that answers again is known within that time.
	maxSilentInterval = 2 * time.Second
	// idleInterval is how often an instance that collects no loads checks whether it should.
	idleInterval = 500 * time.Millisecond
)

// collectLoads asks the upstreams of the own failure domain for their load while this instance is the reader and the configuration asks for it, and
// publishes what they state, until ctx is cancelled.
func (r *Relay) collectLoads(ctx context.Context) error {
	if r.cfg.ParseHealth == nil {
		return nil
	}
	c := &loadCollector{Relay: r, client: newHealthClient(r.cfg.ParseHealth), answers: make(chan loadAnswer, maxAsking)}
	defer c.stop("the instance stops")
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case a := <-c.answers:
			c.finish(&a)
		case <-timer.C:
		case <-ctx.Done():
			return nil
		}
		if now := r.now(); now >= c.planAt {
			c.plan(ctx, now)
		}
		timer.Reset(c.send())
	}
}

// loadCollector is the state of collectLoads.
type loadCollector struct {
	*Relay
	client *healthClient
	// planAt is when the plan is revised next.
	planAt model.Instant
	// asks is the context of the health requests, and cancel ends them; nil while no loads are collected.
	asks   context.Context
	cancel context.CancelFunc
	// digest is that of the snapshot that targets is from, also if it lists none; zero if targets is from no snapshot.
	digest  uint64
	targets map[model.UpstreamID]*loadTarget
	// due holds the targets that are not being asked, by the time at which they are to be.
	due queue.Timed[*loadTarget]
	// urgentUntil holds the services whose upstreams are asked more often, and until when.
	urgentUntil map[model.ServiceID]model.Instant
	// sendAt is the earliest time of the next request, and asking the number of those under way.
	sendAt  model.Instant
	asking  int
	answers chan loadAnswer
	// unpublished holds the loads stated since the last publication; Age is set when they are published.
	unpublished []statedLoad
}

// loadTarget is a run of an upstream that is asked for its load.
type loadTarget struct {
	reg  model.Registration
	path string
	req  *http.Request
	// askedAt is when the target was last asked, zero if it was not; dueAt is when it is to be asked next, and asking is set while it is being asked.
	askedAt, dueAt model.Instant
	asking         bool
	// silentInterval is the least time to the next request, from askInterval to maxSilentInterval, if the last one was not answered; otherwise zero.
	silentInterval time.Duration
	// last is the last load stated; known is false if there is none.
	last  statedLoad
	known bool
}

// statedLoad is the load that an upstream stated in an answer to a request that was sent at the instant at.
type statedLoad struct {
	model.UpstreamLoad
	at model.Instant
}

// loadAnswer is the outcome of a health request.
type loadAnswer struct {
	target *loadTarget
	sentAt model.Instant
	answer model.HealthAnswer
	err    error
}

// plan revises what is asked and publishes what was stated.
func (c *loadCollector) plan(ctx context.Context, now model.Instant) {
	c.planAt = now.Add(idleInterval)
	if !c.reading.Load() {
		c.stop("this instance is not the reader")
		return
	}
	c.snapshotMu.Lock()
	snap, digest := c.snapshot, c.snapshotDigest
	c.snapshotMu.Unlock()
	if digest != c.digest {
		c.setTargets(now, &snap)
		c.digest = digest
	}
	if len(c.targets) == 0 {
		c.stop("no upstream is to be asked")
		c.digest = digest
		return
	}
	if c.asks == nil {
		c.asks, c.cancel = context.WithCancel(ctx)
		c.logger("loads").With("upstreams", len(c.targets)).Info("The upstreams of the failure domain are asked for their load.")
	}
	c.planAt = now.Add(urgentAskInterval)
	c.updateUrgent(now)
	c.publish(ctx, now)
}

// stop ends the collection, closes all connections and forgets what was planned.
func (c *loadCollector) stop(reason string) {
	if c.asks != nil {
		c.cancel()
		for ; c.asking > 0; c.asking-- {
			<-c.answers
		}
		c.client.close()
		c.logger("loads").With("reason", reason).Info("The upstreams of the failure domain are not asked for their load any more.")
	}
	c.asks, c.digest, c.targets, c.urgentUntil, c.unpublished, c.due = nil, 0, nil, nil, nil, queue.Timed[*loadTarget]{}
}

// healthPaths returns the health paths of the services that are to be asked: those that have one and that a route with a target latency leads to.
func healthPaths(t *model.RouteTable) map[model.ServiceID]string {
	targeted := map[model.ServiceID]bool{}
	for i := range t.Routes {
		for _, target := range t.Routes[i].Targets {
			targeted[target.Service] = targeted[target.Service] || t.Routes[i].Target > 0
		}
	}
	paths := map[model.ServiceID]string{}
	for _, s := range t.Services {
		if s.HealthPath != "" && targeted[s.ID] {
			paths[s.ID] = s.HealthPath
		}
	}
	return paths
}

// setTargets replaces the targets by those that a snapshot lists. What is known of the runs that stay is kept.
func (c *loadCollector) setTargets(now model.Instant, snap *model.Snapshot) {
	paths, targets := healthPaths(&snap.Routes), map[model.UpstreamID]*loadTarget{}
	var added []*loadTarget
	for i := range snap.Upstreams.Items {
		reg := &snap.Upstreams.Items[i]
		path, ok := paths[reg.Service]
		if !ok || reg.Domain != c.cfg.Domain {
			continue
		}
		if old := c.targets[reg.ID]; old != nil && old.reg.Boot == reg.Boot && old.reg.Address == reg.Address && old.path == path {
			old.reg = *reg
			targets[reg.ID] = old
			continue
		}
		if req, err := newHealthRequest(reg.Address, path); err == nil {
			t := &loadTarget{reg: *reg, path: path, req: req}
			targets[reg.ID] = t
			added = append(added, t)
		}
	}
	c.targets = targets
	spread(now, added, askInterval)
	c.requeue()
}

// spread makes targets due one after the other within an interval, but none of them sooner after the last request than urgentAskInterval, or
// silentInterval if that is longer.
func spread(now model.Instant, targets []*loadTarget, interval time.Duration) {
	slices.SortFunc(targets, func(a, b *loadTarget) int { return cmp.Compare(a.reg.ID, b.reg.ID) })
	for i, t := range targets {
		t.dueAt = now.Add(interval * time.Duration(i) / time.Duration(len(targets)))
		if t.askedAt != 0 {
			t.dueAt = max(t.dueAt, t.askedAt.Add(max(urgentAskInterval, t.silentInterval)))
		}
	}
}

// requeue fills due with all targets that are not being asked.
func (c *loadCollector) requeue() {
	c.due = queue.Timed[*loadTarget]{}
	for _, t := range c.targets {
		if !t.asking {
			c.due.Push(t.dueAt, t)
		}
	}
}

// updateUrgent finds the services whose work exceeds their slots, as far as their upstreams have stated it, and spreads the requests to the upstreams of
// those whose interval changes.
func (c *loadCollector) updateUrgent(now model.Instant) {
	excess, members := map[model.ServiceID]int{}, map[model.ServiceID][]*loadTarget{}
	for _, t := range c.targets {
		members[t.reg.Service] = append(members[t.reg.Service], t)
		if t.known && now.Sub(t.last.at) <= gauge.MaxAge {
			excess[t.reg.Service] += t.last.Work - t.reg.Slots
		}
	}
	before := c.urgentUntil
	c.urgentUntil = map[model.ServiceID]model.Instant{}
	changed := false
	for service, targets := range members {
		until, was := before[service]
		if excess[service] > 0 {
			until = now.Add(urgentAskHold)
		}
		if until > now {
			c.urgentUntil[service] = until
		}
		if is := until > now; is != was {
			spread(now, targets, c.interval(service))
			changed = true
		}
	}
	if changed {
		c.requeue()
	}
}

// interval returns the time between two requests to an upstream of a service.
func (c *loadCollector) interval(service model.ServiceID) time.Duration {
	if _, urgent := c.urgentUntil[service]; urgent {
		return urgentAskInterval
	}
	return askInterval
}

// send sends the next request if it is due. It returns the time to the next one, or to the next revision of the plan.
func (c *loadCollector) send() (wait time.Duration) {
	now := c.now()
	wait = max(c.planAt.Sub(now), 0)
	if c.asking < maxAsking && c.sendAt <= now {
		if t, ok := c.due.PopDue(now); ok {
			c.sendAt = now.Add(time.Second / maxAsksPerSecond)
			c.ask(t, now)
		}
	}
	if next, ok := c.due.Next(); ok && c.asking < maxAsking {
		wait = min(wait, max(next, c.sendAt).Sub(now))
	}
	return max(wait, 0)
}

// ask sends a request to a target in the background.
func (c *loadCollector) ask(t *loadTarget, now model.Instant) {
	c.counts.Counter("loads.requests").Inc(1)
	t.asking, t.askedAt = true, now
	c.asking++
	asks := c.asks
	go func() {
		answer, err := c.client.ask(asks, t.req)
		c.answers <- loadAnswer{target: t, sentAt: now, answer: answer, err: err}
	}()
}

// finish records the outcome of a request. An upstream that does not answer keeps the last load that it stated until that is too old: a full one may answer
// late. The load of one whose answer states none is unknown at once.
func (c *loadCollector) finish(a *loadAnswer) {
	t := a.target
	c.asking--
	t.asking = false
	outcome := classifyAsk(t.reg.ID, a.answer, a.err)
	if outcome != askStated {
		c.counts.Counter("loads.failed." + string(outcome)).Inc(1)
	}
	if c.targets[t.reg.ID] != t {
		return
	}
	if outcome == askTimeout || outcome == askConnect {
		t.silentInterval = min(max(2*t.silentInterval, askInterval), maxSilentInterval)
	} else {
		t.silentInterval = 0
	}
	t.dueAt = max(a.sentAt.Add(max(c.interval(t.reg.Service), t.silentInterval)), c.now())
	c.due.Push(t.dueAt, t)
	if a.err != nil {
		return
	}
	load := statedLoad{UpstreamLoad: model.UpstreamLoad{ID: t.reg.ID, Boot: t.reg.Boot, Known: outcome == askStated}, at: a.sentAt}
	if load.Known {
		load.Work = a.answer.Running + a.answer.Queued
	}
	t.last, t.known = load, load.Known
	c.unpublished = append(c.unpublished, load)
}

// publish passes the loads stated since the last publication to the other instances and to the engine.
func (c *loadCollector) publish(ctx context.Context, now model.Instant) {
	if len(c.unpublished) == 0 {
		return
	}
	report := model.LoadReport{Digest: c.digest, Urgent: len(c.urgentUntil) > 0}
	for _, l := range c.unpublished {
		l.Age = now.Sub(l.at)
		report.Loads = append(report.Loads, l.UpstreamLoad)
	}
	c.unpublished = c.unpublished[:0]
	c.share.PublishLoads(report)
	c.applyLoads(ctx, report)
}

// handleLoads passes loads that another instance has sent to the engine.
func (r *Relay) handleLoads(loads model.LoadReport) {
	r.applyLoads(r.work, loads)
}

// applyLoads stores loads in the gauges of the runs that they are of.
func (r *Relay) applyLoads(ctx context.Context, loads model.LoadReport) {
	arrived := r.now()
	r.submit(ctx, func(now model.Instant) {
		for i := range loads.Loads {
			l := &loads.Loads[i]
			u := r.engine.Roster().Get(l.ID)
			if u == nil || u.Boot != l.Boot {
				continue
			}
			report := gauge.Report{Age: l.Age + now.Sub(arrived)}
			if l.Known {
				report.Running, report.Slots = min(l.Work, u.Slots), u.Slots
				report.Queued = l.Work - report.Running
			}
			u.Gauge.Report(now, report)
		}
		r.act(ctx, now, r.engine.UpdateLoads(now))
	})
}
