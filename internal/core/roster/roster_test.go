package roster_test

import (
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"

	"hawthorncourse/internal/core/model"
	"hawthorncourse/internal/core/roster"
)

const (
	afterGrace  = model.Instant(10 * time.Second)
	duringGrace = model.Instant(100 * time.Millisecond)
)

func registration(boot model.BootID, rev model.Revision) model.Registration {
	return model.Registration{ID: "a", Boot: boot, Revision: rev, Number: 7, Service: "orders", Domain: "east", Slots: 2}
}

func listing(items ...model.Registration) model.Listing[model.Registration] {
	return model.Listing[model.Registration]{Items: items}
}

// TestState checks the state of an upstream after its registration has changed or disappeared, with and without an outage of the store.
func TestState(t *testing.T) {
	cases := map[string]struct {
		steps func(*roster.Roster)
		want  roster.State
	}{
		"registration missing": {
			steps: func(r *roster.Roster) { r.Sync(afterGrace, listing()) },
			want:  roster.StateGone,
		},
		"registration missing shortly after the start of this instance": {
			steps: func(r *roster.Roster) { r.Sync(duringGrace, listing()) },
			want:  roster.StateMissing,
		},
		"registration missing shortly after an outage of the store": {
			steps: func(r *roster.Roster) { r.ExtendGrace(afterGrace.Add(time.Second)); r.Sync(afterGrace, listing()) },
			want:  roster.StateMissing,
		},
		"draining upstream's registration missing shortly after an outage of the store": {
			steps: func(r *roster.Roster) {
				draining := registration(1, 2)
				draining.Draining = true
				r.Sync(afterGrace, listing(draining))
				r.ExtendGrace(afterGrace.Add(time.Second))
				r.Sync(afterGrace, listing())
			},
			want: roster.StateMissing,
		},
		"registration does not reappear after an outage of the store": {
			steps: func(r *roster.Roster) {
				r.ExtendGrace(afterGrace.Add(roster.OutageGrace))
				r.Sync(afterGrace, listing())
				r.Confirm(afterGrace.Add(roster.OutageGrace), afterGrace.Add(roster.OutageGrace))
			},
			want: roster.StateGone,
		},
		"no confirmation since the registration was found missing after an outage of the store": {
			steps: func(r *roster.Roster) {
				r.ExtendGrace(afterGrace.Add(roster.OutageGrace))
				r.Sync(afterGrace, listing())
				r.ExpireTags(afterGrace.Add(10 * time.Second))
			},
			want: roster.StateMissing,
		},
		"registration reappears after an outage of the store": {
			steps: func(r *roster.Roster) {
				r.ExtendGrace(afterGrace.Add(roster.OutageGrace))
				r.Sync(afterGrace, listing())
				r.Sync(afterGrace.Add(2*time.Second), listing(registration(1, 2)))
				r.ExpireTags(afterGrace.Add(time.Minute))
			},
			want: roster.StateListed,
		},
		"new run under the same ID": {
			steps: func(r *roster.Roster) { r.Sync(afterGrace, listing(registration(2, 5))) },
			want:  roster.StateGone,
		},
		"new run under the same ID, at a lower revision after the store was restored": {
			steps: func(r *roster.Roster) {
				r.Sync(afterGrace, listing(registration(1, 9)))
				restored := listing(registration(2, 5))
				restored.Era = 1
				r.Sync(afterGrace, restored)
			},
			want: roster.StateGone,
		},
		"registration becomes unreadable": {
			steps: func(r *roster.Roster) {
				r.Sync(afterGrace, model.Listing[model.Registration]{Unreadable: []string{"a"}})
			},
			want: roster.StateUnreadable,
		},
		"registration without a start time under the same ID": {
			steps: func(r *roster.Roster) { r.Sync(afterGrace, listing(registration(0, 0))) },
			want:  roster.StateUnreadable,
		},
		"registration without a start time under the same ID, then the own one": {
			steps: func(r *roster.Roster) {
				r.Sync(afterGrace, listing(registration(0, 0)))
				r.Sync(afterGrace, listing(registration(1, 1)))
			},
			want: roster.StateListed,
		},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			r := roster.New(roster.Config{TagRetention: time.Minute})
			r.Sync(0, listing(registration(1, 1)))
			up := r.ByService("orders")[0]
			tc.steps(r)
			is.Equal(up.State, tc.want)
			is.Equal(r.ByTag("orders", up.Tag) != nil, true)
		})
	}
}

