package direct_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"hawthorncourse/internal/core/direct"
	"hawthorncourse/internal/core/health"
	"hawthorncourse/internal/core/model"
	"hawthorncourse/internal/core/roster"
)

// TestDomainSuspicion checks that one failed probe in an unresponsive failure domain leads to probes of its other upstreams, and in a
// responsive domain to none.
func TestDomainSuspicion(t *testing.T) {
	cases := map[string]struct {
		idle   time.Duration
		probes int
	}{
		"responsive domain":   {idle: 10 * time.Millisecond},
		"unresponsive domain": {idle: time.Second, probes: 1},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t, threeUpstreams()...)
			ups := h.engine.Roster().ByService("desk")
			h.engine.FinishProbe(h.now, ups[1], health.OutcomeAnswered)
			h.now = h.now.Add(tc.idle)
			ups[0].Health.RecordTimeout(h.now)
			ups[0].Health.StartProbe(h.now)
			probes := 0
			for _, a := range h.engine.FinishProbe(h.now, ups[0], health.OutcomeFailed) {
				if a.Verb == model.VerbProbe {
					h.Equal(a.Upstream, ups[1])
					probes++
				}
			}
			h.Equal(probes, tc.probes)
		})
	}
}

// TestProbesOfPartitionedDomain replays a partition from a failure domain of 120 upstreams, as on a fleet of hundreds of instances. The instance
// must probe those with flows of its own and only a few others, and must use all of them as soon as one answers.
func TestProbesOfPartitionedDomain(t *testing.T) {
	const upstreams, withFlows, partition = 120, 3, 6 * time.Second
	items := []model.Registration{}
	for n := range upstreams {
		items = append(items, registration(n+1, "west"))
	}
	h := newHarness(t, items...)
	ups := h.engine.Roster().ByService("desk")
	for n := range withFlows {
		h.data(uint16(n+1), feedAddress, ups[n].Tag)
	}
	h.now = h.now.Add(time.Second)
	probed := map[model.UpstreamID]int{}
	fail := func(actions []direct.Action) {
		for len(actions) > 0 {
			// The engine reuses the slice.
			actions = slices.Clone(actions)
			var next []direct.Action
			for _, a := range actions {
				if a.Verb == model.VerbProbe {
					probed[a.Upstream.ID]++
					next = append(next, h.engine.FinishProbe(h.now, a.Upstream, health.OutcomeFailed)...)
				}
			}
			actions = next
		}
	}
	for _, u := range ups[:2] {
		u.Health.RecordTimeout(h.now)
	}
	for end := h.now.Add(partition); h.now < end; {
		h.now = h.now.Add(50 * time.Millisecond)
		fail(h.engine.Tick(h.now))
	}
	h.True(len(probed) <= withFlows+8)
	for _, u := range ups[:withFlows] {
		h.True(probed[u.ID] >= 3)
	}
	total := 0
	for _, n := range probed {
		total += n
	}
	h.True(total <= 150)
	h.True(h.engine.Isolated())

	// The path is back: the first answer makes the upstreams that were not probed usable.
	for h.engine.Isolated() {
		h.now = h.now.Add(50 * time.Millisecond)
		for _, a := range slices.Clone(h.engine.Tick(h.now)) {
			if a.Verb == model.VerbProbe {
				h.engine.FinishProbe(h.now, a.Upstream, health.OutcomeAnswered)
			}
		}
	}
	used := map[model.UpstreamID]bool{}
	for port := uint16(100); port < 400; port++ {
		used[h.syn(port, feedAddress, 0).Upstream.ID] = true
	}
	h.True(len(used) > upstreams/2)
}

