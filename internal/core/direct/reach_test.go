package direct_test

import (
	"slices"
	"testing"
	"time"

	"hawthorncourse/internal/core/direct"
	"hawthorncourse/internal/core/health"
	"hawthorncourse/internal/core/model"
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
