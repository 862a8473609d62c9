package roster_test

import (
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"

	"hawthorncourse/internal/core/model"
	"hawthorncourse/internal/core/roster"
)

func TestEarlierRunAfterRestore(t *testing.T) {
	restored := func(boot model.BootID, rev model.Revision) model.Listing[model.Registration] {
		list := listing(registration(boot, rev))
		list.Era = 1
		return list
	}
	now := afterGrace
	cases := map[string]struct {
		steps func(*roster.Roster)
		want  roster.State
		boot  model.BootID
	}{
		"the copy lists the earlier run": {steps: func(*roster.Roster) {}, want: roster.StateMissing, boot: 4},
		"the upstream registers again": {
			steps: func(r *roster.Roster) { r.Sync(now.Add(time.Second), restored(4, 7)) }, want: roster.StateListed, boot: 4,
		},
		"the upstream starts once more": {
			steps: func(r *roster.Roster) { r.Sync(now.Add(time.Second), restored(5, 7)) }, want: roster.StateListed, boot: 5,
		},
		"the upstream does not register again": {
			steps: func(r *roster.Roster) {
				later := now.Add(2 * roster.OutageGrace)
				r.Confirm(later, later)
				r.Sync(later, restored(3, 5))
			},
			want: roster.StateListed, boot: 3,
		},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			r := roster.New(roster.Config{TagRetention: time.Minute})
			r.Sync(0, listing(registration(4, 8)))
			before := r.Get("a")
			r.ExtendGrace(now.Add(roster.OutageGrace))
			r.Sync(now, restored(3, 5))
			is.True(!before.Replaced())
			tc.steps(r)
			is.Equal(r.Get("a").State, tc.want)
			is.Equal(r.Get("a").Boot, tc.boot)
		})
	}
}

func TestRevisionsOfTwoEras(t *testing.T) {
	address := netip.MustParseAddrPort("10.0.0.1:80")
	cases := map[string]struct {
		first, then model.Listing[model.Registration]
		check       func(*is.I, *roster.Roster, *roster.Upstream)
	}{
		"the copy lists an upstream that used the address before, with a faster clock": {
			first: model.Listing[model.Registration]{Era: 1, Items: []model.Registration{{ID: "a", Boot: 200, Revision: 60, Service: "orders", Address: address}}},
			then:  model.Listing[model.Registration]{Era: 2, Items: []model.Registration{{ID: "b", Boot: 300, Revision: 4, Service: "orders", Address: address}}},
			check: func(is *is.I, _ *roster.Roster, u *roster.Upstream) { is.Equal(u.State, roster.StateMissing) },
		},
		"the store has corrected an era that a peer reported": {
			first: model.Listing[model.Registration]{Era: 9, Items: []model.Registration{{ID: "a", Boot: 200, Revision: 4, Service: "orders"}}},
			then:  model.Listing[model.Registration]{Era: 2, Items: []model.Registration{{ID: "a", Boot: 200, Revision: 9, Service: "orders", Draining: true}}},
			check: func(is *is.I, _ *roster.Roster, u *roster.Upstream) { is.True(u.Draining) },
		},
		"the copy lists an upstream as it was before its failure domain became cold": {
			first: model.Listing[model.Registration]{Era: 1, Items: []model.Registration{{ID: "a", Boot: 200, Revision: 60, Service: "orders", ColdFor: time.Minute}}},
			then:  model.Listing[model.Registration]{Era: 2, Items: []model.Registration{{ID: "a", Boot: 200, Revision: 4, Service: "orders"}}},
			check: func(is *is.I, _ *roster.Roster, u *roster.Upstream) { is.True(u.Cold(afterGrace.Add(time.Second))) },
		},
		"the first list after a restore has a cold start that is new": {
			first: model.Listing[model.Registration]{Era: 1, Items: []model.Registration{{ID: "a", Boot: 200, Revision: 60, Service: "orders"}}},
			then:  model.Listing[model.Registration]{Era: 2, Items: []model.Registration{{ID: "a", Boot: 200, Revision: 61, Service: "orders", ColdFor: time.Minute}}},
			check: func(is *is.I, _ *roster.Roster, u *roster.Upstream) { is.True(u.Cold(afterGrace.Add(time.Second))) },
		},
		"an upstream registers again as warm after a restore": {
			first: model.Listing[model.Registration]{Era: 1, Items: []model.Registration{{ID: "a", Boot: 200, Revision: 60, Service: "orders"}}},
			then:  model.Listing[model.Registration]{Era: 2, Items: []model.Registration{{ID: "a", Boot: 200, Revision: 4, Service: "orders", ColdFor: time.Minute}}},
			check: func(is *is.I, r *roster.Roster, u *roster.Upstream) {
				r.Sync(afterGrace.Add(2*time.Second), model.Listing[model.Registration]{Era: 2, Items: []model.Registration{{ID: "a", Boot: 200, Revision: 62, Service: "orders"}}})
				is.True(!u.Cold(afterGrace.Add(2 * time.Second)))
			},
		},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			r := roster.New(roster.Config{TagRetention: time.Minute})
			r.NameService("orders")
			r.Sync(afterGrace, tc.first)
			u := r.Get("a")
			r.ExtendGrace(afterGrace.Add(roster.OutageGrace))
			r.Sync(afterGrace.Add(time.Millisecond), tc.then)
			tc.check(is.New(t), r, u)
		})
	}
}

