package direct_test

import (
	"testing"
	"time"

	"hawthorncourse/internal/core/direct"
	"hawthorncourse/internal/core/health"
	"hawthorncourse/internal/core/model"
	"hawthorncourse/internal/core/roster"
)

// packet is a data packet of flow 1 of the route feed.
func packet(tag model.RoutingTag, seq uint32) model.Segment {
	return model.Segment{Flow: flowKey(1, feedAddress), HasAck: true, Tag: tag, Seq: seq, AckSeq: 1, Size: 100}
}

// retried sends a SYN to an upstream that turns out to be full, so that it is sent to another one, and returns both.
func (h *harness) retried() (first, second *roster.Upstream) {
	h.Helper()
	a := h.syn(1, feedAddress, 0)
	return a.Upstream, h.sentElsewhere(a).Upstream
}

// other returns an upstream that is none of the given ones.
func (h *harness) other(known ...*roster.Upstream) *roster.Upstream {
	for _, u := range h.engine.Roster().ByService("desk") {
		found := false
		for _, k := range known {
			found = found || k == u
		}
		if !found {
			return u
		}
	}
	return nil
}

// goesTo checks that a packet is forwarded to an upstream.
func (h *harness) goesTo(u *roster.Upstream, seg model.Segment) direct.Action {
	h.Helper()
	a := h.send(seg)
	h.Equal(a.Verb, model.VerbForward)
	h.Equal(a.Upstream, u)
	return a
}

// TestTwoAnswers guards against packets of an open flow that go to another upstream, which got the SYN too and whose answer came later.
func TestTwoAnswers(t *testing.T) {
	cases := map[string]func(*harness){
		"the first upstream answers first": func(h *harness) {
			first, second := h.retried()
			h.goesTo(first, packet(first.Tag, 1))
			for seq := uint32(101); seq < 500; seq += 100 {
				h.Equal(h.goesTo(first, packet(second.Tag, seq)).Reason, model.ReasonNone)
			}
			h.goesTo(first, packet(first.Tag, 501))
		},
		"the second upstream answers first": func(h *harness) {
			first, second := h.retried()
			h.goesTo(second, packet(second.Tag, 1))
			h.Equal(h.goesTo(second, packet(first.Tag, 101)).Reason, model.ReasonNone)
		},
		"the caller's copy of the SYN is answered too": func(h *harness) {
			first := h.syn(1, feedAddress, 0).Upstream
			h.now = h.now.Add(200 * time.Millisecond)
			second := h.syn(1, feedAddress, 1).Upstream
			h.True(first != second)
			h.goesTo(first, packet(first.Tag, 1))
			h.goesTo(first, packet(second.Tag, 101))
		},
		"the flow was opened at an upstream of another instance's choice": func(h *harness) {
			own := h.syn(1, feedAddress, 1).Upstream
			opened := h.other(own)
			h.goesTo(opened, packet(opened.Tag, 1))
			h.Equal(h.goesTo(opened, packet(own.Tag, 101)).Reason, model.ReasonNone)
		},
		"a tag of an upstream that did not get the SYN from this instance": func(h *harness) {
			first, second := h.retried()
			third := h.other(first, second)
			h.goesTo(first, packet(first.Tag, 1))
			h.Equal(h.goesTo(first, packet(third.Tag, 101)).Reason, model.ReasonNone)
			h.Equal(h.goesTo(first, packet(second.Tag, 201)).Reason, model.ReasonNone)
		},
		"the first packet has no tag": func(h *harness) {
			up := h.syn(1, feedAddress, 0).Upstream
			h.goesTo(up, packet(0, 1))
			h.Equal(h.goesTo(h.other(up), packet(h.other(up).Tag, 101)).Reason, model.ReasonTagChanged)
		},
		"the tag of a reused port is followed": func(h *harness) {
			first, second := h.retried()
			h.goesTo(first, packet(first.Tag, 1))
			h.Equal(h.goesTo(second, packet(second.Tag, 1<<30)).Reason, model.ReasonTagChanged)
		},
	}
	for name, check := range cases {
		t.Run(name, func(t *testing.T) { check(newHarness(t, threeUpstreams()...)) })
	}
}

