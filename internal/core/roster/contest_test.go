package roster_test

import (
	"net/netip"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"hawthorncourse/internal/core/health"
	"hawthorncourse/internal/core/model"
	"hawthorncourse/internal/core/roster"
)

// The start times of two runs of one upstream, and the time after which a listing is later than both.
const (
	earlierBoot = model.BootID(100)
	presentBoot = model.BootID(200)
	lateWrite   = afterGrace + model.Instant(6*time.Second)
)

// runOf returns the registration of one of the runs of an upstream that changes its address at each start, so that the flows of a replaced run have ended.
func runOf(boot model.BootID, rev model.Revision) model.Registration {
	reg := registration(boot, rev)
	reg.Address = netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(boot)}), 80)
	return reg
}

func drainingRun(boot model.BootID, rev model.Revision) model.Registration {
	reg := runOf(boot, rev)
	reg.Draining = true
	return reg
}

// TestLateHeartbeat guards against flows that are reset, and upstreams that get no new flows, because the store has executed a heartbeat of an
// earlier run after the upstream has started again.
func TestLateHeartbeat(t *testing.T) {
	late := runOf(earlierBoot, 9)
	next := lateWrite.Add(time.Second)
	restored := func(items ...model.Registration) model.Listing[model.Registration] {
		list := listing(items...)
		list.Era = 1
		return list
	}
	cases := map[string]struct {
		steps func(*roster.Roster)
		// state is the state of the present run afterwards, and usable whether it gets new flows.
		state  roster.State
		usable bool
		// earlierUsed is set if the earlier run is used after the present one is gone.
		earlierUsed bool
	}{
		"listed": {steps: func(r *roster.Roster) { r.Sync(lateWrite, listing(late)) }, state: roster.StateListed, usable: true},
		"listed, then overwritten by the present run": {
			steps: func(r *roster.Roster) {
				r.Sync(lateWrite, listing(late))
				r.Sync(next, listing(runOf(presentBoot, 12)))
			},
			state: roster.StateListed, usable: true,
		},
		"listed together with other changes of the present run": {
			steps: func(r *roster.Roster) {
				r.Sync(lateWrite, listing(runOf(presentBoot, 8)))
				r.Sync(lateWrite, listing(late))
				r.Sync(next, listing(runOf(presentBoot, 12)))
				r.Sync(next, listing(runOf(earlierBoot, 14)))
			},
			state: roster.StateListed, usable: true,
		},
		"overwritten before it was listed": {
			steps: func(r *roster.Roster) { r.Sync(next, listing(runOf(presentBoot, 12))) }, state: roster.StateListed, usable: true,
		},
		"listed late by a peer, after the present run": {
			steps: func(r *roster.Roster) {
				r.Sync(next, listing(runOf(presentBoot, 12)))
				r.Sync(next, listing(late))
			},
			state: roster.StateListed, usable: true,
		},
		"one page of a list": {steps: func(r *roster.Roster) { r.Add(lateWrite, listing(late).Items, 0) }, state: roster.StateListed, usable: true},
		"it drains":          {steps: func(r *roster.Roster) { r.Sync(lateWrite, listing(drainingRun(earlierBoot, 9))) }, state: roster.StateListed, usable: true},
		"the present run drains, then the late write": {
			steps: func(r *roster.Roster) {
				r.Sync(lateWrite, listing(drainingRun(presentBoot, 8)))
				r.Sync(lateWrite, listing(late))
			},
			state: roster.StateListed,
		},
		"confirmed several times": {
			steps: func(r *roster.Roster) {
				r.Sync(lateWrite, listing(late))
				for at := lateWrite; at < lateWrite.Add(roster.ContestTime); at = at.Add(time.Second) {
					r.Sync(at, listing(late))
					r.Confirm(at, at)
				}
			},
			state: roster.StateListed, usable: true,
		},
		"after the present run's registration was lost in an outage": {
			steps: func(r *roster.Roster) {
				r.ExtendGrace(lateWrite.Add(time.Second))
				r.Sync(lateWrite, listing())
				r.Sync(lateWrite, listing(late))
			},
			state: roster.StateMissing, usable: true,
		},
		"removed again": {
			steps: func(r *roster.Roster) { r.Sync(lateWrite, listing(late)); r.Sync(next, listing()) }, state: roster.StateGone,
		},
		"after the present run has left": {
			steps: func(r *roster.Roster) { r.Sync(lateWrite, listing()); r.Sync(next, listing(late)) }, state: roster.StateGone,
		},
		"after a restore of the store": {
			steps: func(r *roster.Roster) {
				r.Sync(lateWrite, restored(runOf(presentBoot, 5)))
				r.Sync(next, restored(late))
			},
			state: roster.StateListed, usable: true,
		},
		"it stands": {
			steps: func(r *roster.Roster) {
				r.Sync(lateWrite, listing(late))
				r.Confirm(lateWrite.Add(roster.ContestTime), lateWrite.Add(roster.ContestTime))
			},
			state: roster.StateGone, earlierUsed: true,
		},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			r := roster.New(roster.Config{TagRetention: time.Minute})
			r.Sync(0, listing(runOf(earlierBoot, 2)))
			earlier := r.Get("a")
			r.Sync(afterGrace, listing(runOf(presentBoot, 5)))
			present := r.Get("a")
			is.True(earlier.Replaced())
			tc.steps(r)
			is.Equal(r.ByTag("orders", present.Tag), present)
			is.Equal(present.State, tc.state)
			is.True(!present.Replaced())
			is.Equal(r.Usable(present), tc.usable)
			if tc.state == roster.StateGone {
				is.Equal(r.Get("a") != nil, tc.earlierUsed)
			} else {
				is.Equal(r.ByService("orders"), []*roster.Upstream{present})
			}
		})
	}
}

