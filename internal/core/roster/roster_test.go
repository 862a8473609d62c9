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
	settled = model.Instant(10 * time.Second)
	soon    = model.Instant(100 * time.Millisecond)
)

func entry(boot model.BootID, rev model.Revision) model.Registration {
	return model.Registration{ID: "a", Boot: boot, Revision: rev, Number: 7, Service: "orders", Domain: "east", Slots: 2}
}

func listing(items ...model.Registration) model.Listing[model.Registration] {
	return model.Listing[model.Registration]{Items: items}
}

// TestEnds checks when an upstream whose entry is missing has ended for certain.
func TestEnds(t *testing.T) {
	cases := map[string]struct {
		play func(*roster.Roster)
		want roster.State
	}{
		"its entry is missing": {
			play: func(r *roster.Roster) { r.Sync(settled, listing()) },
			want: roster.StateGone,
		},
		"its entry is missing soon after the start of this instance": {
			play: func(r *roster.Roster) { r.Sync(soon, listing()) },
			want: roster.StateMissing,
		},
		"its entry is missing soon after the store was away": {
			play: func(r *roster.Roster) { r.ExtendGrace(settled.Add(time.Second)); r.Sync(settled, listing()) },
			want: roster.StateMissing,
		},
		"it said that it would leave, and its entry is missing soon after the store was away": {
			play: func(r *roster.Roster) {
				leaving := entry(1, 2)
				leaving.Draining = true
				r.Sync(settled, listing(leaving))
				r.ExtendGrace(settled.Add(time.Second))
				r.Sync(settled, listing())
			},
			want: roster.StateMissing,
		},
		"its entry does not come back after the store was away": {
			play: func(r *roster.Roster) {
				r.ExtendGrace(settled.Add(roster.OutageGrace))
				r.Sync(settled, listing())
				r.Confirm(settled.Add(roster.OutageGrace), settled.Add(roster.OutageGrace))
			},
			want: roster.StateGone,
		},
		"nothing was heard since its entry was found missing after the store was away": {
			play: func(r *roster.Roster) {
				r.ExtendGrace(settled.Add(roster.OutageGrace))
				r.Sync(settled, listing())
				r.ExpireTags(settled.Add(10 * time.Second))
			},
			want: roster.StateMissing,
		},
		"its entry comes back after the store was away": {
			play: func(r *roster.Roster) {
				r.ExtendGrace(settled.Add(roster.OutageGrace))
				r.Sync(settled, listing())
				r.Sync(settled.Add(2*time.Second), listing(entry(1, 2)))
				r.ExpireTags(settled.Add(time.Minute))
			},
			want: roster.StateListed,
		},
		"another start took its name": {
			play: func(r *roster.Roster) { r.Sync(settled, listing(entry(2, 5))) },
			want: roster.StateGone,
		},
		"its entry turned into bytes that nobody understands": {
			play: func(r *roster.Roster) {
				r.Sync(settled, model.Listing[model.Registration]{Unreadable: []string{"a"}})
			},
			want: roster.StateUnreadable,
		},
		"another start took its name, then an older listing arrives": {
			play: func(r *roster.Roster) {
				r.Sync(settled, listing(entry(0, 0)))
				r.Sync(settled, listing(entry(1, 1)))
			},
			want: roster.StateGone,
		},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			r := roster.New(roster.Config{TagRetention: time.Minute})
			r.Sync(0, listing(entry(1, 1)))
			up := r.ByService("orders")[0]
			tc.play(r)
			is.Equal(up.State, tc.want)
			is.Equal(r.ByTag("orders", up.Tag) != nil, true)
		})
	}
}

// TestComplete checks when a tag that is not known here belongs to no upstream that lives.
func TestComplete(t *testing.T) {
	cases := map[string]struct {
		play func(*roster.Roster)
		want bool
	}{
		"the registry was confirmed since":         {play: func(r *roster.Roster) { r.Confirm(settled.Add(2), settled.Add(1)) }, want: true},
		"the confirmation is of an earlier moment": {play: func(r *roster.Roster) { r.Confirm(settled.Add(2), settled.Add(-1)) }},
		"the store was away lately": {
			play: func(r *roster.Roster) {
				r.ExtendGrace(settled.Add(time.Second))
				r.Confirm(settled.Add(2), settled.Add(1))
			},
		},
		"an entry cannot be understood": {
			play: func(r *roster.Roster) {
				r.Sync(settled, model.Listing[model.Registration]{Unreadable: []string{"a"}})
				r.Confirm(settled.Add(2), settled.Add(1))
			},
		},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			r := roster.New(roster.Config{TagRetention: time.Minute})
			tc.play(r)
			is.New(t).Equal(r.Complete(settled.Add(2), settled), tc.want)
		})
	}
}

