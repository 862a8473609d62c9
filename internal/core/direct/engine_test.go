package direct_test

import (
	"fmt"
	"net/netip"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"hawthorncourse/internal/core/clock"
	"hawthorncourse/internal/core/direct"
	"hawthorncourse/internal/core/health"
	"hawthorncourse/internal/core/model"
	"hawthorncourse/internal/core/roster"
)

var (
	feedAddress  = netip.MustParseAddrPort("198.18.0.1:443")
	orderAddress = netip.MustParseAddrPort("198.18.0.1:444")
	photoAddress = netip.MustParseAddrPort("198.18.0.2:443")
)

// harness drives one engine with two services: "desk" behind the routes feed and order, and "claims" behind photo.
type harness struct {
	*is.I
	engine *direct.Engine
	now    model.Instant
	// restarts counts the engines before this one.
	restarts int
}

func newHarness(t *testing.T, items ...model.Registration) *harness {
	t.Helper()
	return newSeededHarness(t, 1, model.Instant(2*time.Minute), items...)
}

func newSeededHarness(t *testing.T, seed uint64, now model.Instant, items ...model.Registration) *harness {
	t.Helper()
	h := &harness{I: is.New(t), engine: direct.New(direct.Config{
		Domain: "east", Seed: seed, Limits: direct.Limits{FlowLife: time.Minute, AddressReuse: 2 * time.Second},
	}), now: now}
	h.True(h.engine.SetRoutes(routeTable(1)))
	h.sync(items...)
	h.engine.SetReady(h.now)
	h.engine.SetClock(sharedTime(h.now))
	return h
}

// sharedTime returns the exact reading of a shared clock that is the time of the test.
func sharedTime(now model.Instant) clock.Reading {
	return readingOf(1, now, 0)
}

// readingOf returns a reading of the shared clock that may be wrong by up to err either way.
func readingOf(epoch clock.Epoch, now model.Instant, err time.Duration) clock.Reading {
	return clock.Reading{Epoch: epoch, At: now, Earliest: time.Duration(now) - err, Latest: time.Duration(now) + err}
}

// blurred makes the shared time uncertain by 10 ms either way.
func blurred(h *harness) {
	h.engine.SetClock(readingOf(1, h.now, 10*time.Millisecond))
}

// delayed returns a segment that was held for some time.
func delayed(seg model.Segment, by time.Duration) model.Segment {
	seg.Delay = by
	return seg
}

// restart replaces the engine by that of an instance that has just started.
func (h *harness) restart(t *testing.T) {
	t.Helper()
	h.restarts++
	h.engine = newSeededHarness(t, uint64(1+h.restarts), h.now, threeUpstreams()...).engine
}

func routeTable(rev model.Revision) model.RouteTable {
	route := func(name string, at netip.AddrPort, kind model.RouteKind, service model.ServiceID) model.Route {
		return model.Route{Name: name, Address: at, Kind: kind, Targets: []model.Target{{Service: service, Weight: 1}}}
	}
	return model.RouteTable{Version: model.Version(rev), Revision: rev, FlowIdle: 15 * time.Second, Routes: []model.Route{
		route("feed", feedAddress, model.RouteIdempotent, "desk"),
		route("order", orderAddress, model.RouteOnce, "desk"),
		route("photo", photoAddress, model.RouteOnce, "claims"),
	}}
}

func registration(n int, domain model.DomainID) model.Registration {
	return model.Registration{
		ID: model.UpstreamID(fmt.Sprintf("desk-%x", n)), Number: model.EndpointNumber(n), Revision: model.Revision(n), Service: "desk",
		Domain: domain, Boot: 1, Slots: 2, Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(n)}), 80),
	}
}

// tagOf returns the tag of the run that a registration names.
func tagOf(reg model.Registration) model.RoutingTag {
	r := roster.New(roster.Config{})
	r.Add(0, []model.Registration{reg}, 0)
	return r.Get(reg.ID).Tag
}

// threeUpstreams returns the registrations of three upstreams of the service "desk" in two failure domains.
func threeUpstreams() []model.Registration {
	return []model.Registration{registration(1, "east"), registration(2, "east"), registration(3, "west")}
}