// TestEarlierStartStands checks that a run with an earlier start, as after the clock of its machine was set back, is used once its registration has
// stood longer than a late write would, and that neither late writes nor the return of the other run end it.
func TestEarlierStartStands(t *testing.T) {
	stood := lateWrite.Add(roster.ContestTime)
	cases := map[string]func(*roster.Roster){
		"nothing more":                     func(*roster.Roster) {},
		"its next heartbeat":               func(r *roster.Roster) { r.Sync(stood, listing(runOf(earlierBoot, 12))) },
		"a late write of the other run":    func(r *roster.Roster) { r.Sync(stood, listing(runOf(presentBoot, 12))) },
		"a late write of an earlier start": func(r *roster.Roster) { r.Sync(stood, listing(runOf(earlierBoot-1, 12))) },
	}
	for name, then := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			r := roster.New(roster.Config{TagRetention: time.Minute})
			r.Sync(afterGrace, listing(runOf(presentBoot, 5)))
			r.Sync(lateWrite, listing(runOf(earlierBoot, 9)))
			r.Confirm(stood, stood-1)
			is.Equal(r.Get("a").Boot, presentBoot)
			r.Confirm(stood, stood)
			u := r.Get("a")
			is.Equal(u.Boot, earlierBoot)
			then(r)
			is.Equal(r.Get("a"), u)
			is.True(r.Usable(u))
			is.True(!u.Replaced())
		})
	}
}

// TestLateHeartbeatAtStart checks that an instance that starts while a late write is listed uses the present run as soon as that is listed.
func TestLateHeartbeatAtStart(t *testing.T) {
	is := is.New(t)
	r := roster.New(roster.Config{TagRetention: time.Minute})
	r.Add(0, listing(runOf(earlierBoot, 9)).Items, 0)
	r.Sync(0, listing(runOf(earlierBoot, 9)))
	r.Sync(afterGrace, listing(runOf(presentBoot, 12)))
	u := r.Get("a")
	is.Equal(u.Boot, presentBoot)
	is.True(r.Usable(u))
	r.Sync(afterGrace, listing(runOf(earlierBoot, 14)))
	is.Equal(r.Get("a"), u)
	is.True(!u.Replaced())
}