// TestTagOfOtherInstance guards against packets of an open flow that go to another upstream, or end the flow, since another instance has sent a copy
// of its SYN there.
func TestTagOfOtherInstance(t *testing.T) {
	answered := func(h *harness, up *roster.Upstream) {
		h.goesTo(up, packet(up.Tag, 1))
		seg := packet(up.Tag, 101)
		seg.AckSeq = 900
		h.goesTo(up, seg)
	}
	cases := map[string]func(h *harness, up, other *roster.Upstream){
		"it serves": func(*harness, *roster.Upstream, *roster.Upstream) {},
		"it has ended": func(h *harness, _, other *roster.Upstream) {
			h.sync(registration(1, "east"))
			h.failProbesOf(other)
		},
		"it is unreachable": func(h *harness, _, other *roster.Upstream) { h.makeUnreachable(other) },
	}
	for name, change := range cases {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t, threeUpstreams()...)
			up, other := h.engine.Roster().ByService("desk")[0], h.engine.Roster().ByService("desk")[1]
			answered(h, up)
			change(h, up, other)
			h.Equal(h.goesTo(up, packet(other.Tag, 201)).Reason, model.ReasonNone)
			h.goesTo(up, packet(up.Tag, 301))
		})
	}
	t.Run("it is unknown", func(t *testing.T) {
		h := newHarness(t, threeUpstreams()...)
		up := h.engine.Roster().ByService("desk")[0]
		answered(h, up)
		h.goesTo(up, packet(12345, 201))
	})
	t.Run("the flow is not known to be answered", func(t *testing.T) {
		h := newHarness(t, threeUpstreams()...)
		up, other := h.engine.Roster().ByService("desk")[0], h.engine.Roster().ByService("desk")[1]
		h.goesTo(up, packet(up.Tag, 1))
		h.Equal(h.goesTo(other, packet(other.Tag, 101)).Reason, model.ReasonTagChanged)
	})
	t.Run("the port is reused", func(t *testing.T) {
		h := newHarness(t, threeUpstreams()...)
		up, other := h.engine.Roster().ByService("desk")[0], h.engine.Roster().ByService("desk")[1]
		answered(h, up)
		h.Equal(h.goesTo(other, packet(other.Tag, 1<<30)).Reason, model.ReasonTagChanged)
	})
}

// failProbesOf fails three probes of an upstream.
func (h *harness) failProbesOf(u *roster.Upstream) {
	for range 3 {
		u.Health.StartProbe(h.now)
		h.now = h.now.Add(100 * time.Millisecond)
		h.engine.FinishProbe(h.now, u, health.OutcomeFailed)
	}
}

// syn1 is a SYN of flow 1 of the route feed.
func syn1(seq, retransmission uint32) model.Segment {
	return model.Segment{Flow: flowKey(1, feedAddress), Syn: true, Seq: seq, Retransmission: retransmission}
}

// TestLateSyn guards against copies of the SYN of an open flow that end the flow or open it a second time.
func TestLateSyn(t *testing.T) {
	cases := map[string]struct {
		retransmission uint32
		// elsewhere is set if another instance has opened the flow; change runs after the flow was opened.
		elsewhere bool
		change    func(*harness, *roster.Upstream)
	}{
		"duplicate of the first":                {},
		"later copy":                            {retransmission: 1},
		"flow opened by another instance":       {retransmission: 1, elsewhere: true},
		"duplicate, opened by another instance": {elsewhere: true},
		"no upstream for new flows":             {retransmission: 1, change: (*harness).drainAll},
		"duplicate, no upstream for new flows":  {change: (*harness).drainAll},
		"upstream is out of service": {change: func(h *harness, _ *roster.Upstream) {
			h.engine.Roster().SetOut(h.now, []model.DomainID{"east", "west"}, 0)
		}},
		"after the caller has sent much data": {retransmission: 2, change: (*harness).sendMuch},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t, threeUpstreams()...)
			up := h.engine.Roster().ByService("desk")[0]
			if !tc.elsewhere {
				up = h.send(syn1(0, 0)).Upstream
			}
			h.now = h.now.Add(8 * time.Millisecond)
			h.goesTo(up, packet(up.Tag, 1))
			if tc.change != nil {
				tc.change(h, up)
			}
			h.now = h.now.Add(300 * time.Millisecond)
			h.Equal(h.send(syn1(0, tc.retransmission)).Verb, model.VerbDrop)
			h.Equal(len(h.advance(150*time.Millisecond)), 0)
			for seq := uint32(101); seq < 500; seq += 100 {
				h.goesTo(up, packet(up.Tag, seq))
			}
			h.goesTo(up, packet(0, 501))
			h.Equal(up.Load.Flows, 1)
		})
	}
}

