package replay

import (
	"time"

	"hawthorncourse/internal/core/direct"
	"hawthorncourse/internal/core/health"
	"hawthorncourse/internal/core/model"
	"hawthorncourse/internal/core/roster"
)

const (
	// maxStaleness is how old an instance's knowledge becomes.
	maxStaleness = time.Second
	// startupTime is what an instance takes from its start to being ready.
	startupTime = 50 * time.Millisecond
	// readinessInterval is the rhythm of the routers' readiness checks; two misses take an instance out.
	readinessInterval = 500 * time.Millisecond
	flowLifetime      = time.Minute
)

// instance is one entry instance.
type instance struct {
	sim    *simulation
	domain model.DomainID
	// index is its number in the failure domain.
	index  int
	engine *direct.Engine
	// runningGeneration is the number of the start that runs; zero while none does.
	runningGeneration int
	generation        int
	// failedChecks counts the readiness checks in a row that failed.
	failedChecks int
	nextTick     model.Instant
}

func newInstance(s *simulation, d model.DomainID, index int) *instance {
	in := &instance{sim: s, domain: d, index: index}
	in.start()
	in.checkReadiness()
	return in
}

func (in *instance) start() {
	in.generation++
	generation := in.generation
	in.sim.after(startupTime, func() {
		if in.generation != generation {
			return
		}
		in.runningGeneration = generation
		in.engine = direct.New(direct.Config{
			Domain: in.domain, Seed: in.sim.cfg.Seed + uint64(generation) + uint64(in.sim.rng.Uint32()), Limits: direct.Limits{Domains: len(in.sim.instancesByDomain), FlowLife: flowLifetime},
			Policy: in.sim.cfg.Policy, Disabled: in.sim.cfg.Disabled,
		})
		in.engine.SetRoutes(routes())
		in.engine.SetOrdinal(model.Ordinal{Index: in.index, Count: in.sim.pattern.Instances}, in.now().Add(in.sim.pattern.Duration))
		in.syncRegistry()
		in.engine.SetReady(in.now())
		in.scheduleTick(in.sim.now)
	})
}

func (in *instance) stop() {
	in.runningGeneration = 0
	in.generation++
}

// scheduleSync lets the instance learn of the registry some time later, if it is not cut off from the store then.
func (in *instance) scheduleSync() {
	in.sim.after(time.Duration(in.sim.rng.Int64N(int64(maxStaleness))), func() {
		switch {
		case in.sim.partitioned[in.domain]:
			in.scheduleSync()
		case in.runningGeneration != 0:
			in.syncRegistry()
		}
	})
}

func (in *instance) syncRegistry() {
	in.engine.Roster().Sync(in.now(), in.sim.listing())
	in.engine.Roster().SetOut(in.now(), in.sim.domainsOut)
	in.engine.Roster().Confirm(in.now(), in.now())
}

// now is the instant on the instance's clock, which is past the grace of a start at once.
func (in *instance) now() model.Instant {
	return in.sim.now.Add(roster.OutageGrace + time.Second)
}

// checkReadiness plays the routers' readiness checks.
func (in *instance) checkReadiness() {
	if in.runningGeneration == 0 || in.engine.Isolated() {
		in.failedChecks++
	} else {
		in.failedChecks = 0
	}
	if !in.sim.loadEnded() {
		in.sim.after(readinessInterval, in.checkReadiness)
	}
}

// inRotation reports whether routers send to the instance.
func (in *instance) inRotation() bool {
	return in.failedChecks < 2
}

// routeFlow returns the instance that a flow's packets go to: by a hash over those in rotation, or over all if most are out.
func (s *simulation) routeFlow(f *callerFlow) *instance {
	for _, d := range append([]model.DomainID{f.domain}, s.otherDomains(f.domain)...) {
		var pool []*instance
		for _, in := range s.instancesByDomain[d] {
			if in.inRotation() {
				pool = append(pool, in)
			}
		}
		if n := len(s.instancesByDomain[d]); len(pool) > 0 && 2*len(pool) < n {
			pool = s.instancesByDomain[d]
		}
		if len(pool) > 0 {
			return pool[f.key.Hash()%uint64(len(pool))]
		}
	}
	all := s.instancesByDomain[f.domain]
	return all[f.key.Hash()%uint64(len(all))]
}