// TestForeignEntry guards against flows that are reset, and upstreams that get no new flows, because another writer registers a service that no
// configuration names at the address of a running upstream.
func TestForeignEntry(t *testing.T) {
	address := netip.MustParseAddrPort("10.0.0.1:80")
	own := func(rev model.Revision) model.Registration {
		reg := registration(presentBoot, rev)
		reg.Address = address
		return reg
	}
	foreign := func(rev model.Revision) model.Registration {
		return model.Registration{ID: "foreign", Boot: presentBoot + 100, Revision: rev, Number: 8, Service: "monitoring", Domain: "east", Address: address, Slots: 1}
	}
	at, next := lateWrite, lateWrite.Add(time.Second)
	cases := map[string]struct {
		// starts is set if the instance starts with the steps, and has not known the upstream before.
		starts bool
		steps  func(*roster.Roster)
		// gone is set if the own registration is not listed at the end.
		gone bool
	}{
		"after the own entry":                {steps: func(r *roster.Roster) { r.Sync(at, listing(own(5), foreign(9))) }},
		"after the own entry, listed before": {steps: func(r *roster.Roster) { r.Sync(at, listing(foreign(9), own(5))) }},
		"before a heartbeat, in one change":  {steps: func(r *roster.Roster) { r.Sync(at, listing(own(10), foreign(9))) }},
		"before a heartbeat, listed before":  {steps: func(r *roster.Roster) { r.Sync(at, listing(foreign(9), own(10))) }},
		"between two heartbeats of one change": {steps: func(r *roster.Roster) {
			r.Sync(at, listing(own(8), foreign(9)))
			r.Sync(next, listing(own(10), foreign(9)))
		}},
		"then a heartbeat": {steps: func(r *roster.Roster) {
			r.Sync(at, listing(own(5), foreign(9)))
			r.Sync(next, listing(own(10), foreign(9)))
		}},
		"then a heartbeat, then written again": {
			steps: func(r *roster.Roster) {
				r.Sync(at, listing(own(5), foreign(9)))
				r.Sync(next, listing(own(10), foreign(9)))
				r.Sync(next, listing(own(10), foreign(12)))
			},
		},
		"then removed":     {steps: func(r *roster.Roster) { r.Sync(at, listing(own(5), foreign(9))); r.Sync(next, listing(own(5))) }},
		"a page of a list": {steps: func(r *roster.Roster) { r.Add(at, listing(foreign(9)).Items, 0) }},
		"after the own entry was lost": {
			steps: func(r *roster.Roster) { r.Sync(at, listing()); r.Sync(next, listing(foreign(9))) }, gone: true,
		},
		"before the own entry was lost": {
			steps: func(r *roster.Roster) { r.Sync(at, listing(own(5), foreign(9))); r.Sync(next, listing(foreign(9))) }, gone: true,
		},
		"in an outage, after which the own entry returns": {
			steps: func(r *roster.Roster) {
				r.ExtendGrace(next)
				r.Sync(at, listing(foreign(9)))
				r.Sync(next, listing(foreign(9), own(12)))
			},
		},
		"after a restore of the store": {
			steps: func(r *roster.Roster) {
				list := listing(own(3), foreign(4))
				list.Era = 1
				r.Sync(at, list)
			},
		},
		"known before the own entry":             {starts: true, steps: func(r *roster.Roster) { r.Sync(at, listing(foreign(9))); r.Sync(next, listing(foreign(9), own(10))) }},
		"at a start, in one list":                {starts: true, steps: func(r *roster.Roster) { r.Sync(at, listing(own(5), foreign(9))) }},
		"at a start, in an earlier page":         {starts: true, steps: func(r *roster.Roster) { r.Add(at, listing(foreign(9)).Items, 0); r.Add(at, listing(own(5)).Items, 0) }},
		"at a start, in a later page":            {starts: true, steps: func(r *roster.Roster) { r.Add(at, listing(own(5)).Items, 0); r.Add(at, listing(foreign(9)).Items, 0) }},
		"at a start, then other services change": {starts: true, steps: func(r *roster.Roster) { r.Sync(at, listing(own(5), foreign(9))); r.NameService("claims") }},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			r := roster.New(roster.Config{TagRetention: time.Minute})
			r.NameService("orders")
			if !tc.starts {
				r.Sync(afterGrace, listing(own(5)))
			}
			tc.steps(r)
			r.Confirm(next, next)
			if tc.gone {
				is.Equal(len(r.Gone()), 1)
				is.True(!r.Gone()[0].Replaced())
				return
			}
			u := r.Get("a")
			is.True(u != nil)
			is.True(r.Usable(u))
			is.True(!u.Replaced())
			is.Equal(r.ByTag("orders", u.Tag), u)
		})
	}
}

