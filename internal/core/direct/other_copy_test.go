package direct_test

import (
	"net/netip"
	"testing"
	"time"

	"hawthorncourse/internal/core/model"
	"hawthorncourse/internal/core/roster"
)

// TestSynCopyFromOtherInstance guards against resets of a flow that is about to open: the first copy of its SYN went through another instance, whose
// upstream may still answer it, and this instance knows no upstream or no route for the copy that came here.
func TestSynCopyFromOtherInstance(t *testing.T) {
	cases := map[string]func(*harness){
		"all drain":              func(h *harness) { h.drainAll(nil) },
		"all are out of service": func(h *harness) { h.engine.Roster().SetOut(h.now, []model.DomainID{"east", "west"}, 0) },
		"all are cold, and this instance has no ordinal yet": func(h *harness) {
			h.coolAll(nil)
			h.engine.SetOrdinal(model.Ordinal{}, 0)
		},
		"this instance has read no registration yet": func(h *harness) { h.sync() },
		"this instance does not know the route yet":  func(h *harness) { h.True(h.engine.SetRoutes(withoutFeed())) },
	}
	for name, change := range cases {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t, threeUpstreams()...)
			change(h)
			h.True(h.send(syn1(0, 1)).Verb != model.VerbReset)
			h.True(h.send(syn1(0, 2)).Verb != model.VerbReset)
			// A first SYN is rejected at once: its flow is open nowhere.
			h.Equal(h.syn(2, feedAddress, 0).Verb, model.VerbReset)
		})
	}
}

// TestSynCopyAfterRejection guards against callers that wait for their deadline since the reset of their first SYN was lost, and against
// resets of a flow that is about to open, as a copy after the first went through another instance.
func TestSynCopyAfterRejection(t *testing.T) {
	changes := map[model.Reason]func(*harness){
		model.ReasonNoRoute:    func(h *harness) { h.True(h.engine.SetRoutes(withoutFeed())) },
		model.ReasonNoUpstream: func(h *harness) { h.drainAll(nil) },
	}
	const reset, drop = model.VerbReset, model.VerbDrop
	cases := map[string]struct {
		syns []model.Segment
		want []model.Verb
	}{
		"all came here":                  {syns: []model.Segment{syn1(0, 0), syn1(0, 1), syn1(0, 2)}, want: []model.Verb{reset, reset, reset}},
		"duplicated in the network":      {syns: []model.Segment{syn1(0, 0), syn1(0, 1), syn1(0, 1), syn1(0, 0)}, want: []model.Verb{reset, reset, reset, reset}},
		"the second went elsewhere":      {syns: []model.Segment{syn1(0, 0), syn1(0, 2)}, want: []model.Verb{reset, drop}},
		"the first went elsewhere":       {syns: []model.Segment{syn1(0, 1), syn1(0, 2)}, want: []model.Verb{drop, drop}},
		"a copy of the next flow's SYN":  {syns: []model.Segment{syn1(0, 0), syn1(1<<30, 1)}, want: []model.Verb{reset, drop}},
		"the next flow's first SYN":      {syns: []model.Segment{syn1(0, 0), syn1(1<<30, 0), syn1(1<<30, 1)}, want: []model.Verb{reset, reset, reset}},
		"the next flow, first elsewhere": {syns: []model.Segment{syn1(0, 1), syn1(1<<30, 0)}, want: []model.Verb{drop, reset}},
	}
	for name, tc := range cases {
		for reason, change := range changes {
			t.Run(name+", "+reason.String(), func(t *testing.T) {
				h := newHarness(t, threeUpstreams()...)
				change(h)
				for n, syn := range tc.syns {
					a := h.send(syn)
					h.Equal(a.Verb, tc.want[n])
					h.Equal(a.Reason, reason)
					h.advance(200 * time.Millisecond)
				}
				h.Equal(h.engine.FlowCount(), 0)
			})
		}
	}
}

// TestSynCopyAfterOneOfOtherInstance guards against resets of a flow that is about to open: an upstream that this instance has sent a copy of its SYN to does
// not answer, but the one that got the first copy from another instance may.
func TestSynCopyAfterOneOfOtherInstance(t *testing.T) {
	changes := map[string]func(*harness, *roster.Upstream){
		"its own was replaced":          (*harness).replaceAll,
		"its own is down and all drain": (*harness).drainUnreachable,
	}
	for name, change := range changes {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t, threeUpstreams()...)
			up := h.send(syn1(0, 1)).Upstream
			change(h, up)
			h.now = h.now.Add(400 * time.Millisecond)
			h.Equal(h.send(syn1(0, 2)).Verb, model.VerbDrop)
		})
	}
}

// TestRejectedOverLimit checks that only so many rejected SYNs are remembered, and not for longer than copies take: copies of others are dropped.
func TestRejectedOverLimit(t *testing.T) {
	h := newHarness(t, threeUpstreams()...)
	h.drainAll(nil)
	for port := uint16(1); port <= 3000; port++ {
		h.Equal(h.syn(port, feedAddress, 0).Verb, model.VerbReset)
	}
	h.Equal(h.syn(1, feedAddress, 1).Verb, model.VerbReset)
	h.Equal(h.syn(3000, feedAddress, 1).Verb, model.VerbDrop)
	h.advance(4 * time.Second)
	h.Equal(h.syn(1, feedAddress, 2).Verb, model.VerbDrop)
	h.Equal(h.syn(3000, feedAddress, 0).Verb, model.VerbReset)
	h.Equal(h.syn(3000, feedAddress, 1).Verb, model.VerbReset)
}

// TestSynCopyOverFlowLimit guards against resets of a flow that is about to open through another instance, as the table of flows is full here.
func TestSynCopyOverFlowLimit(t *testing.T) {
	h := newHarness(t, threeUpstreams()...)
	tag := h.engine.Roster().ByService("desk")[0].Tag
	for n := 0; h.engine.FlowCount() == n; n++ {
		caller := netip.AddrFrom4([4]byte{100, 65, byte(n >> 16), 1})
		h.engine.Packet(h.now, &model.Segment{Flow: model.FlowKey{Caller: netip.AddrPortFrom(caller, uint16(n)), Service: feedAddress}, Tag: tag, Seq: 1})
	}
	for retransmission := range uint32(2) {
		a := h.send(syn1(0, retransmission))
		h.Equal(a.Verb, model.VerbReset)
		h.Equal(a.Reason, model.ReasonFlowLimit)
	}
	a := h.syn(2, feedAddress, 1)
	h.Equal(a.Verb, model.VerbDrop)
	h.Equal(a.Reason, model.ReasonFlowLimit)
}
