package roster_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"hawthorncourse/internal/core/model"
	"hawthorncourse/internal/core/roster"
)

// TestRivalAnswers guards against flows that end while their run may serve, or that never end: of two runs at an address that were first listed together,
// the one that counts as earlier has ended for certain once the other has opened a flow since.
func TestRivalAnswers(t *testing.T) {
	cases := map[string]struct {
		// answer lets runs answer SYNs; the registry was listed at the given time.
		answer func(earlier, later *roster.Upstream, listed model.Instant)
		ended  bool
	}{
		"neither answers": {answer: func(_, _ *roster.Upstream, _ model.Instant) {}},
		"the later one answers": {
			answer: func(_, later *roster.Upstream, listed model.Instant) {
				later.RecordOpened(listed.Add(time.Second))
			}, ended: true,
		},
		"the later one answered before it was listed beside the other": {
			answer: func(_, later *roster.Upstream, listed model.Instant) { later.RecordOpened(listed) },
		},
		"the later one seems to answer, as a caller's packet acknowledges earlier data": {
			answer: func(_, later *roster.Upstream, listed model.Instant) {
				later.Health.RecordSuccess(listed.Add(time.Second))
			},
		},
		"the earlier one answers": {
			answer: func(earlier, _ *roster.Upstream, listed model.Instant) {
				earlier.RecordOpened(listed.Add(time.Second))
			},
		},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			r := roster.New(roster.Config{TagRetention: time.Minute})
			r.NameService("orders")
			earlier, later := registration(1, 5), registration(2, 6)
			later.ID, later.Number = "other-2", 2
			r.Sync(afterGrace, listing(earlier, later))
			runs := map[model.BootID]*roster.Upstream{}
			for _, u := range append(r.All(), r.Gone()...) {
				runs[u.Boot] = u
			}
			is.Equal(runs[1].State, roster.StateGone)
			tc.answer(runs[1], runs[2], afterGrace)
			is.Equal(runs[1].Replaced(), tc.ended)
			is.Equal(runs[1].Ended(afterGrace.Add(time.Minute)), tc.ended)
		})
	}
}

// TestRivalStands checks when a run has ended for certain whose rival stays listed at their address although neither has opened a flow.
func TestRivalStands(t *testing.T) {
	earlier, later := registration(1, 5), registration(2, 6)
	later.ID, later.Number = "other-2", 2
	cases := map[string]struct {
		// list is the registry from one second after both were listed, and until is the time of the last confirmation after that.
		list  []model.Registration
		until time.Duration
		// grace is the rest of a grace period then.
		grace time.Duration
		ended bool
	}{
		"for long":                        {list: []model.Registration{later}, until: 12 * time.Second, ended: true},
		"not for long":                    {list: []model.Registration{later}, until: 9 * time.Second},
		"not for long after an outage":    {list: []model.Registration{later}, until: 12 * time.Second, grace: 3 * time.Second},
		"while the run is listed as well": {list: []model.Registration{earlier, later}, until: 4 * time.Second},
		"and is removed":                  {until: 12 * time.Second},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			r := roster.New(roster.Config{TagRetention: time.Minute})
			r.NameService("orders")
			r.Sync(afterGrace, listing(earlier, later))
			u := r.Gone()[0]
			is.Equal(u.Boot, earlier.Boot)
			changed := afterGrace.Add(time.Second)
			r.ExtendGrace(changed.Add(tc.grace))
			r.Sync(changed, listing(tc.list...))
			for at := changed; at <= changed.Add(tc.until); at = at.Add(time.Second) {
				r.Confirm(at, at)
			}
			is.Equal(u.Replaced(), tc.ended)
		})
	}
}