func TestReturnAfterAbsence(t *testing.T) {
	is := is.New(t)
	r := roster.New(roster.Config{TagRetention: time.Minute})
	r.Sync(0, listing(registration(1, 4)))
	u := r.Get("a")
	u.Load.Flows = 3
	r.Sync(afterGrace, listing())
	is.Equal(u.State, roster.StateGone)
	r.Sync(afterGrace.Add(time.Second), listing(registration(1, 9)))
	is.Equal(r.Get("a"), u)
	is.Equal(u.State, roster.StateListed)
	is.Equal(len(r.Gone()), 0)
	r.ExpireTags(afterGrace.Add(time.Hour))
	is.Equal(r.ByTag("orders", u.Tag), u)
}

func TestReplacedAfterAbsence(t *testing.T) {
	address, other := netip.MustParseAddrPort("10.0.0.1:80"), netip.MustParseAddrPort("10.0.0.2:80")
	earlier := model.Registration{ID: "a", Boot: 200, Revision: 4, Service: "orders", Address: address}
	cases := map[string]struct {
		next model.Registration
		want bool
	}{
		"later run under the ID":              {next: model.Registration{ID: "a", Boot: 300, Revision: 9, Service: "orders", Address: other}, want: true},
		"later run at the address":            {next: model.Registration{ID: "b", Boot: 300, Revision: 9, Service: "orders", Address: address}, want: true},
		"earlier run at the address":          {next: model.Registration{ID: "b", Boot: 100, Revision: 9, Service: "orders", Address: address}},
		"another upstream at another address": {next: model.Registration{ID: "b", Boot: 300, Revision: 9, Service: "orders", Address: other}},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			r := roster.New(roster.Config{TagRetention: time.Minute})
			r.NameService("orders")
			r.Sync(0, listing(earlier))
			u := r.Get("a")
			r.Sync(afterGrace, listing())
			r.Sync(afterGrace.Add(time.Second), listing(tc.next))
			is.Equal(u.State, roster.StateGone)
			is.Equal(u.Replaced(), tc.want)
		})
	}
}

func TestDrainingIsFinal(t *testing.T) {
	draining := registration(3, 8)
	draining.Draining = true
	cases := map[string]struct {
		// gone is set if the upstream has ended in between.
		gone   bool
		listed model.Registration
		want   bool
	}{
		"the copy lists it as ready":                    {listed: registration(3, 5), want: true},
		"the copy lists it as ready after it has ended": {gone: true, listed: registration(3, 5), want: true},
		"it drains after the restore as well":           {listed: draining, want: true},
		"a later run":                                   {listed: registration(4, 5)},
		"a later run after it has ended":                {gone: true, listed: registration(4, 5)},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			r := roster.New(roster.Config{TagRetention: time.Minute})
			r.Sync(0, listing(draining))
			if tc.gone {
				r.Sync(afterGrace, listing())
			}
			restored := listing(tc.listed)
			restored.Era = 1
			r.Sync(afterGrace, restored)
			is.Equal(r.Get("a").Draining, tc.want)
			is.Equal(r.Usable(r.Get("a")), !tc.want)
		})
	}
}

func TestOutAfterRestore(t *testing.T) {
	restored, rewritten := afterGrace, afterGrace.Add(2*time.Second)
	released := restored.Add(roster.OutageGrace)
	cases := map[string]struct {
		steps func(*roster.Roster)
		want  bool
	}{
		"missing in the copy": {steps: func(r *roster.Roster) { r.Confirm(restored, restored) }, want: true},
		"missing in the copy, confirmed from before the restore": {
			steps: func(r *roster.Roster) { r.Confirm(released.Add(time.Second), restored) }, want: true,
		},
		"written again": {
			steps: func(r *roster.Roster) {
				r.SetOut(rewritten, []model.DomainID{"east"}, 2)
				r.Confirm(released.Add(time.Second), released.Add(time.Second))
			},
			want: true,
		},
		"written again, and returned to service": {
			steps: func(r *roster.Roster) {
				r.SetOut(rewritten, []model.DomainID{"east"}, 2)
				r.SetOut(released, nil, 2)
			},
		},
		"not written again": {steps: func(r *roster.Roster) { r.Confirm(released, released) }},
		"taken out and returned to service after the restore": {steps: func(r *roster.Roster) {
			r.SetOut(restored.Add(time.Second), []model.DomainID{"west"}, 2)
			r.SetOut(restored.Add(2*time.Second), nil, 2)
			_, out := r.Out("west")
			if out {
				t.Error("a domain that was returned to service is out of service")
			}
		}, want: true},
		"a list of the same era": {steps: func(r *roster.Roster) {
			r.SetOut(released, []model.DomainID{"east"}, 2)
			r.SetOut(released, nil, 2)
		}},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			r := roster.New(roster.Config{})
			r.SetOut(0, []model.DomainID{"east"}, 1)
			r.SetOut(restored, nil, 2)
			tc.steps(r)
			_, out := r.Out("east")
			is.New(t).Equal(out, tc.want)
		})
	}
}
