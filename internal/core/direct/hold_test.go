package direct_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"hawthorncourse/internal/core/direct"
	"hawthorncourse/internal/core/model"
)

// newStartingHarness returns a harness whose engine is not ready yet and knows no upstream.
func newStartingHarness(t *testing.T) *harness {
	t.Helper()
	h := &harness{I: is.New(t), engine: direct.New(direct.Config{Domain: "east", Seed: 1, Limits: direct.Limits{FlowLife: time.Minute}}), now: model.Instant(time.Minute)}
	h.True(h.engine.SetRoutes(routeTable(1)))
	return h
}

// countVerbs counts the actions by verb.
func countVerbs(actions []direct.Action) map[model.Verb]int {
	out := map[model.Verb]int{}
	for _, a := range actions {
		out[a.Verb]++
	}
	return out
}

// TestHeldUntilReady checks which packets that arrive before the instance is ready are handled once it is: a SYN until its caller sends the next
// copy, other packets for half a second, and no more than the limit.
func TestHeldUntilReady(t *testing.T) {
	tag := func(h *harness) model.RoutingTag { return h.engine.Roster().ByService("desk")[0].Tag }
	syn := func(retransmission uint32) func(*harness) model.Segment {
		return func(*harness) model.Segment { return model.Segment{Syn: true, Retransmission: retransmission} }
	}
	data := func(h *harness) model.Segment {
		return model.Segment{HasAck: true, Tag: tag(h), Seq: 1, AckSeq: 1, Size: 100}
	}
	cases := map[string]struct {
		seg       func(*harness) model.Segment
		wait      time.Duration
		forwarded int
	}{
		"first SYN":                      {seg: syn(0), wait: 190 * time.Millisecond, forwarded: 1},
		"first SYN, next copy is due":    {seg: syn(0), wait: 210 * time.Millisecond},
		"second SYN":                     {seg: syn(1), wait: 390 * time.Millisecond, forwarded: 1},
		"second SYN, next copy is due":   {seg: syn(1), wait: 410 * time.Millisecond},
		"third SYN":                      {seg: syn(2), wait: 790 * time.Millisecond, forwarded: 1},
		"data of an open flow":           {seg: data, wait: 490 * time.Millisecond, forwarded: 1},
		"data of an open flow, too late": {seg: data, wait: 510 * time.Millisecond},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			h := newStartingHarness(t)
			h.sync(threeUpstreams()...)
			seg := tc.seg(h)
			seg.Flow, seg.Raw = flowKey(1, feedAddress), []byte{1}
			h.Equal(countVerbs(h.engine.Packet(h.now, &seg)), map[model.Verb]int{model.VerbHold: 1})
			h.now = h.now.Add(tc.wait)
			h.Equal(countVerbs(h.engine.SetReady(h.now))[model.VerbForward], tc.forwarded)
			h.Equal(len(h.engine.SetReady(h.now)), 0)
		})
	}
}

// TestHoldLimit checks that the number of held packets is bounded.
func TestHoldLimit(t *testing.T) {
	h := newStartingHarness(t)
	for port := uint16(1); port <= 513; port++ {
		a := h.syn(port, feedAddress, 0)
		want := model.VerbHold
		if port == 513 {
			want = model.VerbDrop
		}
		h.Equal(a.Verb, want)
		h.Equal(a.Reason, model.ReasonNotReady)
	}
	h.sync(threeUpstreams()...)
	h.Equal(countVerbs(h.engine.SetReady(h.now))[model.VerbForward], 512)
}

// TestReturnAfterOutage replays the return of an instance after an outage: it serves as soon as it knows some upstreams, and the retransmissions of
// open flows on all others arrive before it has read the rest. Each of them must be forwarded when its upstream becomes known; their callers
// would retransmit again only after a second.
func TestReturnAfterOutage(t *testing.T) {
	const flows = 20
	known := newHarness(t, threeUpstreams()...)
	last := known.engine.Roster().ByService("desk")[2]
	h := newStartingHarness(t)
	h.engine.Roster().Add(h.now, threeUpstreams()[:2], 0)
	h.engine.SetReady(h.now)
	for port := uint16(1); port <= flows; port++ {
		h.Equal(h.data(port, feedAddress, last.Tag).Verb, model.VerbHold)
	}
	h.now = h.now.Add(300 * time.Millisecond)
	h.sync(threeUpstreams()...)
	forwarded := h.engine.ReleaseHeld(h.now)
	h.Equal(countVerbs(forwarded), map[model.Verb]int{model.VerbForward: flows})
	for _, a := range forwarded {
		h.Equal(a.Upstream.ID, last.ID)
	}
}

// TestHeldFlowOfEndedUpstream checks that the flow of a held packet is reset as soon as the registry is complete without its upstream.
func TestHeldFlowOfEndedUpstream(t *testing.T) {
	h := newHarness(t, threeUpstreams()...)
	h.Equal(h.data(1, feedAddress, 12345).Verb, model.VerbHold)
	h.now = h.now.Add(100 * time.Millisecond)
	h.Equal(len(h.engine.ReleaseHeld(h.now)), 0)
	h.engine.Roster().Confirm(h.now, h.now)
	actions := h.engine.ReleaseHeld(h.now)
	h.Equal(len(actions), 1)
	h.Equal(actions[0].Verb, model.VerbReset)
	h.Equal(actions[0].Reason, model.ReasonUpstreamGone)
}
