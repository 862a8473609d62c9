package direct_test

import (
	"net/netip"
	"slices"
	"testing"
	"time"

	"hawthorncourse/internal/core/direct"
	"hawthorncourse/internal/core/model"
	"hawthorncourse/internal/load/gauge"
)

const flowTarget = 400 * time.Millisecond

// newFullService returns a harness whose routes state a target latency, feed with a lower priority than order.
func newFullService(t *testing.T) *harness {
	t.Helper()
	h := newHarness(t, threeUpstreams()...)
	table := routeTable(2)
	for i := range table.Routes {
		r := &table.Routes[i]
		r.Target, r.Priority = flowTarget, 2
		if r.Address == orderAddress {
			r.Priority = 1
		}
	}
	h.True(h.engine.SetRoutes(table))
	return h
}

// report lets every upstream state that so many requests run or wait there.
func (h *harness) report(work int) []direct.Action {
	for _, u := range h.engine.Roster().ByService("desk") {
		u.Gauge.Report(h.now, gauge.Report{Running: min(work, u.Slots), Queued: max(work-u.Slots, 0), Slots: u.Slots})
	}
	return h.engine.UpdateLoads(h.now)
}

// open lets the upstream answer the SYN that an action forwards.
func (h *harness) open(a direct.Action) {
	h.engine.Packet(h.now, &model.Segment{Flow: a.Flow, HasAck: true, Tag: a.Upstream.Tag, Seq: 1, AckSeq: 1, Raw: []byte{1}})
}

// press offers n flows in each 10 ms for a time, with loads that are stated every 250 ms, and returns the actions by verb.
func (h *harness) press(n int, to netip.AddrPort, work int, d time.Duration, port *uint16) map[model.Verb]int {
	verbs := map[model.Verb]int{}
	count := func(actions []direct.Action) {
		for verb, c := range countVerbs(actions) {
			verbs[verb] += c
		}
		for _, a := range slices.Clone(actions) {
			if a.Verb == model.VerbForward {
				h.open(a)
			}
		}
	}
	for end := h.now.Add(d); h.now < end; {
		if int64(h.now)%int64(250*time.Millisecond) == 0 {
			count(h.report(work))
		}
		for range n {
			*port++
			count(h.engine.Packet(h.now, &model.Segment{Flow: flowKey(*port, to), Syn: true, Raw: []byte{1}}))
		}
		count(h.advance(10 * time.Millisecond))
	}
	return verbs
}

// TestAdmissionWhenFull guards against new flows that are sent to full upstreams, which queue and then reject them after a wait: most of a burst is refused
// before it opens, and flows of the higher priority still go on.
func TestAdmissionWhenFull(t *testing.T) {
	h := newFullService(t)
	port := uint16(1000)
	calm := h.press(1, orderAddress, 1, 5*time.Second, &port)
	h.Equal(calm[model.VerbReset], 0)
	h.Equal(calm[model.VerbHold], 0)
	full := h.press(10, feedAddress, 12, 2*time.Second, &port)
	h.True(full[model.VerbReset] > full[model.VerbForward])
	urgent := map[model.Verb]int{}
	for range 20 {
		port++
		a := h.engine.Packet(h.now, &model.Segment{Flow: flowKey(port, orderAddress), Syn: true, Raw: []byte{1}})
		h.Equal(len(a), 1)
		urgent[a[0].Verb]++
		switch a[0].Verb {
		case model.VerbReset:
			h.Equal(a[0].Reason, model.ReasonOverloaded)
		case model.VerbForward:
			h.open(a[0])
		}
		h.press(2, feedAddress, 12, 50*time.Millisecond, &port)
	}
	h.True(urgent[model.VerbReset] <= 2)
	// The loads are not known any more: everything goes on.
	h.advance(4 * time.Second)
	port++
	h.Equal(h.syn(port, feedAddress, 0).Verb, model.VerbForward)
}

// TestNoAdmissionWithoutTarget guards against limits in deployments that do not ask for them.
func TestNoAdmissionWithoutTarget(t *testing.T) {
	h := newHarness(t, threeUpstreams()...)
	port := uint16(1000)
	verbs := h.press(10, feedAddress, 50, 2*time.Second, &port)
	h.Equal(verbs[model.VerbReset], 0)
	h.Equal(verbs[model.VerbHold], 0)
}

