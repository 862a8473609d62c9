package direct_test

import (
	"slices"
	"testing"
	"time"

	"hawthorncourse/internal/core/direct"
	"hawthorncourse/internal/core/health"
	"hawthorncourse/internal/core/model"
)

// TestFlowsOfDeadRunAtReusedAddress guards against callers that wait for their deadline although it is certain that their upstream has ended: an instance
// has first listed it together with the run that uses its address now, and that one answers flows. Probes cannot tell the two apart, as they go to the
// address, and a process drops packets for another one silently.
func TestFlowsOfDeadRunAtReusedAddress(t *testing.T) {
	dead, next := registration(4, "east"), registration(5, "east")
	next.Boot, next.Address = 9, dead.Address
	h := newHarness(t, append(threeUpstreams(), dead, next)...)
	run := h.engine.Roster().Get(next.ID)
	answered := false
	for n := range 30 {
		// The process at the address answers flows and probes.
		port := uint16(100 + n)
		if a := h.syn(port, feedAddress, 0); a.Upstream == run {
			h.now = h.now.Add(5 * time.Millisecond)
			h.data(port, feedAddress, run.Tag)
			answered = true
		}
		next.Revision++
		items := append(threeUpstreams(), next)
		if n < 5 {
			items = append(items, dead)
		}
		h.sync(items...)
		h.engine.Roster().Confirm(h.now, h.now)
		for _, a := range slices.Clone(h.advance(time.Second)) {
			if a.Verb == model.VerbProbe {
				h.engine.FinishProbe(h.now, a.Upstream, health.OutcomeAnswered)
			}
		}
	}
	h.True(answered)
	resets := 0
	for n := range uint16(10) {
		seg := model.Segment{Flow: flowKey(1000, feedAddress), HasAck: true, Tag: tagOf(dead), Seq: 1, AckSeq: 1, Size: 100, Raw: []byte{byte(n)}}
		resets += countVerbs(slices.DeleteFunc(slices.Clone(h.engine.Packet(h.now, &seg)), func(a direct.Action) bool { return a.Verb == model.VerbProbe }))[model.VerbReset]
		for _, a := range h.advance(200 * time.Millisecond) {
			if a.Verb == model.VerbProbe {
				h.engine.FinishProbe(h.now, a.Upstream, health.OutcomeAnswered)
			}
		}
	}
	h.True(resets > 0)
}
