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
