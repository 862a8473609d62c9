package direct_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"hawthorncourse/internal/core/direct"
	"hawthorncourse/internal/core/model"
)

// TestColdShare checks how much of what a cold upstream bears one instance takes.
func TestColdShare(t *testing.T) {
	cases := map[string]struct {
		rate float64
		want int
	}{
		"only the slack":       {want: 1},
		"a rate of ten":        {rate: 10, want: 4},
		"a rate of one":        {rate: 1, want: 1},
		"less than one for us": {rate: 0.1, want: 1},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			item := member(1, "east")
			item.ColdFor = 2 * time.Second
			d := &desk{I: is.New(t), now: model.Instant(time.Minute)}
			d.e = direct.New(direct.Config{Domain: "east", Seed: 1, FlowLife: time.Minute, ColdFactor: 1.5, ColdSlack: 5})
			limits := table(1)
			limits.Services = []model.ServiceLimits{{ID: "desk", ColdRate: tc.rate}}
			d.True(d.e.SetRoutes(limits))
			d.list(item)
			d.e.SetReady(d.now)
			placed := 0
			for port := uint16(1); port <= 20; port++ {
				if d.syn(port, feedAddress, 0).Verb == model.VerbForward {
					placed++
				}
			}
			d.Equal(placed, tc.want)
		})
	}
}

// TestColdLimit checks that cold upstreams get few flows from one instance even if all of them are cold.
func TestColdLimit(t *testing.T) {
	items := three()
	for i := range items {
		items[i].ColdFor = 2 * time.Second
	}
	d := newDesk(t, items...)
	sent := map[model.UpstreamID]int{}
	for port := uint16(1); port <= 100; port++ {
		if a := d.syn(port, feedAddress, 0); a.Verb == model.VerbForward {
			sent[a.Upstream.ID]++
		}
		d.now = d.now.Add(10 * time.Millisecond)
		for _, a := range d.e.Tick(d.now) {
			if a.Verb == model.VerbForward {
				sent[a.Upstream.ID]++
			}
		}
	}
	for _, n := range sent {
		d.True(n <= 2)
	}
	d.Equal(len(sent), 3)
	d.now = d.now.Add(time.Second)
	d.Equal(d.syn(200, feedAddress, 0).Verb, model.VerbForward)
}
