package roster_test

import (
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"

	"hawthorncourse/internal/core/health"
	"hawthorncourse/internal/core/model"
	"hawthorncourse/internal/core/roster"
)

// sharedTagNumbers are the numbers of two upstreams whose runs with start 1 have the same tag.
var sharedTagNumbers = [2]model.EndpointNumber{46468, 66697}

// TestSharedTag guards against packets of open flows that go to another upstream because its run has the same tag as theirs.
func TestSharedTag(t *testing.T) {
	run := func(n int, rev model.Revision) model.Registration {
		reg := registration(1, rev)
		reg.ID, reg.Number = model.UpstreamID("ab"[n:n+1]), sharedTagNumbers[n]
		reg.Address = netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 1, byte(n)}), 80)
		return reg
	}
	first, second := run(0, 4), run(1, 6)
	heartbeat := func(reg model.Registration, rev model.Revision) model.Registration {
		reg.Revision = rev
		return reg
	}
	restarted := heartbeat(first, 9)
	restarted.Boot, restarted.Address = 2, netip.MustParseAddrPort("10.0.1.9:80")
	at := func(s int) model.Instant { return afterGrace.Add(time.Duration(s) * time.Second) }
	fail := func(u *roster.Upstream, now model.Instant) {
		for range 3 {
			u.Health.FinishProbe(now, health.OutcomeFailed)
		}
	}
	cases := map[string]struct {
		steps func(*roster.Roster)
		// holder is the ID of the run that packets with the tag go to.
		holder model.UpstreamID
		// used holds the IDs that get new flows.
		used []model.UpstreamID
	}{
		"the second is listed": {
			steps: func(r *roster.Roster) { r.Sync(at(1), listing(first, second)) }, holder: "a", used: []model.UpstreamID{"a"},
		},
		"the second is listed before the first": {
			steps: func(r *roster.Roster) { r.Sync(at(1), listing(second, first)) }, holder: "a", used: []model.UpstreamID{"a"},
		},
		"heartbeats": {steps: func(r *roster.Roster) {
			for s := range 20 {
				r.Sync(at(s), listing(heartbeat(first, model.Revision(10+2*s)), heartbeat(second, model.Revision(11+2*s))))
			}
		}, holder: "a", used: []model.UpstreamID{"a"}},
		"the second leaves": {steps: func(r *roster.Roster) {
			r.Sync(at(1), listing(first, second))
			r.Sync(at(2), listing(first))
		}, holder: "a", used: []model.UpstreamID{"a"}},
		"the first leaves and answers probes": {steps: func(r *roster.Roster) {
			r.Sync(at(1), listing(first, second))
			r.Sync(at(2), listing(second))
		}, holder: "a"},
		"the first has left before": {steps: func(r *roster.Roster) {
			r.Sync(at(1), listing())
			r.Sync(at(2), listing(second))
		}, holder: "a"},
		"the first leaves and does not answer probes": {steps: func(r *roster.Roster) {
			r.Sync(at(1), listing(first, second))
			r.Sync(at(2), listing(second))
			fail(r.ByTag("orders", tagOf(first)), at(3))
		}, holder: "b", used: []model.UpstreamID{"b"}},
		"the first leaves, does not answer probes and returns": {steps: func(r *roster.Roster) {
			r.Sync(at(1), listing(first, second))
			r.Sync(at(2), listing(second))
			fail(r.ByTag("orders", tagOf(first)), at(3))
			r.Confirm(at(3), at(3))
			r.Sync(at(3), listing(first, second))
		}, holder: "b", used: []model.UpstreamID{"b"}},
		"the first starts again elsewhere": {steps: func(r *roster.Roster) {
			r.Sync(at(1), listing(first, second))
			r.Sync(at(2), listing(restarted, second))
		}, holder: "b", used: []model.UpstreamID{"a", "b"}},
		"the first has left for as long as a flow lives": {steps: func(r *roster.Roster) {
			r.Sync(at(1), listing(first, second))
			r.Sync(at(2), listing(second))
			r.ExpireTags(at(62))
		}, holder: "b", used: []model.UpstreamID{"b"}},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			r := roster.New(roster.Config{TagRetention: time.Minute})
			r.NameService("orders")
			r.Sync(afterGrace, listing(first))
			is.Equal(r.Get("a").Tag, tagOf(second))
			tc.steps(r)
			r.Confirm(at(3), at(3))
			is.Equal(r.ByTag("orders", tagOf(first)).ID, tc.holder)
			var used []model.UpstreamID
			for _, id := range []model.UpstreamID{"a", "b"} {
				if u := r.Get(id); u != nil && r.Usable(u) {
					used = append(used, id)
				}
			}
			is.Equal(used, tc.used)
		})
	}
}

// TestKnows checks for how long the tag of a run that has left is known: longer if its registration was lost than if it was replaced.
func TestKnows(t *testing.T) {
	cases := map[string]struct {
		next []model.Registration
		want time.Duration
	}{
		"lost":     {want: roster.LostTagRetention},
		"replaced": {next: []model.Registration{runOf(presentBoot, 9)}, want: time.Minute},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			r := roster.New(roster.Config{TagRetention: time.Minute})
			r.NameService("orders")
			tag := tagOf(runOf(earlierBoot, 4))
			is.True(!r.Knows(0, tag))
			r.Sync(0, listing(runOf(earlierBoot, 4)))
			r.Sync(afterGrace, listing(tc.next...))
			for _, rest := range []time.Duration{time.Millisecond, 0} {
				now := afterGrace.Add(tc.want - rest)
				r.ExpireTags(now)
				is.Equal(r.Knows(now, tag), rest > 0)
			}
		})
	}
}
