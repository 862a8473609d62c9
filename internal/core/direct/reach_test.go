package direct_test

import (
	"testing"
	"time"

	"hawthorncourse/internal/core/health"
	"hawthorncourse/internal/core/model"
)

// TestDomainSuspicion checks that one failed probe in an unresponsive failure domain leads to probes of its other upstreams, and in a
// responsive domain to none.
func TestDomainSuspicion(t *testing.T) {
	cases := map[string]struct {
		idle   time.Duration
		probes int
	}{
		"responsive domain":   {idle: 10 * time.Millisecond},
		"unresponsive domain": {idle: time.Second, probes: 1},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t, threeUpstreams()...)
			ups := h.engine.Roster().ByService("desk")
			h.engine.FinishProbe(h.now, ups[1], health.OutcomeAnswered)
			h.now = h.now.Add(tc.idle)
			ups[0].Health.RecordTimeout(h.now)
			ups[0].Health.StartProbe(h.now)
			probes := 0
			for _, a := range h.engine.FinishProbe(h.now, ups[0], health.OutcomeFailed) {
				if a.Verb == model.VerbProbe {
					h.Equal(a.Upstream, ups[1])
					probes++
				}
			}
			h.Equal(probes, tc.probes)
		})
	}
}