// TestComplete checks when the roster is certain to know the tags of all running upstreams, so that an unknown tag belongs to none of them.
func TestComplete(t *testing.T) {
	cases := map[string]struct {
		steps func(*roster.Roster)
		want  bool
	}{
		"confirmed since":   {steps: func(r *roster.Roster) { r.Confirm(afterGrace.Add(2), afterGrace.Add(1)) }, want: true},
		"confirmed earlier": {steps: func(r *roster.Roster) { r.Confirm(afterGrace.Add(2), afterGrace.Add(-1)) }},
		"recent outage of the store": {
			steps: func(r *roster.Roster) {
				r.ExtendGrace(afterGrace.Add(time.Second))
				r.Confirm(afterGrace.Add(2), afterGrace.Add(1))
			},
		},
		"recent start": {
			steps: func(r *roster.Roster) {
				r.SetTagRetention(time.Minute)
				r.Confirm(afterGrace.Add(2), afterGrace.Add(1))
			},
		},
		"unreadable registration, removed since": {
			steps: func(r *roster.Roster) {
				r.Sync(afterGrace.Add(-5*time.Second), model.Listing[model.Registration]{Unreadable: []string{"a"}})
				r.Sync(afterGrace.Add(-4*time.Second), listing())
				r.Confirm(afterGrace.Add(2), afterGrace.Add(1))
			},
		},
		"unreadable registration, removed for the life of a flow": {
			steps: func(r *roster.Roster) {
				r.Sync(afterGrace.Add(-6*time.Second), model.Listing[model.Registration]{Unreadable: []string{"a"}})
				r.Sync(afterGrace.Add(-5*time.Second), listing())
				r.Sync(afterGrace.Add(-4*time.Second), listing())
				r.Confirm(afterGrace.Add(2), afterGrace.Add(1))
			},
			want: true,
		},
		"unreadable registration": {
			steps: func(r *roster.Roster) {
				r.Sync(afterGrace, model.Listing[model.Registration]{Unreadable: []string{"a"}})
				r.Confirm(afterGrace.Add(2), afterGrace.Add(1))
			},
		},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			r := roster.New(roster.Config{TagRetention: 5 * time.Second})
			tc.steps(r)
			is.New(t).Equal(r.Complete(afterGrace), tc.want)
		})
	}
}

// TestEndedByOldConfirmation guards against upstreams that are declared gone although the store has not confirmed, since the end of the grace period,
// that their registration is missing: it may have reappeared meanwhile.
func TestEndedByOldConfirmation(t *testing.T) {
	graceUntil := afterGrace.Add(roster.OutageGrace)
	cases := map[string]struct {
		// confirmedAt is when the store confirmed the listing that lacks the registration, as received well after the grace period.
		confirmedAt model.Instant
		want        roster.State
		complete    bool
	}{
		"confirmed after the grace period":        {confirmedAt: graceUntil, want: roster.StateGone, complete: true},
		"confirmed within the grace period":       {confirmedAt: graceUntil - 1, want: roster.StateMissing},
		"confirmed before the start of the grace": {confirmedAt: afterGrace.Add(-5 * time.Second), want: roster.StateMissing},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			r := roster.New(roster.Config{})
			r.Sync(0, listing(registration(1, 1)))
			up := r.Get("a")
			r.ExtendGrace(graceUntil)
			r.Sync(afterGrace, listing())
			now := graceUntil.Add(time.Second)
			r.Confirm(now, tc.confirmedAt)
			is.Equal(up.State, tc.want)
			is.Equal(r.Complete(afterGrace-1), tc.complete)
		})
	}
}

// TestUsable checks which upstreams may get new flows.
func TestUsable(t *testing.T) {
	cases := map[string]struct {
		change func(*roster.Roster, *model.Registration)
		want   bool
	}{
		"listed":                        {change: func(*roster.Roster, *model.Registration) {}, want: true},
		"draining":                      {change: func(_ *roster.Roster, reg *model.Registration) { reg.Draining = true }},
		"failure domain out of service": {change: func(r *roster.Roster, _ *model.Registration) { r.SetOut(afterGrace, []model.DomainID{"east"}, 1) }},
		"failure domain back in service": {
			change: func(r *roster.Roster, _ *model.Registration) {
				r.SetOut(afterGrace, []model.DomainID{"east"}, 1)
				r.SetOut(afterGrace, nil, 1)
			},
			want: true,
		},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			r := roster.New(roster.Config{TagRetention: time.Minute})
			reg := registration(1, 1)
			tc.change(r, &reg)
			r.Sync(afterGrace, listing(reg))
			is.Equal(r.Usable(r.ByService("orders")[0]), tc.want)
		})
	}
}

// TestEarlierRunAfterRestore guards against flows that are reset because a copy of the store lists an earlier run of their upstream, which has started
// again under its ID since.
// TestRevisionsOfTwoEras guards against conclusions from the revisions of registrations that were listed in different eras of the store.
// TestReturnAfterAbsence checks that a run whose registration was gone and reappears is the same upstream as before, with its load and its health.
// TestReplacedAfterAbsence checks that a run whose registration was gone before a later run took its ID or its address counts as replaced.
// TestDrainingIsFinal guards against new flows to an upstream that has announced its shutdown and that a copy of the store lists as it was before.
// TestOutAfterRestore guards against new flows into a failure domain whose evacuation is missing in the copy from which the store was restored, and
// against a domain that stays out of service for good.
// TestTags checks that two runs of an upstream have different tags, that a tag is found in its own service only, and that the tag of an
// ended run expires.
func TestTags(t *testing.T) {
	is := is.New(t)
	r := roster.New(roster.Config{TagRetention: time.Minute})
	r.Sync(0, listing(registration(1, 1)))
	first := r.ByService("orders")[0]
	r.Sync(afterGrace, listing(registration(2, 5)))
	second := r.ByService("orders")[0]
	is.True(first.Tag != second.Tag)
	is.Equal(r.ByTag("orders", first.Tag), first)
	is.Equal(r.ByTag("orders", second.Tag), second)
	is.Equal(r.ByTag("claims", second.Tag), (*roster.Upstream)(nil))
	r.ExpireTags(afterGrace.Add(time.Minute))
	is.Equal(r.ByTag("orders", first.Tag), (*roster.Upstream)(nil))
	is.Equal(r.ByTag("orders", second.Tag), second)
}

