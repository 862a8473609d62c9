package direct_test

import (
	"slices"
	"testing"
	"time"

	"hawthorncourse/internal/core/direct"
	"hawthorncourse/internal/core/health"
	"hawthorncourse/internal/core/model"
)

// TestFlowsOfDeadRunWithoutFlowsAtNext guards against callers that wait for their deadline although it is certain that their upstream has ended: the
// registration of the run that uses its address now stands, with new heartbeats, for 30 s, and its own for 5 s only. That run is in a failure domain that
// operators have taken out of service, so it gets no new flows that it could answer.
func TestFlowsOfDeadRunWithoutFlowsAtNext(t *testing.T) {
	dead, next := registration(4, "west"), registration(5, "west")
	next.Boot, next.Address = 9, dead.Address
	h := newHarness(t, append(threeUpstreams(), dead, next)...)
	run := h.engine.Roster().Get(next.ID)
	for n := range 30 {
		// All processes answer flows and probes.
		port := uint16(100 + n)
		h.engine.Roster().SetOut(h.now, []model.DomainID{"west"}, 0)
		up := h.syn(port, feedAddress, 0).Upstream
		h.True(up != run)
		h.now = h.now.Add(5 * time.Millisecond)
		h.data(port, feedAddress, up.Tag)
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
