package replay

import (
	"time"

	"hawthorncourse/internal/core/direct"
	"hawthorncourse/internal/core/health"
	"hawthorncourse/internal/core/model"
	"hawthorncourse/internal/core/roster"
)

const (
	// readEvery is how old an instance's knowledge becomes.
	readEvery = time.Second
	// startTime is what an instance takes from its start to being ready.
	startTime = 50 * time.Millisecond
	// checkEvery is the rhythm of the routers' readiness checks; two misses take an instance out.
	checkEvery = 500 * time.Millisecond
	flowLife   = time.Minute
)

// instance is one entry instance.
type instance struct {
	w      *world
	domain model.DomainID
	// index is its number in the failure domain.
	index  int
	engine *direct.Engine
	// up is the number of the start that runs; zero while none does.
	up     int
	starts int
	// misses counts the readiness checks in a row that failed.
	misses int
	tick   model.Instant
}

func newInstance(w *world, d model.DomainID, index int) *instance {
	in := &instance{w: w, domain: d, index: index}
	in.start()
	in.check()
	return in
}

func (in *instance) start() {
	in.starts++
	n := in.starts
	in.w.after(startTime, func() {
		if in.starts != n {
			return
		}
		in.up = n
		in.engine = direct.New(direct.Config{
			Domain: in.domain, Seed: in.w.cfg.Seed + uint64(n) + uint64(in.w.rng.Uint32()), Limits: direct.Limits{Domains: len(in.w.domains), FlowLife: flowLife},
			Policy: in.w.cfg.Policy, Disabled: in.w.cfg.Without,
		})
		in.engine.SetRoutes(routes())
		in.engine.SetOrdinal(model.Ordinal{Index: in.index, Count: in.w.p.Instances}, in.now().Add(in.w.p.Length))
		in.install()
		in.engine.SetReady(in.now())
		in.schedule(in.w.now)
	})
}

func (in *instance) stop() {
	in.up = 0
	in.starts++
}

// hear lets the instance learn of the registry some time later, if it is not cut off from the store then.
func (in *instance) hear() {
	in.w.after(time.Duration(in.w.rng.Int64N(int64(readEvery))), func() {
		switch {
		case in.w.cut[in.domain]:
			in.hear()
		case in.up != 0:
			in.install()
		}
	})
}

func (in *instance) install() {
	in.engine.Roster().Sync(in.now(), in.w.listing())
	in.engine.Roster().SetOut(in.now(), in.w.out)
	in.engine.Roster().Confirm(in.now(), in.now())
}

// now is the instant on the instance's clock, which is past the grace of a start at once.
func (in *instance) now() model.Instant {
	return in.w.now.Add(roster.OutageGrace + time.Second)
}

// check plays the routers' readiness checks.
func (in *instance) check() {
	if in.up == 0 || in.engine.Isolated() {
		in.misses++
	} else {
		in.misses = 0
	}
	if !in.w.over() {
		in.w.after(checkEvery, in.check)
	}
}

// inRotation reports whether routers send to the instance.
func (in *instance) inRotation() bool {
	return in.misses < 2
}

// router returns the instance that a flow's packets go to: by a hash over those in rotation, or over all if most are out.
func (w *world) router(t *try) *instance {
	for _, d := range append([]model.DomainID{t.domain}, w.others(t.domain)...) {
		var pool []*instance
		for _, in := range w.domains[d] {
			if in.inRotation() {
				pool = append(pool, in)
			}
		}
		if n := len(w.domains[d]); len(pool) > 0 && 2*len(pool) < n {
			pool = w.domains[d]
		}
		if len(pool) > 0 {
			return pool[t.key.Hash()%uint64(len(pool))]
		}
	}
	all := w.domains[t.domain]
	return all[t.key.Hash()%uint64(len(all))]
}

func (w *world) others(d model.DomainID) []model.DomainID {
	var list []model.DomainID
	for _, name := range w.p.Domains {
		if other := model.DomainID(name); other != d {
			list = append(list, other)
		}
	}
	return list
}

// packet takes a caller's packet.
func (in *instance) packet(seg model.Segment, t *try) {
	if in.up == 0 {
		return
	}
	in.carry(in.engine.Packet(in.now(), &seg), t)
	in.schedule(in.w.now)
}

// schedule lets the engine tick when it is due.
func (in *instance) schedule(now model.Instant) {
	const regular = 100 * time.Millisecond
	at := now.Add(regular)
	if next, ok := in.engine.NextDeadline(); ok {
		at = min(at, max(next.Add(-roster.OutageGrace-time.Second), now))
	}
	if in.tick > now && in.tick <= at {
		return
	}
	in.tick = at
	n := in.up
	in.w.after(at.Sub(now), func() {
		if in.up != n || in.tick != at || n == 0 {
			return
		}
		in.carry(in.engine.Tick(in.now()), nil)
		in.schedule(in.w.now)
	})
}

// wordDelay is how long word of doubt takes to the others of a failure domain, by way of the one that reads for it.
const wordDelay = 3 * time.Millisecond

// tell passes on what the instance found silent.
func (in *instance) tell() {
	d := in.engine.TakeSuspicion()
	if d.Empty() {
		return
	}
	for _, other := range in.w.domains[in.domain] {
		if other == in {
			continue
		}
		in.w.after(wordDelay, func() {
			if other.up != 0 {
				other.carry(other.engine.HandleSuspicion(other.now(), d), nil)
				other.schedule(in.w.now)
			}
		})
	}
}

// carry carries out the engine's actions.
func (in *instance) carry(actions []direct.Action, t *try) {
	defer in.tell()
	for _, a := range actions {
		switch a.Verb {
		case model.VerbForward:
			in.forward(a, t)
		case model.VerbReset:
			if target := in.w.result.open[a.Flow]; target != nil {
				in.w.after(toCaller, target.wasReset)
			}
		case model.VerbProbe:
			in.probe(a.Upstream, a.Timeout)
		}
	}
}

func (in *instance) forward(a direct.Action, t *try) {
	u := in.w.numbers[a.Upstream.Number]
	target := in.w.result.open[a.Flow]
	if target == nil || !in.w.reaches(in.domain, u.reg.Domain) || in.w.lost() {
		return
	}
	// Without a caller's packet, the engine sends the opening packet on by itself.
	seg := model.Segment{Flow: a.Flow, Syn: true}
	if t != nil {
		seg = t.packet
	}
	seg.Tag = a.Upstream.Tag
	in.w.after(delay(in.domain, u.reg.Domain), func() { u.hear(seg, target) })
}

func (in *instance) probe(known *roster.Upstream, wait time.Duration) {
	u, n := in.w.numbers[known.Number], in.up
	outcome := health.OutcomeFailed
	if !u.dead && in.w.reaches(in.domain, u.reg.Domain) {
		wait, outcome = 2*delay(in.domain, u.reg.Domain), health.OutcomeAnswered
	}
	in.w.after(wait, func() {
		if in.up == n {
			in.carry(in.engine.FinishProbe(in.now(), known, outcome), nil)
		}
	})
}
