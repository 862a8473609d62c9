package direct_test

import (
	"testing"
	"time"

	"hawthorncourse/internal/core/direct"
	"hawthorncourse/internal/core/model"
)

// withoutFeed returns a later configuration, of revision 2, that lacks the route feed.
func withoutFeed() model.RouteTable {
	t := routeTable(2)
	t.Routes = t.Routes[1:]
	return t
}

// TestFlowOfUnknownRoute guards against resets of open flows whose route this instance has not heard of: another instance has opened the flow.
func TestFlowOfUnknownRoute(t *testing.T) {
	confirm := func(h *harness) []direct.Action {
		h.engine.Roster().Confirm(h.now, h.now)
		return h.engine.ReleaseHeld(h.now)
	}
	isReset := func(h *harness, a direct.Action) {
		h.Helper()
		h.Equal(a.Verb, model.VerbReset)
		h.Equal(a.Reason, model.ReasonRouteRemoved)
	}
	cases := map[string]func(*harness, model.RoutingTag){
		"held until the route arrives": func(h *harness, tag model.RoutingTag) {
			h.now = h.now.Add(100 * time.Millisecond)
			h.Equal(len(h.engine.ReleaseHeld(h.now)), 0)
			h.True(h.engine.SetRoutes(routeTable(3)))
			actions := h.engine.ReleaseHeld(h.now)
			h.Equal(len(actions), 1)
			h.Equal(actions[0].Verb, model.VerbForward)
			h.Equal(actions[0].Upstream.Tag, tag)
		},
		"dropped without a confirmation": func(h *harness, tag model.RoutingTag) {
			for range 20 {
				h.Equal(countVerbs(h.advance(time.Second))[model.VerbReset], 0)
				h.Equal(h.data(1, feedAddress, tag).Verb, model.VerbHold)
			}
		},
		"dropped after its holding time": func(h *harness, _ model.RoutingTag) {
			actions := h.advance(600 * time.Millisecond)
			h.Equal(len(actions), 1)
			h.Equal(actions[0].Verb, model.VerbDrop)
			h.Equal(actions[0].Reason, model.ReasonHeldTooLong)
		},
		"not reset by a confirmation of a state before it": func(h *harness, tag model.RoutingTag) {
			h.now = h.now.Add(100 * time.Millisecond)
			h.engine.Roster().Confirm(h.now, h.now.Add(-200*time.Millisecond))
			h.Equal(len(h.engine.ReleaseHeld(h.now)), 0)
			h.Equal(h.data(1, feedAddress, tag).Verb, model.VerbHold)
		},
		"not reset by a confirmation within a grace period": func(h *harness, tag model.RoutingTag) {
			h.engine.Roster().ExtendGrace(h.now.Add(time.Second))
			h.now = h.now.Add(100 * time.Millisecond)
			h.Equal(len(confirm(h)), 0)
			h.Equal(h.data(1, feedAddress, tag).Verb, model.VerbHold)
		},
		"not reset by a confirmation for another flow": func(h *harness, tag model.RoutingTag) {
			h.now = h.now.Add(100 * time.Millisecond)
			h.Equal(len(confirm(h)), 1)
			h.Equal(h.data(2, feedAddress, tag).Verb, model.VerbHold)
		},
		"reset by a confirmation while it is held": func(h *harness, _ model.RoutingTag) {
			h.now = h.now.Add(100 * time.Millisecond)
			actions := confirm(h)
			h.Equal(len(actions), 1)
			isReset(h, actions[0])
		},
		"reset when it is sent again after a confirmation": func(h *harness, tag model.RoutingTag) {
			h.advance(time.Second)
			confirm(h)
			isReset(h, h.data(1, feedAddress, tag))
		},
	}
	for name, check := range cases {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t, threeUpstreams()...)
			tag := h.engine.Roster().ByService("desk")[0].Tag
			h.engine.Roster().Confirm(h.now, h.now)
			h.True(h.engine.SetRoutes(withoutFeed()))
			h.Equal(h.data(1, feedAddress, tag).Verb, model.VerbHold)
			check(h, tag)
		})
	}
}

// TestFlowOfDroppedRoute checks that a flow is reset at once when this instance has seen the configuration drop its route, and not if its port may
// have been reused since at another instance.
func TestFlowOfDroppedRoute(t *testing.T) {
	h := newHarness(t, threeUpstreams()...)
	ups := h.engine.Roster().ByService("desk")
	for port := uint16(1); port < 4; port++ {
		h.Equal(h.data(port, feedAddress, ups[0].Tag).Verb, model.VerbForward)
	}
	h.True(h.engine.SetRoutes(withoutFeed()))
	h.Equal(h.data(1, feedAddress, ups[1].Tag).Verb, model.VerbHold)
	h.Equal(h.data(2, feedAddress, ups[0].Tag).Reason, model.ReasonRouteRemoved)
	h.Equal(h.data(3, feedAddress, 0).Reason, model.ReasonRouteRemoved)
	h.Equal(ups[0].Load.Flows, 1)
}

// TestUnroutedOverLimit checks that packets of many flows without a route are dropped beyond a limit, and that none is reset without a confirmation.
func TestUnroutedOverLimit(t *testing.T) {
	h := newHarness(t, threeUpstreams()...)
	h.True(h.engine.SetRoutes(withoutFeed()))
	for port := uint16(1); port <= 3000; port++ {
		want := model.VerbHold
		if port > 512 {
			want = model.VerbDrop
		}
		h.Equal(h.data(port, feedAddress, 7).Verb, want)
	}
	h.now = h.now.Add(time.Millisecond)
	h.engine.Roster().Confirm(h.now, h.now)
	h.Equal(countVerbs(h.engine.ReleaseHeld(h.now)), map[model.Verb]int{model.VerbReset: 512})
	h.Equal(h.data(3000, feedAddress, 7).Verb, model.VerbDrop)
	h.advance(4 * time.Second)
	h.Equal(h.data(3000, feedAddress, 7).Verb, model.VerbHold)
}

// TestUnroutedSyn checks that a new flow to an address without a route is rejected at once.
func TestUnroutedSyn(t *testing.T) {
	h := newHarness(t, threeUpstreams()...)
	h.True(h.engine.SetRoutes(withoutFeed()))
	a := h.syn(1, feedAddress, 0)
	h.Equal(a.Verb, model.VerbReset)
	h.Equal(a.Reason, model.ReasonNoRoute)
}

// TestHeldAtStartWithoutRoute guards against resets of packets that were held while the instance started and whose route it has not read.
func TestHeldAtStartWithoutRoute(t *testing.T) {
	h := newStartingHarness(t)
	h.sync(threeUpstreams()...)
	h.True(h.engine.SetRoutes(withoutFeed()))
	tag := h.engine.Roster().ByService("desk")[0].Tag
	h.Equal(h.data(1, feedAddress, tag).Verb, model.VerbHold)
	h.Equal(countVerbs(h.engine.SetReady(h.now))[model.VerbReset], 0)
	h.now = h.now.Add(50 * time.Millisecond)
	h.True(h.engine.SetRoutes(routeTable(3)))
	h.Equal(countVerbs(h.engine.ReleaseHeld(h.now)), map[model.Verb]int{model.VerbForward: 1})
}
