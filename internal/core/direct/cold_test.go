package direct_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"hawthorncourse/internal/core/direct"
	"hawthorncourse/internal/core/health"
	"hawthorncourse/internal/core/model"
)

// TestColdShare checks how much of what a cold upstream bears one instance takes.
func TestColdShare(t *testing.T) {
	alone := model.Ordinal{Count: 1}
	cases := map[string]struct {
		rate   float64
		domain model.DomainID
		place  model.Ordinal
		late   time.Duration
		want   int
	}{
		"only the slack, alone in the domain": {place: alone, want: 3},
		"a rate of ten":                       {rate: 10, place: alone, want: 10},
		"two in the domain":                   {rate: 10, place: model.Ordinal{Index: 1, Count: 2}, want: 5},
		"the other domain divides the rest":   {rate: 10, domain: "west", place: alone, want: 10},
		"without a number":                    {rate: 10},
		"with a number that is outdated":      {rate: 10, place: alone, late: time.Minute},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			item := member(1, "east")
			item.ColdFor = time.Hour
			d := &desk{I: is.New(t), now: model.Instant(time.Minute)}
			if tc.domain == "" {
				tc.domain = "east"
			}
			d.e = direct.New(direct.Config{Domain: tc.domain, Seed: 1, Limits: direct.Limits{Domains: 2, FlowLife: time.Minute, ColdFactor: 1.5, ColdSlack: 5}})
			limits := table(1)
			limits.Services = []model.ServiceLimits{{ID: "desk", ColdRate: tc.rate}}
			d.True(d.e.SetRoutes(limits))
			d.list(item)
			d.e.SetReady(d.now)
			d.e.SetOrdinal(tc.place, d.now.Add(time.Second))
			d.now = d.now.Add(tc.late)
			placed := 0
			for port := uint16(1); port <= 30; port++ {
				if d.syn(port, feedAddress, 0).Verb == model.VerbForward {
					placed++
				}
			}
			d.Equal(placed, tc.want)
		})
	}
}

// TestColdLimit replays a failure domain of 24 instances whose upstreams are all cold, as after the domain was out: together
// the instances give no upstream more than it bears in any second, and leave none idle.
func TestColdLimit(t *testing.T) {
	const instances, upstreams, bears = 24, 10, 5
	is := is.New(t)
	var items []model.Registration
	for n := range upstreams {
		item := member(n+1, "east")
		item.ColdFor = time.Hour
		items = append(items, item)
	}
	var desks []*desk
	for n := range instances {
		d := &desk{I: is, now: model.Instant(time.Minute)}
		d.e = direct.New(direct.Config{Domain: "east", Seed: uint64(n + 1), Limits: direct.Limits{Domains: 4, FlowLife: time.Minute, ColdFactor: 1.5, ColdSlack: bears}})
		d.True(d.e.SetRoutes(table(1)))
		d.list(items...)
		d.e.SetReady(d.now)
		d.e.SetOrdinal(model.Ordinal{Index: n, Count: instances}, d.now.Add(time.Hour))
		desks = append(desks, d)
	}
	sent := map[model.UpstreamID][]model.Instant{}
	for step := range 300 {
		for _, d := range desks {
			d.now = model.Instant(time.Minute).Add(time.Duration(step) * 10 * time.Millisecond)
			actions := append(d.e.Tick(d.now), d.syn(uint16(step+1), feedAddress, 0))
			for _, a := range actions {
				if a.Verb == model.VerbForward {
					sent[a.Upstream.ID] = append(sent[a.Upstream.ID], d.now)
				}
			}
		}
	}
	is.Equal(len(sent), upstreams)
	for _, list := range sent {
		for n := bears; n < len(list); n++ {
			is.True(list[n].Sub(list[n-bears]) >= time.Second)
		}
	}
}

// TestRestart replays an upstream that was down and answers again before the registry tells whether it has restarted.
func TestRestart(t *testing.T) {
	const coldFor = 2 * time.Second
	cases := map[string]struct {
		// down holds the upstreams that answer no probe.
		down []int
		// told is what the registry says after the return, and late how long after it the flows come.
		told func(*model.Registration)
		late time.Duration
		cold bool
	}{
		"one upstream":                       {down: []int{0}, cold: true},
		"one, and its cold start is over":    {down: []int{0}, late: coldFor},
		"one, and the registry says warm":    {down: []int{0}, told: func(r *model.Registration) { r.Revision = 50 }},
		"one, and the registry says cold":    {down: []int{0}, told: func(r *model.Registration) { r.Boot, r.Revision, r.ColdFor = 9, 50, coldFor }, cold: true},
		"the whole failure domain, by a cut": {down: []int{0, 1}},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			d := &desk{I: is.New(t), now: model.Instant(time.Minute)}
			d.e = direct.New(direct.Config{Domain: "east", Seed: 1, Limits: direct.Limits{Domains: 2, FlowLife: time.Minute, ColdSlack: 5}})
			limits := table(1)
			limits.Services = []model.ServiceLimits{{ID: "desk", ColdFor: coldFor}}
			d.True(d.e.SetRoutes(limits))
			items := three()
			d.list(items...)
			d.e.SetReady(d.now)
			ups := d.e.Roster().ByService("desk")
			for range 2 {
				for _, n := range tc.down {
					ups[n].Health.RecordTimeout(d.now)
					ups[n].Health.StartProbe(d.now)
					d.e.FinishProbe(d.now, ups[n], health.OutcomeFailed)
				}
				d.now = d.now.Add(time.Second)
			}
			for _, n := range tc.down {
				ups[n].Health.StartProbe(d.now)
				d.e.FinishProbe(d.now, ups[n], health.OutcomeAnswered)
			}
			if tc.told != nil {
				tc.told(&items[0])
				d.list(items...)
			}
			d.now = d.now.Add(tc.late)
			for _, u := range d.e.Roster().ByService("desk") {
				if u.ID == items[0].ID {
					d.Equal(u.Cold(d.now), tc.cold)
				}
			}
		})
	}
}