// TestOutlivedAtAddress guards against an upstream that gets no flows for the rest of its run because another registration with a later start has its
// address: that the own registration stands shows that the upstream runs.
func TestOutlivedAtAddress(t *testing.T) {
	address := netip.MustParseAddrPort("10.0.0.1:80")
	own := model.Registration{ID: "a", Boot: 100, Revision: 4, Number: 1, Service: "orders", Domain: "east", Address: address}
	other := model.Registration{ID: "b", Boot: 200, Revision: 9, Number: 2, Service: "claims", Domain: "east", Address: address}
	reuse := model.Registration{ID: "c", Boot: 300, Revision: 20, Number: 3, Service: "claims", Domain: "east", Address: address}
	heartbeat := func(reg model.Registration, rev model.Revision) model.Registration {
		reg.Revision = rev
		return reg
	}
	cases := map[string]struct {
		// before and after are the registrations listed until the own one has stood for ContestTime, and then.
		before, after []model.Registration
		// ended is set if the own run has ended at last.
		ended bool
	}{
		"the own entry does not change":     {before: []model.Registration{own, other}, after: []model.Registration{own, other}},
		"heartbeats of the upstream":        {before: []model.Registration{heartbeat(own, 10), other}, after: []model.Registration{heartbeat(own, 12), other}},
		"heartbeats of the other":           {before: []model.Registration{own, heartbeat(other, 10)}, after: []model.Registration{own, heartbeat(other, 12)}},
		"the other is removed":              {before: []model.Registration{own, other}, after: []model.Registration{own}},
		"the own entry is removed":          {before: []model.Registration{other}, after: []model.Registration{other}, ended: true},
		"a late heartbeat":                  {before: []model.Registration{other}, after: []model.Registration{heartbeat(own, 12), other}, ended: true},
		"the address is used again at last": {before: []model.Registration{own, other}, after: []model.Registration{own, other, reuse}, ended: true},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			r := roster.New(roster.Config{TagRetention: time.Minute})
			r.NameService("orders")
			r.NameService("claims")
			r.Sync(afterGrace, listing(own))
			u := r.Get("a")
			r.Sync(afterGrace, listing(own, other))
			is.True(u.Replaced())
			stood := afterGrace.Add(roster.ContestTime)
			r.Sync(afterGrace, listing(tc.before...))
			r.Confirm(stood, stood-1)
			is.Equal(r.Get("a"), nil)
			r.Confirm(stood, stood)
			for n := range 3 {
				r.Sync(stood.Add(time.Duration(n)*time.Second), listing(tc.after...))
			}
			is.Equal(u.Replaced(), tc.ended)
			is.Equal(slices.Contains(r.ByService("orders"), u), !tc.ended)
		})
	}
}

// TestServiceNamedLater checks that a run ends the earlier one at its address once a configuration names its service, in either order.
func TestServiceNamedLater(t *testing.T) {
	address := netip.MustParseAddrPort("10.0.0.1:80")
	earlier := model.Registration{ID: "a", Boot: 100, Revision: 4, Number: 1, Service: "orders", Domain: "east", Address: address}
	later := model.Registration{ID: "b", Boot: 200, Revision: 9, Number: 2, Service: "claims", Domain: "east", Address: address}
	cases := map[string]func(*roster.Roster){
		"named before it registers":  func(r *roster.Roster) { r.NameService("claims"); r.Sync(afterGrace, listing(earlier, later)) },
		"named after it registers":   func(r *roster.Roster) { r.Sync(afterGrace, listing(earlier, later)); r.NameService("claims") },
		"named after the other left": func(r *roster.Roster) { r.Sync(afterGrace, listing(later)); r.NameService("claims") },
	}
	for name, steps := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			r := roster.New(roster.Config{TagRetention: time.Minute})
			r.NameService("orders")
			r.Sync(0, listing(earlier))
			u := r.Get("a")
			steps(r)
			r.Confirm(afterGrace, afterGrace)
			is.True(u.Replaced())
			is.Equal(r.Len(), 1)
		})
	}
}

