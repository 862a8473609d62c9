package direct_test

import (
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
		// pass lets time pass after the third failed probe of an upstream; all, including the upstream, are registered.
		pass  func(h *harness, u *roster.Upstream, all []model.Registration)
		reset bool
	}{
		"the upstream is probed": {
			pass: func(h *harness, u *roster.Upstream, _ []model.Registration) {
				for range 10 {
					h.failProbe(u)
				}
			},
			reset: true,
		},
		"the upstream was gone without flows": {
			pass: func(h *harness, _ *roster.Upstream, all []model.Registration) {
				h.sync(all[1:]...)
				h.advance(5 * time.Second)
				h.sync(all...)
			},
		},
		"other probes took all slots": {
			pass: func(h *harness, u *roster.Upstream, _ []model.Registration) {
				others := slices.DeleteFunc(slices.Clone(h.engine.Roster().All()), func(o *roster.Upstream) bool { return o == u })
				for _, o := range others {
					o.Health.MarkSuspect(h.now)
				}
				h.engine.Tick(h.now)
				h.advance(5 * time.Second)
				for _, o := range others {
					h.engine.FinishProbe(h.now, o, health.OutcomeAnswered)
				}
			},
		},
		"all probes since were inconclusive": {
			pass: func(h *harness, u *roster.Upstream, _ []model.Registration) {
				for range 10 {
					h.awaitProbe(u)
					h.now = h.now.Add(200 * time.Millisecond)
					h.engine.FinishProbe(h.now, u, health.OutcomeInconclusive)
				}
				h.now = h.now.Add(time.Second)
			},
		},
		"another upstream has shown that the path to the failure domain is back": {
			pass: func(h *harness, _ *roster.Upstream, _ []model.Registration) {
				other := h.engine.Roster().ByService("desk")[1]
				h.engine.FinishProbe(h.now, other, health.OutcomeFailed)
				h.awaitProbe(other)
				h.engine.FinishProbe(h.now, other, health.OutcomeAnswered)
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
			tc.pass(h, u, all)
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
			h.Equal(verbs, map[model.Verb]int{model.VerbForward: 1, model.VerbProbe: 1})
			h.now = h.now.Add(200 * time.Millisecond)
			h.engine.FinishProbe(h.now, u, health.OutcomeFailed)
			h.Equal(h.data(2, feedAddress, u.Tag).Verb, model.VerbReset)
		})
	}
}
