package relay

import (
	"context"
	"testing"

	"github.com/matryer/is"

	"hawthorncourse/internal/core/direct"
	"hawthorncourse/internal/core/model"
)

// TestRefreshForHeldPackets guards against held packets that wait for a snapshot that nothing requests.
func TestRefreshForHeldPackets(t *testing.T) {
	cases := map[string]struct {
		reason model.Reason
		want   int
	}{
		"unknown tag":     {reason: model.ReasonTagUnknown, want: 1},
		"unknown route":   {reason: model.ReasonRouteUnknown, want: 1},
		"instance starts": {reason: model.ReasonNotReady},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			r := benchRelay(0)
			r.counters, r.refresh = newActionCounters(r.counts), make(chan struct{}, 1)
			for range 2 {
				r.act(context.Background(), 0, []direct.Action{{Verb: model.VerbHold, Reason: tc.reason}})
			}
			is.New(t).Equal(len(r.refresh), tc.want)
		})
	}
}
