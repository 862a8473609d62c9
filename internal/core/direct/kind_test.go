package direct_test

import (
	"testing"
	"time"

	"hawthorncourse/internal/core/direct"
	"hawthorncourse/internal/core/health"
	"hawthorncourse/internal/core/model"
)

// TestRouteKindAtDeadUpstream guards against flows of downloads that wait at a dead upstream until their deadline, and against resets of flows whose
// request may run at most once.
func TestRouteKindAtDeadUpstream(t *testing.T) {
	kinds := map[string]struct {
		kind   model.RouteKind
		resets bool
	}{
		"at most once": {kind: model.RouteOnce},
		"idempotent":   {kind: model.RouteIdempotent, resets: true},
		"download":     {kind: model.RouteDownload, resets: true},
		"not stated":   {},
		"unknown kind": {kind: model.RouteDownload + 1},
	}
	for name, tc := range kinds {
		table := routeTable(2)
		table.Routes[0].Kind = tc.kind
		t.Run(name+"/at the next packet", func(t *testing.T) {
			h := newHarness(t, threeUpstreams()...)
			h.True(h.engine.SetRoutes(table))
			up := h.engine.Roster().ByService("desk")[0]
			h.makeUnreachable(up)
			a := h.data(1, feedAddress, up.Tag)
			if !tc.resets {
				h.Equal(a.Verb, model.VerbForward)
				return
			}
			h.Equal(a.Verb, model.VerbReset)
			h.Equal(a.Reason, model.ReasonUpstreamUnreachable)
		})
		t.Run(name+"/by the probe", func(t *testing.T) {
			h := newHarness(t, threeUpstreams()...)
			h.True(h.engine.SetRoutes(table))
			up := h.syn(1, feedAddress, 0).Upstream
			h.now = h.now.Add(7 * time.Millisecond)
			h.data(1, feedAddress, up.Tag)
			h.now = h.now.Add(200 * time.Millisecond)
			h.data(1, feedAddress, up.Tag)
			var resets []direct.Action
			for range 3 {
				up.Health.StartProbe(h.now)
				h.now = h.now.Add(100 * time.Millisecond)
				for _, a := range h.engine.FinishProbe(h.now, up, health.OutcomeFailed) {
					if a.Verb == model.VerbReset {
						resets = append(resets, a)
					}
				}
			}
			if !tc.resets {
				h.Equal(len(resets), 0)
				return
			}
			h.Equal(len(resets), 1)
			h.Equal(resets[0].Flow, flowKey(1, feedAddress))
			h.Equal(resets[0].Reason, model.ReasonUpstreamUnreachable)
		})
	}
}