// TestEntryUnderOwnID guards against flows that are reset or sent elsewhere, and requests that run at another service, because another writer overwrites
// an upstream's registration by one that cannot be of it.
func TestEntryUnderOwnID(t *testing.T) {
	address, elsewhere := netip.MustParseAddrPort("10.0.0.1:80"), netip.MustParseAddrPort("10.0.0.2:80")
	own := func(rev model.Revision) model.Registration {
		reg := registration(presentBoot, rev)
		reg.Address = address
		return reg
	}
	entries := map[string]func(*model.Registration){
		"no start":                          func(reg *model.Registration) { reg.Boot = 0 },
		"another service":                   func(reg *model.Registration) { reg.Service = "claims" },
		"another service without a start":   func(reg *model.Registration) { reg.Service, reg.Boot = "claims", 0 },
		"another service, a later start":    func(reg *model.Registration) { reg.Service, reg.Boot = "claims", presentBoot+1 },
		"another service, an earlier start": func(reg *model.Registration) { reg.Service, reg.Boot = "claims", presentBoot-1 },
		"a service that is not named":       func(reg *model.Registration) { reg.Service, reg.Boot = "monitoring", presentBoot+1 },
		"another address":                   func(reg *model.Registration) { reg.Address = elsewhere },
		"another address without a start":   func(reg *model.Registration) { reg.Address, reg.Boot = elsewhere, 0 },
	}
	at, next := lateWrite, lateWrite.Add(time.Second)
	steps := map[string]struct {
		steps func(*roster.Roster, model.Registration)
		state roster.State
	}{
		"listed": {steps: func(r *roster.Roster, odd model.Registration) { r.Sync(at, listing(odd)) }, state: roster.StateUnreadable},
		"listed twice": {
			steps: func(r *roster.Roster, odd model.Registration) { r.Sync(at, listing(odd)); r.Sync(next, listing(odd)) }, state: roster.StateUnreadable,
		},
		"a page of a list": {steps: func(r *roster.Roster, odd model.Registration) { r.Add(at, listing(odd).Items, 0) }, state: roster.StateUnreadable},
		"overwritten by the upstream": {
			steps: func(r *roster.Roster, odd model.Registration) {
				r.Sync(at, listing(odd))
				r.Sync(next, listing(own(10)))
			}, state: roster.StateListed,
		},
		"removed": {
			steps: func(r *roster.Roster, odd model.Registration) { r.Sync(at, listing(odd)); r.Sync(next, listing()) }, state: roster.StateGone,
		},
		"after the own one was lost": {
			steps: func(r *roster.Roster, odd model.Registration) { r.Sync(at, listing()); r.Sync(next, listing(odd)) }, state: roster.StateGone,
		},
		"after the own one was lost, which then returns": {
			steps: func(r *roster.Roster, odd model.Registration) {
				r.Sync(at, listing())
				r.Sync(next, listing(odd))
				r.Sync(next, listing(own(10)))
			},
			state: roster.StateListed,
		},
		"it stands": {
			steps: func(r *roster.Roster, odd model.Registration) {
				r.Sync(at, listing(odd))
				r.Confirm(at.Add(roster.ContestTime), at.Add(roster.ContestTime))
			},
			state: roster.StateGone,
		},
	}
	for entry, change := range entries {
		for name, tc := range steps {
			t.Run(entry+"/"+name, func(t *testing.T) {
				is := is.New(t)
				r := roster.New(roster.Config{TagRetention: time.Minute})
				r.NameService("orders")
				r.NameService("claims")
				r.Sync(afterGrace, listing(own(5)))
				u := r.Get("a")
				odd := own(9)
				change(&odd)
				tc.steps(r, odd)
				is.True(!u.Replaced())
				if name == "it stands" {
					is.True(r.Get("a") != nil)
					return
				}
				is.Equal(u.State, tc.state)
				is.Equal(u.Address, address)
				is.Equal(r.ByTag("orders", u.Tag), u)
				is.Equal(r.Usable(u), tc.state == roster.StateListed)
				is.Equal(len(r.ByService("claims")), 0)
			})
		}
	}
}