// TestUsable checks which upstreams may get new flows.
func TestUsable(t *testing.T) {
	cases := map[string]struct {
		change func(*roster.Roster, *model.Registration)
		want   bool
	}{
		"a listed one":                      {change: func(*roster.Roster, *model.Registration) {}, want: true},
		"one that drains":                   {change: func(_ *roster.Roster, e *model.Registration) { e.Draining = true }},
		"one in a failure domain taken out": {change: func(r *roster.Roster, _ *model.Registration) { r.SetOut(settled, []model.DomainID{"east"}) }},
		"one in a failure domain taken back": {
			change: func(r *roster.Roster, _ *model.Registration) {
				r.SetOut(settled, []model.DomainID{"east"})
				r.SetOut(settled, nil)
			},
			want: true,
		},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			r := roster.New(roster.Config{TagRetention: time.Minute})
			e := entry(1, 1)
			tc.change(r, &e)
			r.Sync(settled, listing(e))
			is.Equal(r.Usable(r.ByService("orders")[0]), tc.want)
		})
	}
}

// TestTags checks that two starts, and two services, never share a tag by construction, and that a tag is forgotten.
func TestTags(t *testing.T) {
	is := is.New(t)
	r := roster.New(roster.Config{TagRetention: time.Minute})
	r.Sync(0, listing(entry(1, 1)))
	first := r.ByService("orders")[0]
	r.Sync(settled, listing(entry(2, 5)))
	second := r.ByService("orders")[0]
	is.True(first.Tag != second.Tag)
	is.Equal(r.ByTag("orders", first.Tag), first)
	is.Equal(r.ByTag("orders", second.Tag), second)
	is.Equal(r.ByTag("claims", second.Tag), (*roster.Upstream)(nil))
	r.ExpireTags(settled.Add(time.Minute))
	is.Equal(r.ByTag("orders", first.Tag), (*roster.Upstream)(nil))
	is.Equal(r.ByTag("orders", second.Tag), second)
}

// TestCold checks that only a new write makes an upstream cold again.
func TestCold(t *testing.T) {
	is := is.New(t)
	r := roster.New(roster.Config{TagRetention: time.Minute})
	e := entry(1, 1)
	e.ColdFor = 2 * time.Second
	r.Sync(0, listing(e))
	up := r.ByService("orders")[0]
	r.Sync(model.Instant(time.Second), listing(e))
	is.True(up.Cold(model.Instant(1900 * time.Millisecond)))
	is.True(!up.Cold(model.Instant(2 * time.Second)))
	e.Revision = 9
	r.Sync(settled, listing(e))
	is.True(up.Cold(settled.Add(1900 * time.Millisecond)))
}

// TestAddress checks what an entry at the address of another says of that one: the platform gives an address away only after its
// upstream has ended.
func TestAddress(t *testing.T) {
	at, elsewhere := netip.MustParseAddrPort("10.0.0.1:80"), netip.MustParseAddrPort("10.0.0.2:80")
	first := model.Registration{ID: "a", Boot: 100, Revision: 4, Number: 1, Service: "orders", Domain: "east", Address: at}
	cases := map[string]struct {
		other model.Registration
		// ended names the upstream that has ended then; it is empty for none.
		ended model.UpstreamID
	}{
		"a later start":                       {other: model.Registration{ID: "b", Boot: 200, Revision: 9, Service: "orders", Address: at}, ended: "a"},
		"a later start of another service":    {other: model.Registration{ID: "b", Boot: 200, Revision: 9, Service: "claims", Address: at}, ended: "a"},
		"an earlier start":                    {other: model.Registration{ID: "b", Boot: 50, Revision: 2, Service: "orders", Address: at}, ended: "b"},
		"a later start by a clock that jumps": {other: model.Registration{ID: "b", Boot: 50, Revision: 9, Service: "orders", Address: at}},
		"a start of which nobody knows when":  {other: model.Registration{ID: "b", Revision: 9, Service: "orders", Address: at}},
		"a start at another address":          {other: model.Registration{ID: "b", Boot: 200, Revision: 9, Service: "orders", Address: elsewhere}},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			r := roster.New(roster.Config{TagRetention: time.Minute})
			r.Sync(settled, listing(first))
			// The entry of the one that has ended stays for a while.
			for n := range 3 {
				r.Sync(settled.Add(time.Duration(n)*time.Second), listing(first, tc.other))
			}
			gone := 0
			for _, n := range r.TakeStateChanges() {
				if n.State == roster.StateGone {
					is.Equal(n.Upstream.ID, tc.ended)
					is.Equal(r.ByTag(n.Upstream.Service, n.Upstream.Tag), n.Upstream)
					gone++
				}
			}
			is.Equal(gone, len(tc.ended))
			is.Equal(r.Len(), 2-gone)
			is.Equal(len(r.All()), 2-gone)
		})
	}
}