// drainAll lets all upstreams of the service drain.
func (h *harness) drainAll(_ *roster.Upstream) {
	var items []model.Registration
	for _, r := range threeUpstreams() {
		r.Draining, r.Revision = true, 9
		items = append(items, r)
	}
	h.sync(items...)
}

// sendMuch sends several hundred KB on flow 1.
func (h *harness) sendMuch(up *roster.Upstream) {
	for seq := uint32(101); seq < 500_000; seq += 1200 {
		h.goesTo(up, packet(up.Tag, seq))
	}
}

// TestReusedPort checks that a SYN that is no copy of the open flow's opens a new flow.
func TestReusedPort(t *testing.T) {
	cases := map[string]struct {
		seq, retransmission uint32
		wait                time.Duration
	}{
		"another sequence number":                             {seq: 1 << 30},
		"another sequence number, later copy":                 {seq: 1 << 30, retransmission: 1},
		"sequence number ahead of the flow":                   {seq: 5000},
		"the same sequence number, when no copy is under way": {wait: 4 * time.Second},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t, threeUpstreams()...)
			up := h.send(syn1(0, 0)).Upstream
			h.now = h.now.Add(8 * time.Millisecond)
			h.goesTo(up, packet(up.Tag, 1))
			h.now = h.now.Add(tc.wait)
			a := h.send(syn1(tc.seq, tc.retransmission))
			h.Equal(a.Verb, model.VerbForward)
			h.Equal(a.Reason, model.ReasonNone)
			h.Equal(a.Attempt, 1)
			h.Equal(up.Load.Flows, 0)
		})
	}
}

// TestPacketWithoutTag guards against packets without a tag that go to an upstream at which their flow may not be open.
func TestPacketWithoutTag(t *testing.T) {
	cases := map[string]func(*harness){
		"to the only upstream that got the SYN": func(h *harness) {
			up := h.syn(1, feedAddress, 0).Upstream
			h.goesTo(up, packet(0, 1))
			h.goesTo(up, packet(0, 101))
		},
		"to the upstream where the flow is established": func(h *harness) {
			first, second := h.retried()
			h.goesTo(first, packet(first.Tag, 1))
			h.goesTo(first, packet(0, 101))
			h.goesTo(first, packet(second.Tag, 201))
			h.goesTo(first, packet(0, 301))
		},
		"dropped while two upstreams may answer": func(h *harness) {
			first, _ := h.retried()
			a := h.send(packet(0, 1))
			h.Equal(a.Verb, model.VerbDrop)
			h.Equal(a.Reason, model.ReasonTagMissing)
			h.goesTo(first, packet(first.Tag, 1))
			h.goesTo(first, packet(0, 101))
		},
		"a reset by the caller ends the flow": func(h *harness) {
			_, second := h.retried()
			h.goesTo(second, model.Segment{Flow: flowKey(1, feedAddress), Reset: true})
			h.Equal(h.engine.FlowCount(), 0)
		},
		"dropped while the caller's copy may be answered": func(h *harness) {
			h.syn(1, feedAddress, 0)
			h.now = h.now.Add(200 * time.Millisecond)
			second := h.syn(1, feedAddress, 1).Upstream
			h.Equal(h.send(packet(0, 1)).Verb, model.VerbDrop)
			h.goesTo(second, packet(second.Tag, 1))
			h.goesTo(second, packet(0, 101))
		},
	}
	for name, check := range cases {
		t.Run(name, func(t *testing.T) { check(newHarness(t, threeUpstreams()...)) })
	}
}
