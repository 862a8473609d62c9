package roster_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"hawthorncourse/internal/core/model"
	"hawthorncourse/internal/core/roster"
)

// The start times of two runs of one upstream, and the time after which a listing is later than both.
const (
	earlierBoot = model.BootID(100)
	presentBoot = model.BootID(200)
	lateWrite   = afterGrace + model.Instant(6*time.Second)
)

func drainingRegistration(boot model.BootID, rev model.Revision) model.Registration {
	reg := registration(boot, rev)
	reg.Draining = true
	return reg
}

// TestLateHeartbeat guards against flows that are reset, and upstreams that get no new flows, because the store has executed a heartbeat of an
// earlier run after the upstream has started again.
func TestLateHeartbeat(t *testing.T) {
	late := registration(earlierBoot, 9)
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
				r.Sync(next, listing(registration(presentBoot, 12)))
			},
			state: roster.StateListed, usable: true,
		},
		"listed together with other changes of the present run": {
			steps: func(r *roster.Roster) {
				r.Sync(lateWrite, listing(registration(presentBoot, 8)))
				r.Sync(lateWrite, listing(late))
				r.Sync(next, listing(registration(presentBoot, 12)))
				r.Sync(next, listing(registration(earlierBoot, 14)))
			},
			state: roster.StateListed, usable: true,
		},
		"overwritten before it was listed": {
			steps: func(r *roster.Roster) { r.Sync(next, listing(registration(presentBoot, 12))) }, state: roster.StateListed, usable: true,
		},
		"listed late by a peer, after the present run": {
			steps: func(r *roster.Roster) {
				r.Sync(next, listing(registration(presentBoot, 12)))
				r.Sync(next, listing(late))
			},
			state: roster.StateListed, usable: true,
		},
		"one page of a list": {steps: func(r *roster.Roster) { r.Add(lateWrite, listing(late).Items, 0) }, state: roster.StateListed, usable: true},
		"it drains":          {steps: func(r *roster.Roster) { r.Sync(lateWrite, listing(drainingRegistration(earlierBoot, 9))) }, state: roster.StateListed, usable: true},
		"the present run drains, then the late write": {
			steps: func(r *roster.Roster) {
				r.Sync(lateWrite, listing(drainingRegistration(presentBoot, 8)))
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
				r.Sync(lateWrite, restored(registration(presentBoot, 5)))
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
			r.Sync(0, listing(registration(earlierBoot, 2)))
			earlier := r.Get("a")
			r.Sync(afterGrace, listing(registration(presentBoot, 5)))
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
		"its next heartbeat":               func(r *roster.Roster) { r.Sync(stood, listing(registration(earlierBoot, 12))) },
		"a late write of the other run":    func(r *roster.Roster) { r.Sync(stood, listing(registration(presentBoot, 12))) },
		"a late write of an earlier start": func(r *roster.Roster) { r.Sync(stood, listing(registration(earlierBoot-1, 12))) },
	}
	for name, then := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			r := roster.New(roster.Config{TagRetention: time.Minute})
			r.Sync(afterGrace, listing(registration(presentBoot, 5)))
			r.Sync(lateWrite, listing(registration(earlierBoot, 9)))
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
	r.Add(0, listing(registration(earlierBoot, 9)).Items, 0)
	r.Sync(0, listing(registration(earlierBoot, 9)))
	r.Sync(afterGrace, listing(registration(presentBoot, 12)))
	u := r.Get("a")
	is.Equal(u.Boot, presentBoot)
	is.True(r.Usable(u))
	r.Sync(afterGrace, listing(registration(earlierBoot, 14)))
	is.Equal(r.Get("a"), u)
	is.True(!u.Replaced())
}
