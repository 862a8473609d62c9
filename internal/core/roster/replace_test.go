package roster_test

import (
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"

	"hawthorncourse/internal/core/model"
	"hawthorncourse/internal/core/roster"
)

// deadRun returns a registration of a run that has ended, whose machine's clock was ahead, and soundRun one of the run that uses its address now.
func deadRun(rev model.Revision) model.Registration {
	return model.Registration{ID: "a", Boot: 200, Revision: rev, Number: 1, Service: "orders", Domain: "east", Address: netip.MustParseAddrPort("10.0.0.1:80")}
}

func soundRun(rev model.Revision) model.Registration {
	return model.Registration{ID: "b", Boot: 100, Revision: rev, Number: 2, Service: "orders", Domain: "east", Address: netip.MustParseAddrPort("10.0.0.1:80")}
}

func restored(items ...model.Registration) model.Listing[model.Registration] {
	list := listing(items...)
	list.Era = 1
	return list
}

// TestLateHeartbeatAtReusedAddress guards against flows that are reset because the run that used the address of their upstream before had its clock ahead
// and the store executes its last heartbeat late: start and revision of the sound run are the lower ones.
func TestLateHeartbeatAtReusedAddress(t *testing.T) {
	at, next, last := lateWrite, lateWrite.Add(time.Second), lateWrite.Add(2*time.Second)
	cases := map[string]struct {
		steps func(*roster.Roster)
		// state is the state of the sound run at the end.
		state roster.State
	}{
		"the dead run is still listed": {steps: func(r *roster.Roster) {
			r.Sync(at, listing(deadRun(4)))
			r.Sync(next, listing(deadRun(4), soundRun(12)))
			r.Sync(last, listing(deadRun(15), soundRun(12)))
		}, state: roster.StateListed},
		"the dead run has left": {steps: func(r *roster.Roster) {
			r.Sync(at, listing(deadRun(4)))
			r.Sync(at, listing())
			r.Sync(next, listing(soundRun(12)))
			r.Sync(last, listing(soundRun(12), deadRun(15)))
		}, state: roster.StateListed},
		"a page of a list": {steps: func(r *roster.Roster) {
			r.Sync(at, listing(deadRun(4)))
			r.Sync(next, listing(deadRun(4), soundRun(12)))
			r.Add(last, listing(deadRun(15)).Items, 0)
		}, state: roster.StateListed},
		"a page of a list, after the dead run has left": {steps: func(r *roster.Roster) {
			r.Sync(at, listing(deadRun(4)))
			r.Sync(next, listing(soundRun(12)))
			r.Add(last, listing(deadRun(15)).Items, 0)
		}, state: roster.StateListed},
		"in one list with the sound run": {steps: func(r *roster.Roster) {
			r.Sync(at, listing(deadRun(4)))
			r.Sync(next, listing(soundRun(12), deadRun(15)))
		}, state: roster.StateListed},
		"in one list with a heartbeat of the sound run": {steps: func(r *roster.Roster) {
			r.Sync(at, listing(deadRun(4)))
			r.Sync(next, listing(deadRun(4), soundRun(12)))
			r.Sync(last, listing(deadRun(15), soundRun(14)))
		}, state: roster.StateListed},
		"from a peer, then an older list": {steps: func(r *roster.Roster) {
			r.Sync(at, listing(deadRun(4)))
			r.Sync(next, listing(deadRun(15), soundRun(12)))
			r.Sync(last, listing(deadRun(4), soundRun(12)))
		}, state: roster.StateListed},
		"the sound run's registration was lost": {steps: func(r *roster.Roster) {
			r.Sync(at, listing(deadRun(4)))
			r.Sync(next, listing(deadRun(4), soundRun(12)))
			r.Sync(next, listing(deadRun(4)))
			r.Sync(last, listing(deadRun(15)))
		}, state: roster.StateGone},
		"the registrations of both were lost": {steps: func(r *roster.Roster) {
			r.Sync(at, listing(deadRun(4)))
			r.Sync(next, listing(soundRun(12)))
			r.Sync(next, listing())
			r.Sync(last, listing(deadRun(15)))
		}, state: roster.StateGone},
		"after a restore to a copy that lists the dead run": {steps: func(r *roster.Roster) {
			r.Sync(at, listing(soundRun(12)))
			r.Sync(next, restored(deadRun(4)))
			r.Sync(next, restored(deadRun(4), soundRun(6)))
			r.Sync(last, restored(deadRun(9), soundRun(6)))
		}, state: roster.StateListed},
		"at a start, in the first list":                   {steps: func(r *roster.Roster) { r.Sync(at, listing(deadRun(15), soundRun(12))) }, state: roster.StateGone},
		"at a start, in the first list, in another order": {steps: func(r *roster.Roster) { r.Sync(at, listing(soundRun(12), deadRun(15))) }, state: roster.StateGone},
		"at a start, in two pages": {steps: func(r *roster.Roster) {
			r.Add(at, listing(soundRun(12)).Items, 0)
			r.Add(at, listing(deadRun(15)).Items, 0)
			r.Sync(at, listing(soundRun(12), deadRun(15)))
		}, state: roster.StateGone},
		"at a start, after the first page": {steps: func(r *roster.Roster) {
			r.Add(at, listing(soundRun(12)).Items, 0)
			r.Sync(at, listing(soundRun(12), deadRun(15)))
		}, state: roster.StateGone},
		"after a restore, in one list": {steps: func(r *roster.Roster) {
			r.Sync(at, listing(soundRun(12)))
			r.Sync(next, restored(soundRun(13), deadRun(15)))
		}, state: roster.StateGone},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			r := roster.New(roster.Config{TagRetention: time.Minute})
			r.NameService("orders")
			tc.steps(r)
			r.Confirm(last, last)
			tag := tagOf(soundRun(1))
			u := r.ByTag("orders", tag)
			is.True(u != nil)
			is.Equal(u.State, tc.state)
			is.True(!u.Replaced())
			is.True(!u.Ended(last))
		})
	}
}