func (s *simulation) otherDomains(d model.DomainID) []model.DomainID {
	var list []model.DomainID
	for _, name := range s.pattern.Domains {
		if other := model.DomainID(name); other != d {
			list = append(list, other)
		}
	}
	return list
}

// handlePacket takes a caller's packet.
func (in *instance) handlePacket(seg model.Segment, f *callerFlow) {
	if in.runningGeneration == 0 {
		return
	}
	in.execute(in.engine.Packet(in.now(), &seg), f)
	in.scheduleTick(in.sim.now)
}

// scheduleTick lets the engine tick when it is due.
func (in *instance) scheduleTick(now model.Instant) {
	const tickInterval = 100 * time.Millisecond
	at := now.Add(tickInterval)
	if next, ok := in.engine.NextDeadline(); ok {
		at = min(at, max(next.Add(-roster.OutageGrace-time.Second), now))
	}
	if in.nextTick > now && in.nextTick <= at {
		return
	}
	in.nextTick = at
	generation := in.runningGeneration
	in.sim.after(at.Sub(now), func() {
		if in.runningGeneration != generation || in.nextTick != at || generation == 0 {
			return
		}
		in.execute(in.engine.Tick(in.now()), nil)
		in.scheduleTick(in.sim.now)
	})
}

// suspicionDelay is how long word of doubt takes to the others of a failure domain, by way of the one that reads for it.
const suspicionDelay = 3 * time.Millisecond

// shareSuspicion passes on what the instance found silent.
func (in *instance) shareSuspicion() {
	suspicion := in.engine.TakeSuspicion()
	if suspicion.Empty() {
		return
	}
	for _, other := range in.sim.instancesByDomain[in.domain] {
		if other == in {
			continue
		}
		in.sim.after(suspicionDelay, func() {
			if other.runningGeneration != 0 {
				other.execute(other.engine.HandleSuspicion(other.now(), suspicion), nil)
				other.scheduleTick(in.sim.now)
			}
		})
	}
}

// execute carries out the engine's actions.
func (in *instance) execute(actions []direct.Action, f *callerFlow) {
	defer in.shareSuspicion()
	for _, a := range actions {
		switch a.Verb {
		case model.VerbForward:
			in.forward(a, f)
		case model.VerbReset:
			if target := in.sim.result.openFlows[a.Flow]; target != nil {
				in.sim.after(callerDelay, target.handleReset)
			}
		case model.VerbProbe:
			in.probe(a.Upstream, a.Timeout)
		}
	}
}

func (in *instance) forward(a direct.Action, f *callerFlow) {
	u := in.sim.upstreamsByNumber[a.Upstream.Number]
	target := in.sim.result.openFlows[a.Flow]
	if target == nil || !in.sim.connected(in.domain, u.reg.Domain) || in.sim.dropPacket() {
		return
	}
	// Without a caller's packet, the engine sends the opening packet on by itself.
	seg := model.Segment{Flow: a.Flow, Syn: true}
	if f != nil {
		seg = f.currentPacket
	}
	seg.Tag = a.Upstream.Tag
	in.sim.after(networkDelay(in.domain, u.reg.Domain), func() { u.handlePacket(seg, target) })
}

func (in *instance) probe(candidate *roster.Upstream, wait time.Duration) {
	u, generation := in.sim.upstreamsByNumber[candidate.Number], in.runningGeneration
	outcome := health.OutcomeFailed
	if !u.down && in.sim.connected(in.domain, u.reg.Domain) {
		wait, outcome = 2*networkDelay(in.domain, u.reg.Domain), health.OutcomeAnswered
	}
	in.sim.after(wait, func() {
		if in.runningGeneration == generation {
			in.execute(in.engine.FinishProbe(in.now(), candidate, outcome), nil)
		}
	})
}
