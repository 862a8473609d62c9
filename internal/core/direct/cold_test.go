package direct_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"hawthorncourse/internal/core/direct"
	"hawthorncourse/internal/core/health"
	"hawthorncourse/internal/core/model"
)

// TestColdQuota checks how many new flows of a cold upstream's rate one instance may send.
func TestColdQuota(t *testing.T) {
	alone := model.Ordinal{Count: 1}
	cases := map[string]struct {
		rate    float64
		domain  model.DomainID
		ordinal model.Ordinal
		delay   time.Duration
		want    int
	}{
		"slack only, one instance":           {ordinal: alone, want: 3},
		"rate of 10, one instance":           {rate: 10, ordinal: alone, want: 10},
		"rate of 10, two instances":          {rate: 10, ordinal: model.Ordinal{Index: 1, Count: 2}, want: 5},
		"upstream in another failure domain": {rate: 10, domain: "west", ordinal: alone, want: 10},
		"no ordinal":                         {rate: 10},
		"expired ordinal":                    {rate: 10, ordinal: alone, delay: time.Minute},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			item := registration(1, "east")
			item.ColdFor = time.Hour
			h := &harness{I: is.New(t), now: model.Instant(time.Minute)}
			if tc.domain == "" {
				tc.domain = "east"
			}
			h.engine = direct.New(direct.Config{Domain: tc.domain, Seed: 1, Limits: direct.Limits{Domains: 2, FlowLife: time.Minute, ColdFactor: 1.5, ColdSlack: 5}})
			limits := routeTable(1)
			limits.Services = []model.ServiceLimits{{ID: "desk", ColdRate: tc.rate}}
			h.True(h.engine.SetRoutes(limits))
			h.sync(item)
			h.engine.SetReady(h.now)
			h.engine.SetOrdinal(tc.ordinal, h.now.Add(time.Second))
			h.now = h.now.Add(tc.delay)
			placed := 0
			for port := uint16(1); port <= 30; port++ {
				if h.syn(port, feedAddress, 0).Verb == model.VerbForward {
					placed++
				}
			}
			h.Equal(placed, tc.want)
		})
	}
}

// TestColdLimitAcrossInstances simulates a failure domain of 24 instances whose upstreams are all cold, as after an outage of the domain.
// Together the instances must never exceed an upstream's rate in any second, and must use every upstream.
func TestColdLimitAcrossInstances(t *testing.T) {
	const instances, upstreams, rate = 24, 10, 5
	is := is.New(t)
	var items []model.Registration
	for n := range upstreams {
		item := registration(n+1, "east")
		item.ColdFor = time.Hour
		items = append(items, item)
	}
	var harnesses []*harness
	for n := range instances {
		h := &harness{I: is, now: model.Instant(time.Minute)}
		h.engine = direct.New(direct.Config{Domain: "east", Seed: uint64(n + 1), Limits: direct.Limits{Domains: 4, FlowLife: time.Minute, ColdFactor: 1.5, ColdSlack: rate}})
		h.True(h.engine.SetRoutes(routeTable(1)))
		h.sync(items...)
		h.engine.SetReady(h.now)
		h.engine.SetOrdinal(model.Ordinal{Index: n, Count: instances}, h.now.Add(time.Hour))
		harnesses = append(harnesses, h)
	}
	sent := map[model.UpstreamID][]model.Instant{}
	for step := range 300 {
		for _, h := range harnesses {
			h.now = model.Instant(time.Minute).Add(time.Duration(step) * 10 * time.Millisecond)
			actions := append(h.engine.Tick(h.now), h.syn(uint16(step+1), feedAddress, 0))
			for _, a := range actions {
				if a.Verb == model.VerbForward {
					sent[a.Upstream.ID] = append(sent[a.Upstream.ID], h.now)
				}
			}
		}
	}
	is.Equal(len(sent), upstreams)
	for _, times := range sent {
		for n := rate; n < len(times); n++ {
			is.True(times[n].Sub(times[n-rate]) >= time.Second)
		}
	}
}

// TestPossibleRestart checks an upstream that was down and responds again before the registry shows whether it has restarted: it must be
// treated as cold until its registration is updated or the length of a cold start has passed.
func TestPossibleRestart(t *testing.T) {
	const coldFor = 2 * time.Second
	cases := map[string]struct {
		// down holds the indexes of the upstreams whose probes fail.
		down []int
		// update changes the registration after the recovery, and delay is the time from then to the check.
		update func(*model.Registration)
		delay  time.Duration
		cold   bool
	}{
		"one upstream":                     {down: []int{0}, cold: true},
		"one upstream, cold start over":    {down: []int{0}, delay: coldFor},
		"one upstream, registered as warm": {down: []int{0}, update: func(r *model.Registration) { r.Revision = 50 }},
		"one upstream, registered as cold": {down: []int{0}, update: func(r *model.Registration) { r.Boot, r.Revision, r.ColdFor = 9, 50, coldFor }, cold: true},
		"partitioned failure domain":       {down: []int{0, 1}},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			h := &harness{I: is.New(t), now: model.Instant(time.Minute)}
			h.engine = direct.New(direct.Config{Domain: "east", Seed: 1, Limits: direct.Limits{Domains: 2, FlowLife: time.Minute, ColdSlack: 5}})
			limits := routeTable(1)
			limits.Services = []model.ServiceLimits{{ID: "desk", ColdFor: coldFor}}
			h.True(h.engine.SetRoutes(limits))
			items := threeUpstreams()
			h.sync(items...)
			h.engine.SetReady(h.now)
			ups := h.engine.Roster().ByService("desk")
			for range 2 {
				for _, n := range tc.down {
					ups[n].Health.RecordTimeout(h.now)
					ups[n].Health.StartProbe(h.now)
					h.engine.FinishProbe(h.now, ups[n], health.OutcomeFailed)
				}
				h.now = h.now.Add(time.Second)
			}
			for _, n := range tc.down {
				ups[n].Health.StartProbe(h.now)
				h.engine.FinishProbe(h.now, ups[n], health.OutcomeAnswered)
			}
			if tc.update != nil {
				tc.update(&items[0])
				h.sync(items...)
			}
			h.now = h.now.Add(tc.delay)
			for _, u := range h.engine.Roster().ByService("desk") {
				if u.ID == items[0].ID {
					h.Equal(u.Cold(h.now), tc.cold)
				}
			}
		})
	}
}

// TestUnreachableColdUpstream checks that a cold upstream that answers no probes gets a new flow only if no other upstream may take it.
func TestUnreachableColdUpstream(t *testing.T) {
	cold := func(n int) model.Registration {
		item := registration(n, "east")
		item.ColdFor = time.Hour
		return item
	}
	h := newHarness(t, cold(1), cold(2))
	h.engine.SetLimits(direct.Limits{Domains: 1, FlowLife: time.Minute, ColdFactor: 1.5, ColdSlack: 5})
	h.engine.SetOrdinal(model.Ordinal{Count: 1}, h.now.Add(time.Hour))
	ups := h.engine.Roster().ByService("desk")
	h.makeUnreachable(ups[0])
	for port := uint16(1); port <= 3; port++ {
		a := h.syn(port, feedAddress, 0)
		h.Equal(a.Upstream, ups[1])
		h.data(port, feedAddress, a.Upstream.Tag)
		h.now = h.now.Add(time.Second)
	}
	h.makeUnreachable(ups[1])
	h.Equal(h.syn(9, feedAddress, 0).Verb, model.VerbForward)
}