// tagOf returns the tag of the run that a registration names.
func tagOf(reg model.Registration) model.RoutingTag {
	r := roster.New(roster.Config{TagRetention: time.Minute})
	r.Add(0, []model.Registration{reg}, 0)
	return r.Get(reg.ID).Tag
}

// TestUncertainOrderAtAddress guards against a run that is listed and ended by turns because another was first listed at its address in the same list.
func TestUncertainOrderAtAddress(t *testing.T) {
	cases := map[string]func(n int) []model.Registration{
		"no heartbeats":              func(int) []model.Registration { return []model.Registration{deadRun(15), soundRun(12)} },
		"no heartbeats, other order": func(int) []model.Registration { return []model.Registration{soundRun(12), deadRun(15)} },
		"heartbeats of the sound run": func(n int) []model.Registration {
			return []model.Registration{deadRun(15), soundRun(model.Revision(12 + 5*n))}
		},
		"the dead run leaves": func(n int) []model.Registration {
			return []model.Registration{soundRun(model.Revision(12 + 5*n)), deadRun(15)}[:1+max(0, min(1, 3-n))]
		},
	}
	for name, list := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			r := roster.New(roster.Config{TagRetention: time.Minute})
			r.NameService("orders")
			var states []roster.State
			var u *roster.Upstream
			for n := range 20 {
				now := lateWrite.Add(time.Duration(n) * time.Second)
				r.Sync(now, listing(list(n)...))
				r.Confirm(now, now)
				u = r.ByTag("orders", tagOf(soundRun(1)))
				is.True(!u.Replaced())
				for _, change := range r.TakeStateChanges() {
					if change.Upstream == u {
						states = append(states, change.State)
					}
				}
			}
			is.Equal(states, []roster.State{roster.StateListed, roster.StateGone, roster.StateListed})
			is.True(r.Usable(u))
			is.Equal(r.Get("b"), u)
		})
	}
}

// TestNamedLaterInUncertainOrder guards against flows that are reset because a service becomes named after a run at the address of their upstream was
// first listed in the same list, and their upstream's registration was lost.
func TestNamedLaterInUncertainOrder(t *testing.T) {
	is := is.New(t)
	r := roster.New(roster.Config{TagRetention: time.Minute})
	r.Sync(afterGrace, listing(soundRun(12), deadRun(15)))
	u := r.Get("b")
	r.Sync(lateWrite, listing(deadRun(15)))
	r.NameService("orders")
	r.Confirm(lateWrite, lateWrite)
	is.Equal(u.State, roster.StateGone)
	is.True(!u.Replaced())
}