// TestCopyOfWaitingSYN guards against a copy of a waiting SYN that is counted as another flow, or reset while the first one is sent to an upstream.
func TestCopyOfWaitingSYN(t *testing.T) {
	h := newFullService(t)
	port := uint16(1000)
	h.press(1, orderAddress, 1, 5*time.Second, &port)
	h.press(10, feedAddress, 12, time.Second, &port)
	waiting := h.waitingSYN(port)
	a := h.send(model.Segment{Flow: flowKey(waiting, feedAddress), Syn: true, Seq: 7, Retransmission: 1})
	h.Equal(a.Verb, model.VerbDrop)
	h.Equal(a.Reason, model.ReasonRepeat)
	outcomes := 0
	for end := h.now.Add(flowTarget); h.now < end; {
		for _, a := range h.advance(5 * time.Millisecond) {
			if a.Flow == flowKey(waiting, feedAddress) && a.Verb != model.VerbProbe {
				h.True(a.Verb == model.VerbForward || a.Verb == model.VerbReset)
				outcomes++
			}
		}
		if outcomes > 0 {
			break
		}
	}
	h.Equal(outcomes, 1)
}

// waitingSYN offers flows to a full service until one waits, and returns its port.
func (h *harness) waitingSYN(port uint16) uint16 {
	h.Helper()
	for p := port + 1; p < port+400; p++ {
		for _, a := range h.engine.Packet(h.now, &model.Segment{Flow: flowKey(p, feedAddress), Syn: true, Seq: 7, Raw: []byte{1}}) {
			if a.Verb == model.VerbHold {
				h.Equal(a.Reason, model.ReasonOverloaded)
				return p
			}
		}
		h.advance(5 * time.Millisecond)
	}
	h.Fail()
	return 0
}

// TestWaitingSYNElsewhere guards against a refusal that is not true, and against a second upstream for a flow: another instance may have sent a copy of a SYN
// that waits here to an upstream.
func TestWaitingSYNElsewhere(t *testing.T) {
	cases := map[string]struct {
		seg   func(tag model.RoutingTag) model.Segment
		verbs []model.Verb
	}{
		"the flow's next packet comes here": {
			seg: func(tag model.RoutingTag) model.Segment {
				return model.Segment{HasAck: true, Tag: tag, Seq: 8, AckSeq: 1}
			},
			verbs: nil,
		},
		"a copy comes here whose predecessor did not": {
			seg:   func(model.RoutingTag) model.Segment { return model.Segment{Syn: true, Seq: 7, Retransmission: 2} },
			verbs: []model.Verb{model.VerbDrop, model.VerbForward},
		},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			h := newFullService(t)
			port := uint16(1000)
			h.press(1, orderAddress, 1, 5*time.Second, &port)
			h.press(10, feedAddress, 12, time.Second, &port)
			waiting := h.waitingSYN(port)
			seg := tc.seg(h.engine.Roster().ByService("desk")[0].Tag)
			seg.Flow = flowKey(waiting, feedAddress)
			h.send(seg)
			for end := h.now.Add(flowTarget); h.now < end; {
				for _, a := range h.advance(5 * time.Millisecond) {
					if a.Flow == seg.Flow && a.Verb != model.VerbProbe {
						h.True(slices.Contains(tc.verbs, a.Verb))
						if a.Verb == model.VerbForward {
							h.open(a)
						}
					}
				}
			}
		})
	}
}

// TestWaitingSYNAfterStall guards against a SYN that is refused or placed after a stall of the instance, when its caller's copies may have opened the flow through
// another one.
func TestWaitingSYNAfterStall(t *testing.T) {
	for name, work := range map[string]int{"still full": 12, "room again": 0} {
		t.Run(name, func(t *testing.T) {
			h := newFullService(t)
			port := uint16(1000)
			h.press(1, orderAddress, 1, 5*time.Second, &port)
			h.press(10, feedAddress, 12, time.Second, &port)
			waiting := h.waitingSYN(port)
			h.now = h.now.Add(time.Second)
			actions := slices.Clone(h.report(work))
			actions = append(actions, h.advance(time.Second)...)
			for _, a := range actions {
				if a.Flow == flowKey(waiting, feedAddress) && a.Verb != model.VerbProbe {
					h.Equal(a.Verb, model.VerbDrop)
				}
			}
		})
	}
}