// TestFlowResetByOldProbes checks that failed probes end no flow of an upstream if none of its recent probes has failed, and that the upstream is probed.
func TestFlowResetByOldProbes(t *testing.T) {
	cases := map[string]struct {
		// pass lets time pass after the third failed probe of an upstream; all, including the upstream, are registered. It reports whether a probe of
		// the upstream is running afterwards.
		pass  func(h *harness, u *roster.Upstream, all []model.Registration) (probing bool)
		reset bool
	}{
		"the upstream is probed": {
			pass: func(h *harness, u *roster.Upstream, _ []model.Registration) (probing bool) {
				for range 10 {
					h.failProbe(u)
				}
				return false
			},
			reset: true,
		},
		"the upstream was gone without flows": {
			pass: func(h *harness, _ *roster.Upstream, all []model.Registration) (probing bool) {
				h.sync(all[1:]...)
				h.advance(5 * time.Second)
				h.sync(all...)
				return false
			},
		},
		"other probes took all slots": {
			pass: func(h *harness, u *roster.Upstream, _ []model.Registration) (probing bool) {
				others := slices.DeleteFunc(slices.Clone(h.engine.Roster().All()), func(o *roster.Upstream) bool { return o == u })
				for _, o := range others {
					o.Health.MarkSuspect(h.now)
				}
				h.engine.Tick(h.now)
				h.advance(5 * time.Second)
				for _, o := range others {
					for _, a := range h.engine.FinishProbe(h.now, o, health.OutcomeAnswered) {
						h.Equal(a.Upstream, u)
						probing = true
					}
				}
				return probing
			},
		},
		"all probes since were inconclusive": {
			pass: func(h *harness, u *roster.Upstream, _ []model.Registration) (probing bool) {
				for range 10 {
					h.awaitProbe(u)
					h.now = h.now.Add(200 * time.Millisecond)
					h.engine.FinishProbe(h.now, u, health.OutcomeInconclusive)
				}
				h.now = h.now.Add(time.Second)
				return false
			},
		},
		"another upstream has shown that the path to the failure domain is back": {
			pass: func(h *harness, _ *roster.Upstream, _ []model.Registration) (probing bool) {
				other := h.engine.Roster().ByService("desk")[1]
				h.engine.FinishProbe(h.now, other, health.OutcomeFailed)
				h.awaitProbe(other)
				h.engine.FinishProbe(h.now, other, health.OutcomeAnswered)
				return false
			},
		},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			all := []model.Registration{registration(1, "west"), registration(2, "west")}
			for n := range 7 {
				all = append(all, registration(n+3, "east"))
			}
			h := newHarness(t, all...)
			u := h.engine.Roster().ByService("desk")[0]
			h.now = h.now.Add(time.Second)
			u.Health.RecordTimeout(h.now)
			for range 3 {
				h.failProbe(u)
			}
			want := map[model.Verb]int{model.VerbForward: 1, model.VerbProbe: 1}
			if tc.pass(h, u, all) {
				delete(want, model.VerbProbe)
			}
			actions := h.engine.Packet(h.now, &model.Segment{Flow: flowKey(1, feedAddress), HasAck: true, Tag: u.Tag, Seq: 1, AckSeq: 1, Size: 100})
			verbs := map[model.Verb]int{}
			for _, a := range actions {
				verbs[a.Verb]++
				h.Equal(a.Upstream, u)
			}
			if tc.reset {
				h.Equal(verbs, map[model.Verb]int{model.VerbReset: 1})
				return
			}
			h.Equal(verbs, want)
			h.now = h.now.Add(200 * time.Millisecond)
			h.engine.FinishProbe(h.now, u, health.OutcomeFailed)
			h.Equal(h.data(2, feedAddress, u.Tag).Verb, model.VerbReset)
		})
	}
}

// TestFlowOfGoneUpstreamResetByOldProbes checks that flows of an upstream that is gone from the registry go on while all probes since the last failure
// are inconclusive.
func TestFlowOfGoneUpstreamResetByOldProbes(t *testing.T) {
	h := newHarness(t, threeUpstreams()...)
	u := h.engine.Roster().ByService("desk")[0]
	h.checkForwarded(u)
	h.sync(threeUpstreams()[1:]...)
	h.checkForwarded(u)
	h.failProbes(u)
	for range 5 {
		h.awaitProbe(u)
		h.now = h.now.Add(200 * time.Millisecond)
		h.engine.FinishProbe(h.now, u, health.OutcomeInconclusive)
	}
	h.checkForwarded(u)
	h.failProbe(u)
	h.checkEnded(u)
}