// TestEntryUnderOwnIDAtStart checks that an instance that starts while another writer's entry is listed under an upstream's ID uses the upstream as soon
// as its own registration is listed, if the entry names no upstream to use.
func TestEntryUnderOwnIDAtStart(t *testing.T) {
	cases := map[string]func(*model.Registration){
		"no start":                    func(reg *model.Registration) { reg.Boot = 0 },
		"another service, no start":   func(reg *model.Registration) { reg.Service, reg.Boot = "claims", 0 },
		"a service that is not named": func(reg *model.Registration) { reg.Service = "monitoring" },
	}
	for name, change := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			r := roster.New(roster.Config{TagRetention: time.Minute})
			r.NameService("orders")
			r.NameService("claims")
			odd := registration(presentBoot, 9)
			change(&odd)
			r.Add(0, listing(odd).Items, 0)
			r.Sync(afterGrace, listing(registration(presentBoot, 10)))
			u := r.Get("a")
			is.Equal(u.Boot, presentBoot)
			is.Equal(u.Service, model.ServiceID("orders"))
			is.True(r.Usable(u))
			r.Sync(lateWrite, listing(odd))
			is.True(!u.Replaced())
		})
	}
}

// TestSoundRunEndedByContest guards against flows that are reset, and an upstream that is not used again, because a registration that contradicts its run
// has stood for ContestTime, as when the upstream could not write meanwhile.
func TestSoundRunEndedByContest(t *testing.T) {
	own := func(rev model.Revision) model.Registration { return runOf(presentBoot, rev) }
	cases := map[string]struct {
		// before is listed before the own registration, and odd stands.
		before model.Registration
		change func(*model.Registration)
		// atOnce is set if the next heartbeat must be applied when it is listed. That of a run with another start may be late.
		atOnce bool
	}{
		"another service":                   {change: func(reg *model.Registration) { reg.Service = "claims" }, atOnce: true},
		"another service, a later start":    {change: func(reg *model.Registration) { reg.Service, reg.Boot = "claims", presentBoot+1 }, atOnce: true},
		"another service, an earlier start": {change: func(reg *model.Registration) { reg.Service, reg.Boot = "claims", presentBoot-1 }, atOnce: true},
		"a service that is not named":       {change: func(reg *model.Registration) { reg.Service = "monitoring" }, atOnce: true},
		"no start":                          {change: func(reg *model.Registration) { reg.Boot = 0 }, atOnce: true},
		"an earlier run":                    {change: func(reg *model.Registration) { *reg = runOf(earlierBoot, reg.Revision) }},
		"an earlier run, listed before":     {before: runOf(earlierBoot, 2), change: func(reg *model.Registration) { *reg = runOf(earlierBoot, reg.Revision) }},
		"a run with a later start, listed before": {
			before: runOf(presentBoot+20, 2), change: func(reg *model.Registration) { *reg = runOf(presentBoot+20, reg.Revision) },
		},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			r := roster.New(roster.Config{TagRetention: time.Minute})
			r.NameService("orders")
			r.NameService("claims")
			now := afterGrace
			standing := func(reg model.Registration) {
				for range 8 {
					r.Sync(now, listing(reg))
					r.Confirm(now, now)
					now = now.Add(time.Second)
				}
			}
			if tc.before.ID != "" {
				standing(tc.before)
			}
			standing(own(5))
			u := r.Get("a")
			is.Equal(u.Boot, presentBoot)
			odd := own(9)
			tc.change(&odd)
			standing(odd)
			is.Equal(r.Get("a").Boot, odd.Boot)
			is.Equal(u.State, roster.StateGone)
			is.True(!u.Ended(now))
			is.True(!u.Replaced())
			is.Equal(r.ByTag("orders", u.Tag), u)
			r.Sync(now, listing(own(20)))
			is.True(!u.Replaced())
			is.Equal(r.Get("a") == u && r.Usable(u), tc.atOnce)
			standing(own(20))
			is.Equal(r.Get("a"), u)
			is.True(r.Usable(u))
			odd.Revision = 25
			r.Sync(now, listing(odd))
			is.Equal(r.Get("a"), u)
			is.True(!u.Replaced())
		})
	}
}