func (h *harness) sync(items ...model.Registration) {
	h.engine.Roster().Sync(h.now, model.Listing[model.Registration]{Items: items})
}

func (h *harness) advance(d time.Duration) []direct.Action {
	var out []direct.Action
	for end := h.now.Add(d); h.now < end; {
		h.now = h.now.Add(5 * time.Millisecond)
		out = append(out, h.engine.Tick(h.now)...)
	}
	return out
}

func flowKey(port uint16, to netip.AddrPort) model.FlowKey {
	return model.FlowKey{Caller: netip.AddrPortFrom(netip.MustParseAddr("100.64.0.7"), port), Service: to}
}

// send passes a packet to the engine and returns the only action apart from probes.
func (h *harness) send(seg model.Segment) direct.Action {
	h.Helper()
	seg.Raw = []byte{1}
	var out []direct.Action
	for _, a := range h.engine.Packet(h.now, &seg) {
		if a.Verb != model.VerbProbe {
			out = append(out, a)
		}
	}
	h.Equal(len(out), 1)
	return out[0]
}

func (h *harness) syn(port uint16, to netip.AddrPort, retransmission uint32) direct.Action {
	h.Helper()
	return h.send(model.Segment{Flow: flowKey(port, to), Syn: true, Retransmission: retransmission})
}

func (h *harness) data(port uint16, to netip.AddrPort, tag model.RoutingTag) direct.Action {
	h.Helper()
	return h.send(model.Segment{Flow: flowKey(port, to), HasAck: true, Tag: tag, Seq: 1, AckSeq: 1, Size: 100})
}

// advanceProbed advances the clock by d, with the given outcome of each probe that is started, and returns the other actions.
func (h *harness) advanceProbed(d time.Duration, outcome health.Outcome) (out []direct.Action) {
	for end := h.now.Add(d); h.now < end; {
		actions := h.advance(5 * time.Millisecond)
		for len(actions) > 0 {
			a := actions[0]
			actions = actions[1:]
			if a.Verb == model.VerbProbe {
				actions = append(actions, h.engine.FinishProbe(h.now, a.Upstream, outcome)...)
			} else {
				out = append(out, a)
			}
		}
	}
	return out
}

// awaitProbe waits until a probe of an upstream is started.
func (h *harness) awaitProbe(u *roster.Upstream) {
	h.Helper()
	started := false
	for end := h.now.Add(2 * time.Second); !started && h.now < end; {
		started = slices.ContainsFunc(h.advance(5*time.Millisecond), func(a direct.Action) bool { return a.Verb == model.VerbProbe && a.Upstream == u })
	}
	h.True(started)
}

// failProbe fails the next probe of an upstream.
func (h *harness) failProbe(u *roster.Upstream) {
	h.Helper()
	h.awaitProbe(u)
	h.now = h.now.Add(200 * time.Millisecond)
	h.engine.FinishProbe(h.now, u, health.OutcomeFailed)
}

// failProbes fails the probe of an upstream that is running, and the next two.
func (h *harness) failProbes(u *roster.Upstream) {
	h.Helper()
	h.engine.FinishProbe(h.now, u, health.OutcomeFailed)
	for range 2 {
		started := slices.ContainsFunc(h.advance(200*time.Millisecond), func(a direct.Action) bool { return a.Verb == model.VerbProbe && a.Upstream == u })
		h.True(started)
		h.engine.FinishProbe(h.now, u, health.OutcomeFailed)
	}
}

// checkForwarded checks that packets of flows of an upstream, idempotent or not, go to it.
func (h *harness) checkForwarded(u *roster.Upstream) {
	h.Helper()
	for n, to := range []netip.AddrPort{feedAddress, orderAddress} {
		a := h.data(uint16(1+n), to, u.Tag)
		h.Equal(a.Verb, model.VerbForward)
		h.Equal(a.Upstream, u)
	}
}

// checkEnded checks that packets of flows of an upstream, idempotent or not, are answered with a reset.
func (h *harness) checkEnded(u *roster.Upstream) {
	h.Helper()
	for _, to := range []netip.AddrPort{feedAddress, orderAddress} {
		a := h.data(1, to, u.Tag)
		h.Equal(a.Verb, model.VerbReset)
		h.Equal(a.Reason, model.ReasonUpstreamGone)
		h.Equal(a.Seq, uint32(1))
	}
}