// TestCold checks that only a new write of the registration restarts the cold start; receiving the same one again does not.
func TestCold(t *testing.T) {
	is := is.New(t)
	r := roster.New(roster.Config{TagRetention: time.Minute})
	reg := registration(1, 1)
	reg.ColdFor = 2 * time.Second
	r.Sync(0, listing(reg))
	up := r.ByService("orders")[0]
	r.Sync(model.Instant(time.Second), listing(reg))
	is.True(up.Cold(model.Instant(1900 * time.Millisecond)))
	is.True(!up.Cold(model.Instant(2 * time.Second)))
	reg.Revision = 9
	r.Sync(afterGrace, listing(reg))
	is.True(up.Cold(afterGrace.Add(1900 * time.Millisecond)))
}

// TestAddressReuse checks that a registration at the address of another upstream ends the earlier run: the platform reuses an address
// only after its upstream has ended.
func TestAddressReuse(t *testing.T) {
	at, elsewhere := netip.MustParseAddrPort("10.0.0.1:80"), netip.MustParseAddrPort("10.0.0.2:80")
	first := model.Registration{ID: "a", Boot: 100, Revision: 4, Number: 1, Service: "orders", Domain: "east", Address: at}
	cases := map[string]struct {
		other model.Registration
		// ended is the ID of the upstream that must be gone afterwards; empty if none.
		ended model.UpstreamID
	}{
		"later run":                    {other: model.Registration{ID: "b", Boot: 200, Revision: 9, Service: "orders", Address: at}, ended: "a"},
		"later run of another service": {other: model.Registration{ID: "b", Boot: 200, Revision: 9, Service: "claims", Address: at}, ended: "a"},
		"earlier run":                  {other: model.Registration{ID: "b", Boot: 50, Revision: 2, Service: "orders", Address: at}, ended: "b"},
		"earlier boot written later, after a clock jump": {other: model.Registration{ID: "b", Boot: 50, Revision: 9, Service: "orders", Address: at}},
		"unknown boot":    {other: model.Registration{ID: "b", Revision: 9, Service: "orders", Address: at}},
		"another address": {other: model.Registration{ID: "b", Boot: 200, Revision: 9, Service: "orders", Address: elsewhere}},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			r := roster.New(roster.Config{TagRetention: time.Minute})
			r.NameService("orders")
			r.NameService("claims")
			r.Sync(afterGrace, listing(first))
			// The registration of the ended upstream remains for some time.
			for n := range 3 {
				r.Sync(afterGrace.Add(time.Duration(n)*time.Second), listing(first, tc.other))
			}
			goneCount := 0
			for _, change := range r.TakeStateChanges() {
				if change.State == roster.StateGone {
					is.Equal(change.Upstream.ID, tc.ended)
					is.Equal(r.ByTag(change.Upstream.Service, change.Upstream.Tag), change.Upstream)
					goneCount++
				}
			}
			is.Equal(goneCount, len(tc.ended))
			is.Equal(r.Len(), 2-goneCount)
			is.Equal(len(r.All()), 2-goneCount)
		})
	}
}

// TestConfirmed guards against conclusions from a state of the store that is not known to be current: before a confirmation, or within a grace period.
func TestConfirmed(t *testing.T) {
	cases := map[string]struct {
		confirmedAt, graceUntil time.Duration
		want                    bool
	}{
		"never confirmed":               {graceUntil: 0},
		"confirmed earlier":             {confirmedAt: 9 * time.Second},
		"confirmed at the same time":    {confirmedAt: 10 * time.Second},
		"confirmed later":               {confirmedAt: 11 * time.Second, want: true},
		"confirmed in a grace period":   {confirmedAt: 11 * time.Second, graceUntil: 12 * time.Second},
		"confirmed at its end":          {confirmedAt: 12 * time.Second, graceUntil: 12 * time.Second, want: true},
		"grace period after the packet": {confirmedAt: 13 * time.Second, graceUntil: 12 * time.Second, want: true},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			r := roster.New(roster.Config{TagRetention: time.Minute})
			r.ExtendGrace(model.Instant(tc.graceUntil))
			r.Confirm(model.Instant(tc.confirmedAt), model.Instant(tc.confirmedAt))
			is.New(t).Equal(r.Confirmed(model.Instant(10*time.Second)), tc.want)
		})
	}
}