// TestEntryAtOtherAddressStands guards against packets of open flows that go elsewhere because an entry with the start of their upstream, so with their tag,
// but another address has stood for ContestTime.
func TestEntryAtOtherAddressStands(t *testing.T) {
	own, odd := runOf(presentBoot, 5), runOf(presentBoot, 9)
	odd.Address = netip.MustParseAddrPort("10.0.0.250:80")
	fail := func(u *roster.Upstream, now model.Instant) {
		u.Health.MarkSuspect(now)
		for range 3 {
			u.Health.FinishProbe(now, health.OutcomeFailed)
		}
	}
	cases := map[string]struct {
		// first are listed before the entry.
		first []model.Listing[model.Registration]
		// stands is how long the entry stands.
		stands time.Duration
		// silent is set if the upstream does not answer probes, and moved if packets go to the address of the entry at last.
		silent, moved bool
	}{
		"over the own entry":                               {first: []model.Listing[model.Registration]{listing(own)}, stands: 8 * time.Second},
		"after the own entry was lost":                     {first: []model.Listing[model.Registration]{listing(own), listing()}, stands: 8 * time.Second},
		"the upstream does not answer":                     {first: []model.Listing[model.Registration]{listing(own)}, stands: 8 * time.Second, silent: true, moved: true},
		"the upstream does not answer, its entry was lost": {first: []model.Listing[model.Registration]{listing(own), listing()}, stands: 8 * time.Second, silent: true, moved: true},
		"the upstream does not answer at first":            {first: []model.Listing[model.Registration]{listing(own)}, stands: 4 * time.Second, silent: true},
		"longer than a flow lives":                         {first: []model.Listing[model.Registration]{listing(own)}, stands: 61 * time.Second, moved: true},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			r := roster.New(roster.Config{TagRetention: time.Minute})
			r.NameService("orders")
			for _, list := range tc.first {
				r.Sync(afterGrace, list)
			}
			u := r.ByTag("orders", tagOf(own))
			for now := lateWrite; now <= lateWrite.Add(tc.stands); now = now.Add(time.Second) {
				if tc.silent {
					fail(u, now)
				}
				r.Sync(now, listing(odd))
				r.Confirm(now, now)
			}
			is.Equal(r.ByTag("orders", u.Tag).Address == odd.Address, tc.moved)
			is.True(!u.Replaced())
			if tc.moved {
				is.True(r.Usable(r.Get("a")))
				return
			}
			is.Equal(len(r.ByService("orders")) > 0 && r.Usable(u), false)
			is.True(u.Health.Suspect())
			last := own
			last.Revision = 20
			r.Sync(lateWrite.Add(tc.stands), listing(last))
			is.Equal(r.Get("a"), u)
			is.True(r.Usable(u))
			is.Equal(u.Address, own.Address)
		})
	}
}

// TestLateHeartbeatOfDisplacedRun guards against new flows to a run that has ended: an entry of another service has taken its place, then a run that
// started after it, and then its last heartbeat is executed.
func TestLateHeartbeatOfDisplacedRun(t *testing.T) {
	for name, boot := range map[string]model.BootID{"a later start": presentBoot + 1, "an earlier start, as the clock was set back": presentBoot - 1} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			r := roster.New(roster.Config{TagRetention: time.Minute})
			r.NameService("orders")
			r.NameService("claims")
			odd := runOf(presentBoot, 9)
			odd.Service = "claims"
			now := afterGrace
			for _, reg := range []model.Registration{runOf(presentBoot, 5), odd, runOf(boot, 12)} {
				for range 8 {
					r.Sync(now, listing(reg))
					r.Confirm(now, now)
					now = now.Add(time.Second)
				}
			}
			u := r.Get("a")
			is.Equal(u.Boot, boot)
			r.Sync(now, listing(runOf(presentBoot, 15)))
			is.Equal(r.Get("a"), u)
			is.True(!u.Replaced())
		})
	}
}
