package direct_test

import (
	"testing"
	"time"

	"hawthorncourse/internal/core/health"
	"hawthorncourse/internal/core/model"
)

// TestDoubt checks that one failed probe in a silent failure domain has all of it probed, and in a busy one nobody else.
func TestDoubt(t *testing.T) {
	cases := map[string]struct {
		silent time.Duration
		probes int
	}{
		"a domain that was heard of just now": {silent: 10 * time.Millisecond},
		"a domain that has been silent":       {silent: time.Second, probes: 1},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			d := newDesk(t, three()...)
			ups := d.e.Roster().ByService("desk")
			d.e.FinishProbe(d.now, ups[1], health.OutcomeAnswered)
			d.now = d.now.Add(tc.silent)
			ups[0].Health.RecordTimeout(d.now)
			ups[0].Health.StartProbe(d.now)
			probes := 0
			for _, a := range d.e.FinishProbe(d.now, ups[0], health.OutcomeFailed) {
				if a.Verb == model.VerbProbe {
					d.Equal(a.Upstream, ups[1])
					probes++
				}
			}
			d.Equal(probes, tc.probes)
		})
	}
}