// makeUnreachable lets a packet to the upstream time out and three probes fail, after which it counts as unreachable.
func (h *harness) makeUnreachable(u *roster.Upstream) {
	h.now = h.now.Add(time.Second)
	u.Health.RecordTimeout(h.now)
	for range 3 {
		u.Health.StartProbe(h.now)
		h.engine.FinishProbe(h.now, u, health.OutcomeFailed)
		h.now = h.now.Add(time.Second)
	}
}

// TestPacket checks single decisions on packets.
func TestPacket(t *testing.T) {
	cases := map[string]func(*harness){
		"a new flow goes to an upstream of its route": func(h *harness) {
			a := h.syn(1, feedAddress, 0)
			h.Equal(a.Verb, model.VerbForward)
			h.Equal(a.Upstream.Service, model.ServiceID("desk"))
		},
		"a flow to an address without a route is reset": func(h *harness) {
			a := h.syn(1, netip.MustParseAddrPort("198.18.9.9:443"), 0)
			h.Equal(a.Verb, model.VerbReset)
			h.Equal(a.Reason, model.ReasonNoRoute)
		},
		"a flow to a service without upstreams is reset": func(h *harness) {
			a := h.syn(1, photoAddress, 0)
			h.Equal(a.Verb, model.VerbReset)
			h.Equal(a.Reason, model.ReasonNoUpstream)
		},
		"a packet of an unknown flow is forwarded by its tag": func(h *harness) {
			up := h.engine.Roster().ByService("desk")[2]
			h.Equal(h.data(1, feedAddress, up.Tag).Upstream, up)
		},
		"a tag of another service is not followed": func(h *harness) {
			up := h.engine.Roster().ByService("desk")[0]
			a := h.data(1, photoAddress, up.Tag)
			h.Equal(a.Verb, model.VerbHold)
			h.Equal(a.Reason, model.ReasonTagUnknown)
			for _, a := range append(h.engine.ReleaseHeld(h.now), h.advance(time.Second)...) {
				h.Equal(a.Verb, model.VerbDrop)
				h.Equal(a.Reason, model.ReasonHeldTooLong)
			}
		},
		"a packet with an unknown tag is held until the registry is confirmed, then its flow is reset": func(h *harness) {
			h.Equal(h.data(1, feedAddress, 12345).Reason, model.ReasonTagUnknown)
			h.now = h.now.Add(200 * time.Millisecond)
			h.Equal(h.data(1, feedAddress, 12345).Reason, model.ReasonTagUnknown)
			h.engine.Roster().Confirm(h.now, h.now)
			h.now = h.now.Add(400 * time.Millisecond)
			a := h.data(1, feedAddress, 12345)
			h.Equal(a.Verb, model.VerbReset)
			h.Equal(a.Reason, model.ReasonUpstreamGone)
			h.Equal(h.data(2, feedAddress, 777).Verb, model.VerbHold)
		},
		"a packet with an unknown tag is held and dropped while the registry is known for less than the life of a flow": func(h *harness) {
			h.engine.Roster().ExtendGrace(h.now.Add(-30 * time.Second))
			h.Equal(h.data(1, feedAddress, 12345).Reason, model.ReasonTagUnknown)
			h.now = h.now.Add(200 * time.Millisecond)
			h.engine.Roster().Confirm(h.now, h.now)
			h.Equal(h.data(1, feedAddress, 12345).Verb, model.VerbHold)
			for _, a := range append(h.engine.ReleaseHeld(h.now), h.advance(time.Second)...) {
				h.Equal(a.Verb, model.VerbDrop)
			}
		},
		"an open flow stays at its upstream while the upstream drains": func(h *harness) {
			up := h.engine.Roster().ByService("desk")[0]
			leaving := registration(1, "east")
			leaving.Draining, leaving.Revision = true, 9
			h.sync(leaving, registration(2, "east"), registration(3, "west"))
			h.Equal(h.data(1, feedAddress, up.Tag).Upstream, up)
			for port := uint16(10); port < 60; port++ {
				h.True(h.syn(port, feedAddress, 0).Upstream != up)
			}
		},
		"a failure domain that is taken out of service keeps its open flows and gets no new ones": func(h *harness) {
			up := h.engine.Roster().ByService("desk")[0]
			h.engine.Roster().SetOut(h.now, []model.DomainID{"east"}, 0)
			h.Equal(h.data(1, feedAddress, up.Tag).Upstream, up)
			for port := uint16(10); port < 60; port++ {
				h.Equal(h.syn(port, feedAddress, 0).Upstream.Domain, model.DomainID("west"))
			}
		},
		"a flow of an upstream that is gone from the registry stays while the upstream answers probes": func(h *harness) {
			up := h.engine.Roster().ByService("desk")[0]
			h.sync(threeUpstreams()[1:]...)
			h.checkForwarded(up)
			h.engine.FinishProbe(h.now, up, health.OutcomeAnswered)
			for range 10 {
				h.advance(time.Second)
				h.checkForwarded(up)
			}
			for port := uint16(10); port < 60; port++ {
				h.True(h.syn(port, feedAddress, 0).Upstream != up)
			}
		},
		"a flow of an upstream that is gone from the registry and does not answer probes is reset": func(h *harness) {
			up := h.engine.Roster().ByService("desk")[0]
			h.sync(threeUpstreams()[1:]...)
			h.checkForwarded(up)
			h.failProbes(up)
			h.checkEnded(up)
		},
		"a flow of an upstream that is gone from the registry stays after the upstream answers probes again": func(h *harness) {
			up := h.engine.Roster().ByService("desk")[0]
			h.sync(threeUpstreams()[1:]...)
			h.checkForwarded(up)
			h.failProbes(up)
			h.advance(10 * time.Second)
			h.checkForwarded(up)
			h.engine.FinishProbe(h.now, up, health.OutcomeAnswered)
			h.advance(time.Second)
			h.checkForwarded(up)
		},
		"a flow of an upstream that was replaced under its ID at another address is reset": func(h *harness) {
			up := h.engine.Roster().ByService("desk")[0]
			next := registration(1, "east")
			next.Boot, next.Revision, next.Address = 2, 9, netip.MustParseAddrPort("10.0.0.9:80")
			h.sync(append(threeUpstreams()[1:], next)...)
			h.checkEnded(up)
		},
		"a flow that may have been opened after the restart of its upstream, before the registry lists it, is left to the upstream": func(h *harness) {
			up := h.engine.Roster().ByService("desk")[0]
			next := registration(1, "east")
			next.Boot, next.Revision = 2, 9
			h.sync(append(threeUpstreams()[1:], next)...)
			h.checkForwarded(up)
			for port := uint16(10); port < 60; port++ {
				h.True(h.syn(port, feedAddress, 0).Upstream != up)
			}
			h.engine.FinishProbe(h.now, up, health.OutcomeAnswered)
			for range 10 {
				h.advance(time.Second)
				h.checkForwarded(up)
			}
		},
		"a flow of an upstream that has restarted at its address and does not answer probes is reset": func(h *harness) {
			up := h.engine.Roster().ByService("desk")[0]
			next := registration(1, "east")
			next.Boot, next.Revision = 2, 9
			h.sync(append(threeUpstreams()[1:], next)...)
			h.checkForwarded(up)
			h.failProbes(up)
			h.checkEnded(up)
		},
		"a flow of an upstream that has restarted at its address, and then at another, is reset": func(h *harness) {
			up := h.engine.Roster().ByService("desk")[0]
			for boot := model.BootID(2); boot < 4; boot++ {
				next := registration(1, "east")
				next.Boot, next.Revision = boot, model.Revision(10*boot)
				if boot == 3 {
					next.Address = netip.MustParseAddrPort("10.0.0.9:80")
				}
				h.sync(append(threeUpstreams()[1:], next)...)
			}
			h.checkEnded(up)
		},
		"a flow of an upstream that has restarted at its address, which a later one uses, is reset": func(h *harness) {
			up := h.engine.Roster().ByService("desk")[0]
			next, other := registration(1, "east"), registration(4, "east")
			next.Boot, next.Revision = 2, 9
			h.sync(append(threeUpstreams()[1:], next)...)
			other.Boot, other.Revision, other.Address = 3, 12, up.Address
			h.sync(append(threeUpstreams()[1:], next, other)...)
			h.checkEnded(up)
		},
		"a flow of an upstream whose address a later one uses is reset": func(h *harness) {
			up := h.engine.Roster().ByService("desk")[0]
			next := registration(4, "east")
			next.Boot, next.Revision, next.Address = 2, 9, up.Address
			h.sync(append(threeUpstreams(), next)...)
			h.checkEnded(up)
		},
		"a flow of an upstream stays when a late heartbeat of the run that had its address before, with a faster clock, is listed": func(h *harness) {
			dead, sound := registration(4, "east"), registration(5, "east")
			dead.Boot, sound.Address = 9, dead.Address
			h.sync(append(threeUpstreams(), dead)...)
			h.sync(append(threeUpstreams(), dead, sound)...)
			up := h.engine.Roster().Get(sound.ID)
			dead.Revision = 12
			h.sync(append(threeUpstreams(), dead, sound)...)
			h.checkForwarded(up)
		},
		"a flow of an upstream that was first listed with another at its address is reset once the upstream does not answer probes": func(h *harness) {
			dead, sound := registration(4, "east"), registration(5, "east")
			dead.Boot, dead.Revision, sound.Address = 9, 12, dead.Address
			h.sync(append(threeUpstreams(), dead, sound)...)
			up := h.engine.Roster().ByTag("desk", tagOf(sound))
			h.checkForwarded(up)
			for port := uint16(10); port < 60; port++ {
				h.True(h.syn(port, feedAddress, 0).Upstream != up)
			}
			h.failProbes(up)
			h.checkEnded(up)
		},
		"a flow of a removed route is reset": func(h *harness) {
			up := h.engine.Roster().ByService("desk")[0]
			h.Equal(h.data(1, feedAddress, up.Tag).Verb, model.VerbForward)
			h.True(h.engine.SetRoutes(withoutFeed()))
			a := h.data(1, feedAddress, up.Tag)
			h.Equal(a.Verb, model.VerbReset)
			h.Equal(a.Reason, model.ReasonRouteRemoved)
			h.Equal(h.data(1, orderAddress, up.Tag).Verb, model.VerbForward)
		},
		"a flow that this instance knows only since its route was removed is held until the store has confirmed the routes, then reset": func(h *harness) {
			up := h.engine.Roster().ByService("desk")[0]
			h.True(h.engine.SetRoutes(withoutFeed()))
			a := h.data(1, feedAddress, up.Tag)
			h.Equal(a.Verb, model.VerbHold)
			h.Equal(a.Reason, model.ReasonRouteUnknown)
			h.Equal(h.data(1, orderAddress, up.Tag).Verb, model.VerbForward)
			h.now = h.now.Add(50 * time.Millisecond)
			h.engine.Roster().Confirm(h.now, h.now)
			a = h.data(1, feedAddress, up.Tag)
			h.Equal(a.Verb, model.VerbReset)
			h.Equal(a.Reason, model.ReasonRouteRemoved)
			h.Equal(h.data(1, orderAddress, up.Tag).Verb, model.VerbForward)
		},
		"an open flow stays at its upstream when its route changes to another service": func(h *harness) {
			up := h.engine.Roster().ByService("desk")[0]
			next := routeTable(2)
			next.Routes[0].Targets[0].Service = "claims"
			h.True(h.engine.SetRoutes(next))
			h.Equal(h.data(1, feedAddress, up.Tag).Upstream, up)
		},
		"an older configuration is rejected": func(h *harness) {
			h.True(h.engine.SetRoutes(routeTable(7)))
			h.True(!h.engine.SetRoutes(routeTable(6)))
			h.Equal(h.engine.Revision(), model.Revision(7))
		},
		"a SYN retransmitted by the caller goes to another upstream": func(h *harness) {
			first := h.syn(1, feedAddress, 0)
			h.now = h.now.Add(200 * time.Millisecond)
			second := h.syn(1, feedAddress, 1)
			h.True(first.Upstream != second.Upstream)
			h.Equal(second.Reason, model.ReasonCallerRepeats)
		},
		"an unanswered SYN is retried at a second and a third upstream if the probes of those before fail": func(h *harness) {
			seen := map[*roster.Upstream]bool{h.syn(1, feedAddress, 0).Upstream: true}
			for _, a := range h.advanceProbed(300*time.Millisecond, health.OutcomeFailed) {
				if a.Verb == model.VerbForward {
					h.Equal(a.Reason, model.ReasonHandshakeSilent)
					seen[a.Upstream] = true
				}
			}
			h.Equal(len(seen), 3)
		},
		"an answered SYN is not retried": func(h *harness) {
			first := h.syn(1, feedAddress, 0)
			h.now = h.now.Add(7 * time.Millisecond)
			h.data(1, feedAddress, first.Upstream.Tag)
			h.Equal(len(h.advance(time.Second)), 0)
		},
		"a stalled instance counts no timeouts": func(h *harness) {
			first := h.syn(1, feedAddress, 0)
			h.now = h.now.Add(4 * time.Second)
			h.engine.Tick(h.now)
			h.Equal(first.Upstream.Health.Timeouts(), 0)
		},
		"an idempotent flow of an unreachable upstream is reset": func(h *harness) {
			up := h.engine.Roster().ByService("desk")[0]
			h.makeUnreachable(up)
			a := h.data(1, feedAddress, up.Tag)
			h.Equal(a.Verb, model.VerbReset)
			h.Equal(a.Reason, model.ReasonUpstreamUnreachable)
		},
		"an idempotent flow is reset after three failed probes and not after two, whether it has an unanswered request or not": func(h *harness) {
			up := h.syn(1, feedAddress, 0).Upstream
			h.now = h.now.Add(7 * time.Millisecond)
			h.data(1, feedAddress, up.Tag)
			h.now = h.now.Add(time.Millisecond)
			up.Health.RecordTimeout(h.now)
			for range 2 {
				h.Equal(h.data(2, feedAddress, up.Tag).Verb, model.VerbForward)
				h.Equal(h.data(1, feedAddress, up.Tag).Verb, model.VerbForward)
				up.Health.StartProbe(h.now)
				h.engine.FinishProbe(h.now, up, health.OutcomeFailed)
				h.now = h.now.Add(time.Second)
			}
			h.Equal(h.data(2, feedAddress, up.Tag).Verb, model.VerbForward)
			h.Equal(h.data(1, feedAddress, up.Tag).Verb, model.VerbForward)
			h.engine.FinishProbe(h.now, up, health.OutcomeFailed)
			h.Equal(h.data(2, feedAddress, up.Tag).Verb, model.VerbReset)
			h.Equal(h.data(1, feedAddress, up.Tag).Verb, model.VerbReset)
		},
		"an idempotent flow with a timed-out request is reset by the probe that finds its upstream unreachable": func(h *harness) {
			up := h.syn(1, feedAddress, 0).Upstream
			h.now = h.now.Add(7 * time.Millisecond)
			h.data(1, feedAddress, up.Tag)
			h.data(2, feedAddress, up.Tag)
			h.data(3, orderAddress, up.Tag)
			h.now = h.now.Add(200 * time.Millisecond)
			h.data(1, feedAddress, up.Tag)
			h.data(3, orderAddress, up.Tag)
			var out []direct.Action
			for range 3 {
				h.Equal(len(out), 0)
				up.Health.StartProbe(h.now)
				h.now = h.now.Add(100 * time.Millisecond)
				for _, a := range h.engine.FinishProbe(h.now, up, health.OutcomeFailed) {
					if a.Verb != model.VerbProbe {
						out = append(out, a)
					}
				}
			}
			h.Equal(len(out), 1)
			h.Equal(out[0].Verb, model.VerbReset)
			h.Equal(out[0].Flow, flowKey(1, feedAddress))
		},
		"a flow that is not idempotent is not reset, since its unreachable upstream may have run the request": func(h *harness) {
			up := h.engine.Roster().ByService("desk")[0]
			h.makeUnreachable(up)
			h.Equal(h.data(1, orderAddress, up.Tag).Verb, model.VerbForward)
		},
		"an instance that reaches no upstream is isolated until a probe is answered": func(h *harness) {
			h.True(!h.engine.Isolated())
			for _, u := range h.engine.Roster().ByService("desk") {
				h.makeUnreachable(u)
			}
			h.True(h.engine.Isolated())
			h.engine.FinishProbe(h.now, h.engine.Roster().ByService("desk")[0], health.OutcomeAnswered)
			h.True(!h.engine.Isolated())
		},
		"reordered packets count no timeouts": func(h *harness) {
			up := h.syn(1, orderAddress, 0).Upstream
			h.now = h.now.Add(7 * time.Millisecond)
			seg := model.Segment{Flow: flowKey(1, orderAddress), HasAck: true, Tag: up.Tag, Seq: 1300, AckSeq: 1, Size: 1200}
			h.send(seg)
			h.now = h.now.Add(time.Millisecond)
			seg.Seq = 100
			h.send(seg)
			h.Equal(up.Health.Timeouts(), 0)
			h.now = h.now.Add(200 * time.Millisecond)
			h.send(seg)
			h.Equal(up.Health.Timeouts(), 1)
		},
		"a SYN on a reused port opens a new flow": func(h *harness) {
			first := h.syn(1, feedAddress, 0)
			h.now = h.now.Add(7 * time.Millisecond)
			h.data(1, feedAddress, first.Upstream.Tag)
			a := h.send(model.Segment{Flow: flowKey(1, feedAddress), Syn: true, Seq: 1 << 30})
			h.Equal(a.Verb, model.VerbForward)
			h.Equal(a.Reason, model.ReasonNone)
			h.Equal(a.Attempt, 1)
		},
		"a SYN with the sequence number of the open flow is a copy and opens none": func(h *harness) {
			first := h.syn(1, feedAddress, 0)
			h.now = h.now.Add(7 * time.Millisecond)
			h.data(1, feedAddress, first.Upstream.Tag)
			a := h.syn(1, feedAddress, 0)
			h.Equal(a.Verb, model.VerbDrop)
			h.Equal(a.Reason, model.ReasonRepeat)
			h.Equal(h.data(1, feedAddress, 0).Upstream, first.Upstream)
		},
	}
	for name, check := range cases {
		t.Run(name, func(t *testing.T) { check(newHarness(t, threeUpstreams()...)) })
	}
}