// probeRun carries out the probes of an engine in virtual time: those of the upstreams in answering are answered after a millisecond, the others
// time out.
type probeRun struct {
	*harness
	answering map[model.UpstreamID]bool
	running   []runningProbe
	// answered holds the time of the last answered probe of each upstream.
	answered map[model.UpstreamID]model.Instant
}

type runningProbe struct {
	up      *roster.Upstream
	end     model.Instant
	outcome health.Outcome
}

// start starts the probes among the actions.
func (p *probeRun) start(actions []direct.Action) {
	for _, a := range actions {
		if a.Verb != model.VerbProbe {
			continue
		}
		probe := runningProbe{up: a.Upstream, end: p.now.Add(a.Timeout), outcome: health.OutcomeFailed}
		if p.answering[a.Upstream.ID] {
			probe.end, probe.outcome = p.now.Add(time.Millisecond), health.OutcomeAnswered
		}
		p.running = append(p.running, probe)
	}
	p.True(len(p.running) <= 8)
}

// run lets time pass in steps of 5 ms, with a tick every 100 ms, until a condition is met or the limit is reached. It returns the time that it took.
func (p *probeRun) run(limit time.Duration, done func() bool) time.Duration {
	start := p.now
	for n := 0; p.now.Sub(start) < limit && !done(); n++ {
		p.now = p.now.Add(5 * time.Millisecond)
		ended := slices.Clone(p.running)
		p.running = slices.DeleteFunc(p.running, func(r runningProbe) bool { return r.end <= p.now })
		for _, r := range ended {
			if r.end > p.now {
				continue
			}
			if r.outcome == health.OutcomeAnswered {
				p.answered[r.up.ID] = p.now
			}
			p.start(p.engine.FinishProbe(p.now, r.up, r.outcome))
		}
		if n%20 == 0 {
			p.start(p.engine.Tick(p.now))
		}
	}
	return p.now.Sub(start)
}

// TestUpstreamNeverProbed checks that an upstream that answers again is noticed in bounded time, however many others do not answer, although their
// callers send packets all the time.
func TestUpstreamNeverProbed(t *testing.T) {
	const (
		upstreams, slots = 120, 8
		timeout          = 200 * time.Millisecond
		interval         = time.Second
		tick             = 100 * time.Millisecond
		// A probe that began before the upstream answered fails; the next is due after an interval, behind one probe of each other upstream.
		bound = timeout + interval + (upstreams+slots-1)/slots*timeout + tick
	)
	for _, gone := range []bool{false, true} {
		for _, nth := range []int{0, upstreams / 2, upstreams - 1} {
			t.Run(fmt.Sprintf("upstream %d, gone from the registry: %v", nth, gone), func(t *testing.T) {
				domains := []model.DomainID{"east", "north", "west"}
				items := []model.Registration{}
				for n := range upstreams {
					items = append(items, registration(n+1, domains[n%len(domains)]))
				}
				p := &probeRun{harness: newHarness(t, items...), answering: map[model.UpstreamID]bool{}, answered: map[model.UpstreamID]model.Instant{}}
				ups := slices.Clone(p.engine.Roster().ByService("desk"))
				packets := func() {
					for n, u := range ups {
						if n < upstreams/2 {
							p.start(p.engine.Packet(p.now, &model.Segment{Flow: flowKey(uint16(n+1), orderAddress), HasAck: true, Tag: u.Tag, Seq: 1, AckSeq: 1, Size: 100}))
						}
					}
				}
				for n, u := range ups {
					p.data(uint16(n+1), orderAddress, u.Tag)
				}
				if gone {
					p.sync(slices.DeleteFunc(items, func(r model.Registration) bool { return r.ID == ups[nth].ID })...)
				}
				// Less than the idle timeout of flows.
				p.run(10*time.Second, func() bool { packets(); return false })
				p.answering[ups[nth].ID] = true
				took := p.run(10*bound, func() bool { packets(); return p.answered[ups[nth].ID] != 0 })
				if took > bound {
					t.Errorf("answer noticed after %v, more than %v", took, bound)
				}
			})
		}
	}
}

