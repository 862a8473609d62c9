package direct_test

import (
	"testing"
	"time"

	"hawthorncourse/internal/core/health"
	"hawthorncourse/internal/core/model"
)

// TestWaitOfMovedFlow guards against resets of a flow that other instances have handled for seconds: that it waited for an answer when this instance
// last saw it says nothing about now. A caller that still waits here would have sent its data again within 1.6 s.
func TestWaitOfMovedFlow(t *testing.T) {
	cases := map[string]struct {
		// rounds and step are for how long this instance sees nothing of the flow before the probes, which take 300 ms together.
		rounds uint16
		step   time.Duration
		resets int
	}{
		"seen 10 s before":                         {rounds: 10, step: time.Second},
		"seen just longer ago than callers wait":   {rounds: 8, step: 200 * time.Millisecond},
		"the caller's next copy may be on its way": {rounds: 7, step: 200 * time.Millisecond, resets: 1},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t, threeUpstreams()...)
			up := h.syn(1, feedAddress, 0).Upstream
			h.now = h.now.Add(8 * time.Millisecond)
			h.goesTo(up, packet(up.Tag, 1))
			h.now = h.now.Add(200 * time.Millisecond)
			h.goesTo(up, packet(up.Tag, 1))
			h.engine.FinishProbe(h.now, up, health.OutcomeAnswered)
			// Routers send the flow to another instance. Its upstream answers other flows here all the time.
			for port := uint16(10); port < 10+tc.rounds; port++ {
				h.advance(tc.step)
				seg := model.Segment{Flow: flowKey(port, feedAddress), HasAck: true, Tag: up.Tag, Seq: 1, AckSeq: 1, Size: 100}
				h.goesTo(up, seg)
				seg.Seq, seg.AckSeq = 101, 500
				h.goesTo(up, seg)
			}
			// Three probes are lost.
			up.Health.MarkSuspect(h.now)
			resets := 0
			for range 3 {
				up.Health.StartProbe(h.now)
				h.now = h.now.Add(100 * time.Millisecond)
				resets += countVerbs(h.engine.FinishProbe(h.now, up, health.OutcomeFailed))[model.VerbReset]
			}
			h.Equal(resets, tc.resets)
		})
	}
}