// TestLoadReleased checks that the load of an upstream is released however its flow ends.
func TestLoadReleased(t *testing.T) {
	cases := map[string]func(*harness, *roster.Upstream){
		"answer": func(h *harness, up *roster.Upstream) {
			h.send(model.Segment{Flow: flowKey(1, feedAddress), HasAck: true, Tag: up.Tag, Seq: 101, AckSeq: 900})
			h.Equal(up.Load.Running, 0)
			h.send(model.Segment{Flow: flowKey(1, feedAddress), HasAck: true, Tag: up.Tag, Seq: 101, AckSeq: 900, Fin: true})
		},
		"FIN from the caller": func(h *harness, up *roster.Upstream) {
			h.send(model.Segment{Flow: flowKey(1, feedAddress), HasAck: true, Tag: up.Tag, Seq: 101, AckSeq: 1, Fin: true})
		},
		"reset from the caller": func(h *harness, up *roster.Upstream) {
			h.send(model.Segment{Flow: flowKey(1, feedAddress), Reset: true, Tag: up.Tag})
		},
		"idle timeout": func(h *harness, _ *roster.Upstream) {
			h.now = h.now.Add(15 * time.Second)
			h.engine.Tick(h.now)
		},
		"reset to the caller": func(h *harness, up *roster.Upstream) {
			h.makeUnreachable(up)
			h.data(1, feedAddress, up.Tag)
		},
	}
	for name, endFlow := range cases {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t, threeUpstreams()...)
			up := h.syn(1, feedAddress, 0).Upstream
			h.now = h.now.Add(7 * time.Millisecond)
			h.data(1, feedAddress, up.Tag)
			h.Equal(up.Load.Running, 1)
			h.Equal(up.Load.Flows, 1)
			endFlow(h, up)
			h.Equal(up.Load.Running, 0)
			h.Equal(up.Load.Flows, 0)
		})
	}
}
