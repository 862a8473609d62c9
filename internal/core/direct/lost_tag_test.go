package direct_test

import (
	"testing"
	"time"

	"hawthorncourse/internal/core/health"
	"hawthorncourse/internal/core/model"
	"hawthorncourse/internal/core/roster"
)

// lostRun returns an upstream that has been gone from the registry until its tag is forgotten, and at which flow 1 was opened later than that and
// is answered.
func (h *harness) lostRun() *roster.Upstream {
	h.Helper()
	up := h.engine.Roster().ByService("desk")[0]
	h.sync(threeUpstreams()[1:]...)
	h.advance(50 * time.Second)
	h.goesTo(up, packet(up.Tag, 1))
	seg := packet(up.Tag, 101)
	seg.AckSeq = 900
	h.goesTo(up, seg)
	h.engine.FinishProbe(h.now, up, health.OutcomeAnswered)
	h.advance(11 * time.Second)
	h.engine.Roster().Confirm(h.now, h.now)
	h.Equal(h.engine.Roster().ByTag("desk", up.Tag), nil)
	return up
}

// TestFlowOfForgottenTag guards against packets of an open flow that are held although this instance knows the flow's upstream: the registry has lost
// it for longer than a flow lives, but the flow is younger.
func TestFlowOfForgottenTag(t *testing.T) {
	cases := map[string]func(own, other model.RoutingTag) model.RoutingTag{
		"its own tag":                     func(own, _ model.RoutingTag) model.RoutingTag { return own },
		"the tag of another upstream":     func(_, other model.RoutingTag) model.RoutingTag { return other },
		"a tag that no upstream here has": func(_, _ model.RoutingTag) model.RoutingTag { return 12345 },
		"no tag":                          func(_, _ model.RoutingTag) model.RoutingTag { return 0 },
	}
	for name, tag := range cases {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t, threeUpstreams()...)
			up := h.lostRun()
			h.goesTo(up, packet(tag(up.Tag, h.other(up).Tag), 201))
		})
	}
}

// TestForgottenTagEnds checks that the flow of an upstream whose tag is forgotten is reset once its caller waits and probes fail.
func TestForgottenTagEnds(t *testing.T) {
	h := newHarness(t, threeUpstreams()...)
	up := h.lostRun()
	verbs := map[model.Verb]int{}
	for n := 0; n < 4 && verbs[model.VerbReset] == 0; n++ {
		seg := packet(up.Tag, 201)
		actions := countVerbs(h.engine.Packet(h.now, &seg))
		verbs[model.VerbForward] += actions[model.VerbForward]
		verbs[model.VerbReset] += actions[model.VerbReset]
		sent := h.now
		if actions[model.VerbProbe] > 0 {
			h.now = h.now.Add(up.Health.ProbeTimeout())
			verbs[model.VerbReset] += countVerbs(h.engine.FinishProbe(h.now, up, health.OutcomeFailed))[model.VerbReset]
		}
		h.now = sent.Add(200 * time.Millisecond << n)
	}
	// The second, the third and the fourth copy find a probe due: nothing else probes a forgotten upstream.
	h.Equal(verbs, map[model.Verb]int{model.VerbForward: 4, model.VerbReset: 1})
}

// TestHeldPacketIsNotRenewed guards against a packet that is held anew at each change of the registry, beyond its holding time.
func TestHeldPacketIsNotRenewed(t *testing.T) {
	h := newHarness(t, threeUpstreams()...)
	up := h.lostRun()
	seg := packet(h.other(up).Tag, 201)
	h.engine.Packet(h.now, &seg)
	for range 20 {
		h.now = h.now.Add(100 * time.Millisecond)
		h.Equal(countVerbs(h.engine.ReleaseHeld(h.now))[model.VerbHold], 0)
	}
}

// TestHeldPacketOfAnsweredFlow guards against packets that are held until they expire although their flow has turned out to be open at a known upstream.
func TestHeldPacketOfAnsweredFlow(t *testing.T) {
	h := newHarness(t, threeUpstreams()...)
	up := h.engine.Roster().ByService("desk")[0]
	h.Equal(h.send(packet(12345, 201)).Verb, model.VerbHold)
	h.goesTo(up, packet(up.Tag, 1))
	seg := packet(up.Tag, 101)
	seg.AckSeq = 900
	h.goesTo(up, seg)
	actions := h.engine.ReleaseHeld(h.now)
	h.Equal(len(actions), 1)
	h.Equal(actions[0].Verb, model.VerbForward)
	h.Equal(actions[0].Upstream, up)
}

// TestFlowOfReturnedRun guards against packets of an open flow that go to another upstream after its own was listed again, whose tag had been forgotten.
func TestFlowOfReturnedRun(t *testing.T) {
	h := newHarness(t, threeUpstreams()...)
	lost := h.lostRun()
	h.sync(threeUpstreams()...)
	up := h.engine.Roster().ByTag("desk", lost.Tag)
	h.True(up != lost)
	h.Equal(h.goesTo(up, packet(up.Tag, 201)).Reason, model.ReasonNone)
	h.goesTo(up, packet(h.other(up).Tag, 301))
}