// TestProbeOrder checks that probes that wait for others to finish start in the order in which they became due, and then by ID.
func TestProbeOrder(t *testing.T) {
	items := []model.Registration{}
	for n := range 12 {
		items = append(items, registration(n+1, "east"))
	}
	h := newHarness(t, items...)
	ups := slices.Clone(h.engine.Roster().ByService("desk"))
	started := []*roster.Upstream{}
	start := func(actions []direct.Action) {
		for _, a := range actions {
			h.Equal(a.Verb, model.VerbProbe)
			started = append(started, a.Upstream)
		}
	}
	for _, batch := range [][]*roster.Upstream{ups[:8], ups[11:], {ups[10], ups[8], ups[9]}} {
		h.now = h.now.Add(time.Millisecond)
		for _, u := range batch {
			u.Health.MarkSuspect(h.now)
		}
		start(h.engine.Tick(h.now))
	}
	h.Equal(len(started), 8)
	for _, u := range ups[:4] {
		start(h.engine.FinishProbe(h.now, u, health.OutcomeAnswered))
	}
	h.Equal(started, append(ups[:8:8], ups[11], ups[8], ups[9], ups[10]))
}

// TestTickAllocations checks that a tick in which no probe is due allocates nothing.
func TestTickAllocations(t *testing.T) {
	h := newHarness(t, threeUpstreams()...)
	h.engine.FinishProbe(h.now, h.engine.Roster().ByService("desk")[0], health.OutcomeAnswered)
	h.Equal(testing.AllocsPerRun(100, func() {
		h.now = h.now.Add(time.Millisecond)
		h.engine.Tick(h.now)
	}), 0.0)
}

// TestFailedProbeFromBeforeAnswer checks that a failed probe that began before the upstream answered counts neither against the upstream, whose next
// packet has timed out, nor against its failure domain.
func TestFailedProbeFromBeforeAnswer(t *testing.T) {
	h := newHarness(t, threeUpstreams()...)
	u, other := h.engine.Roster().ByService("desk")[0], h.engine.Roster().ByService("desk")[1]
	h.data(1, feedAddress, u.Tag)
	h.now = h.now.Add(200 * time.Millisecond)
	h.data(1, feedAddress, u.Tag)
	h.Equal(u.Health.Timeouts(), 1)
	h.now = h.now.Add(20 * time.Millisecond)
	request := model.Segment{Flow: flowKey(1, feedAddress), HasAck: true, Tag: u.Tag, Seq: 101, AckSeq: 900, Size: 100}
	h.send(request)
	h.now = h.now.Add(170 * time.Millisecond)
	h.send(request)
	h.engine.FinishProbe(h.now, u, health.OutcomeFailed)
	h.Equal(u.Health.FailedProbes(), 0)
	// The next probe is lost, too.
	h.awaitProbe(u)
	h.now = h.now.Add(200 * time.Millisecond)
	for _, a := range h.engine.FinishProbe(h.now, u, health.OutcomeFailed) {
		h.Equal(a.Verb, model.VerbProbe)
	}
	h.Equal(h.send(request).Verb, model.VerbForward)

	// The upstream answers once more during a probe that fails, then two packets time out, and another upstream fails.
	h.awaitProbe(u)
	request.AckSeq = 1800
	h.now = h.now.Add(time.Millisecond)
	h.send(request)
	u.Health.RecordTimeout(h.now)
	u.Health.RecordTimeout(h.now)
	h.now = h.now.Add(200 * time.Millisecond)
	h.engine.FinishProbe(h.now, u, health.OutcomeFailed)
	// Its probe started when that of the first upstream failed.
	h.engine.FinishProbe(h.now, other, health.OutcomeFailed)
	h.Equal(other.Health.FailedProbes(), 1)
	h.True(!slices.ContainsFunc(h.engine.TakeEvents(), func(e direct.Event) bool { return e.Kind == direct.EventDomainPartitioned }))
}
