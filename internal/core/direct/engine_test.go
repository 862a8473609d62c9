package direct_test

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"

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

// desk is one engine with two services: "desk" behind feed and order, "claims" behind photo.
type desk struct {
	*is.I
	e   *direct.Engine
	now model.Instant
}

func newDesk(t *testing.T, items ...model.Registration) *desk {
	t.Helper()
	d := &desk{I: is.New(t), e: direct.New(direct.Config{Domain: "east", Seed: 1, Limits: direct.Limits{FlowLife: time.Minute}}), now: model.Instant(time.Minute)}
	d.True(d.e.SetRoutes(table(1)))
	d.list(items...)
	d.e.SetReady(d.now)
	return d
}

func table(rev model.Revision) model.RouteTable {
	route := func(name string, at netip.AddrPort, kind model.RouteKind, service model.ServiceID) model.Route {
		return model.Route{Name: name, Address: at, Kind: kind, Targets: []model.Target{{Service: service, Weight: 1}}}
	}
	return model.RouteTable{Version: model.Version(rev), Revision: rev, FlowIdle: 15 * time.Second, Routes: []model.Route{
		route("feed", feedAddress, model.RouteIdempotent, "desk"),
		route("order", orderAddress, model.RouteOnce, "desk"),
		route("photo", photoAddress, model.RouteOnce, "claims"),
	}}
}

func member(n int, domain model.DomainID) model.Registration {
	return model.Registration{
		ID: model.UpstreamID(fmt.Sprintf("desk-%x", n)), Number: model.EndpointNumber(n), Revision: model.Revision(n), Service: "desk",
		Domain: domain, Boot: 1, Slots: 2, Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(n)}), 80),
	}
}

// three returns three upstreams of the desk in two failure domains.
func three() []model.Registration {
	return []model.Registration{member(1, "east"), member(2, "east"), member(3, "west")}
}

func (d *desk) list(items ...model.Registration) {
	d.e.Roster().Sync(d.now, model.Listing[model.Registration]{Items: items})
}

func (d *desk) wait(t time.Duration) []direct.Action {
	var out []direct.Action
	for end := d.now.Add(t); d.now < end; {
		d.now = d.now.Add(5 * time.Millisecond)
		out = append(out, d.e.Tick(d.now)...)
	}
	return out
}

func flowOf(port uint16, to netip.AddrPort) model.FlowKey {
	return model.FlowKey{Caller: netip.AddrPortFrom(netip.MustParseAddr("100.64.0.7"), port), Service: to}
}

// send gives the engine a packet and returns the only action, probes aside.
func (d *desk) send(seg model.Segment) direct.Action {
	d.Helper()
	seg.Raw = []byte{1}
	var out []direct.Action
	for _, a := range d.e.Packet(d.now, &seg) {
		if a.Verb != model.VerbProbe {
			out = append(out, a)
		}
	}
	d.Equal(len(out), 1)
	return out[0]
}

func (d *desk) syn(port uint16, to netip.AddrPort, copies uint32) direct.Action {
	d.Helper()
	return d.send(model.Segment{Flow: flowOf(port, to), Syn: true, Retransmission: copies})
}

func (d *desk) data(port uint16, to netip.AddrPort, tag model.RoutingTag) direct.Action {
	d.Helper()
	return d.send(model.Segment{Flow: flowOf(port, to), HasAck: true, Tag: tag, Seq: 1, AckSeq: 1, Size: 100})
}

// silence makes an upstream unreachable for certain: packets and three probes go unanswered.
func (d *desk) silence(u *roster.Upstream) {
	d.now = d.now.Add(time.Second)
	u.Health.RecordTimeout(d.now)
	for range 3 {
		u.Health.StartProbe(d.now)
		d.e.FinishProbe(d.now, u, health.OutcomeFailed)
		d.now = d.now.Add(time.Second)
	}
}

// TestPacket checks single decisions on packets.
func TestPacket(t *testing.T) {
	cases := map[string]func(*desk){
		"a new flow goes to an upstream of its route": func(d *desk) {
			a := d.syn(1, feedAddress, 0)
			d.Equal(a.Verb, model.VerbForward)
			d.Equal(a.Upstream.Service, model.ServiceID("desk"))
		},
		"a flow to an address without a route is reset at once": func(d *desk) {
			a := d.syn(1, netip.MustParseAddrPort("198.18.9.9:443"), 0)
			d.Equal(a.Verb, model.VerbReset)
			d.Equal(a.Reason, model.ReasonNoRoute)
		},
		"a flow to a service without upstreams is reset at once": func(d *desk) {
			a := d.syn(1, photoAddress, 0)
			d.Equal(a.Verb, model.VerbReset)
			d.Equal(a.Reason, model.ReasonNoUpstream)
		},
		"a packet follows its tag through an instance that never saw its flow": func(d *desk) {
			up := d.e.Roster().ByService("desk")[2]
			d.Equal(d.data(1, feedAddress, up.Tag).Upstream, up)
		},
		"a tag of another service is never followed": func(d *desk) {
			up := d.e.Roster().ByService("desk")[0]
			a := d.data(1, photoAddress, up.Tag)
			d.Equal(a.Verb, model.VerbDrop)
			d.Equal(a.Reason, model.ReasonTagUnknown)
		},
		"a tag that nobody knows is dropped until the registry is confirmed, then its flow is reset": func(d *desk) {
			d.Equal(d.data(1, feedAddress, 12345).Reason, model.ReasonTagUnknown)
			d.now = d.now.Add(200 * time.Millisecond)
			d.Equal(d.data(1, feedAddress, 12345).Reason, model.ReasonTagUnknown)
			d.e.Roster().Confirm(d.now, d.now)
			d.now = d.now.Add(400 * time.Millisecond)
			a := d.data(1, feedAddress, 12345)
			d.Equal(a.Verb, model.VerbReset)
			d.Equal(a.Reason, model.ReasonUpstreamGone)
			d.Equal(d.data(2, feedAddress, 777).Verb, model.VerbDrop)
		},
		"an open flow stays where it is while its upstream drains": func(d *desk) {
			up := d.e.Roster().ByService("desk")[0]
			leaving := member(1, "east")
			leaving.Draining, leaving.Revision = true, 9
			d.list(leaving, member(2, "east"), member(3, "west"))
			d.Equal(d.data(1, feedAddress, up.Tag).Upstream, up)
			for port := uint16(10); port < 60; port++ {
				d.True(d.syn(port, feedAddress, 0).Upstream != up)
			}
		},
		"an open flow goes on in a failure domain that is taken out, and no new one begins": func(d *desk) {
			up := d.e.Roster().ByService("desk")[0]
			d.e.Roster().SetOut(d.now, []model.DomainID{"east"})
			d.Equal(d.data(1, feedAddress, up.Tag).Upstream, up)
			for port := uint16(10); port < 60; port++ {
				d.Equal(d.syn(port, feedAddress, 0).Upstream.Domain, model.DomainID("west"))
			}
		},
		"the flow of an upstream that has ended is reset": func(d *desk) {
			up := d.e.Roster().ByService("desk")[0]
			d.list(three()[1:]...)
			for _, to := range []netip.AddrPort{feedAddress, orderAddress} {
				a := d.data(1, to, up.Tag)
				d.Equal(a.Verb, model.VerbReset)
				d.Equal(a.Reason, model.ReasonUpstreamGone)
				d.Equal(a.Seq, uint32(1))
			}
		},
		"the flow of a route that is removed is reset": func(d *desk) {
			up := d.e.Roster().ByService("desk")[0]
			next := table(2)
			next.Routes = next.Routes[1:]
			d.True(d.e.SetRoutes(next))
			d.Equal(d.data(1, feedAddress, up.Tag).Reason, model.ReasonRouteRemoved)
			d.Equal(d.data(1, orderAddress, up.Tag).Verb, model.VerbForward)
		},
		"an open flow stays where it is when its route turns to another service": func(d *desk) {
			up := d.e.Roster().ByService("desk")[0]
			next := table(2)
			next.Routes[0].Targets[0].Service = "claims"
			d.True(d.e.SetRoutes(next))
			d.Equal(d.data(1, feedAddress, up.Tag).Upstream, up)
		},
		"an older configuration never returns": func(d *desk) {
			d.True(d.e.SetRoutes(table(7)))
			d.True(!d.e.SetRoutes(table(6)))
			d.Equal(d.e.Revision(), model.Revision(7))
		},
		"a caller's copy of an opening packet tries another upstream": func(d *desk) {
			first := d.syn(1, feedAddress, 0)
			second := d.syn(1, feedAddress, 1)
			d.True(first.Upstream != second.Upstream)
			d.Equal(second.Reason, model.ReasonCallerRepeats)
		},
		"an opening packet without an answer goes to a second and a third upstream": func(d *desk) {
			first := d.syn(1, feedAddress, 0)
			seen := map[*roster.Upstream]bool{first.Upstream: true}
			for _, a := range d.wait(150 * time.Millisecond) {
				if a.Verb == model.VerbForward {
					d.Equal(a.Reason, model.ReasonHandshakeSilent)
					seen[a.Upstream] = true
				}
			}
			d.Equal(len(seen), 3)
		},
		"an opening packet with an answer stays where it is": func(d *desk) {
			first := d.syn(1, feedAddress, 0)
			d.now = d.now.Add(7 * time.Millisecond)
			d.data(1, feedAddress, first.Upstream.Tag)
			d.Equal(len(d.wait(time.Second)), 0)
		},
		"an instance that stood still blames nobody": func(d *desk) {
			first := d.syn(1, feedAddress, 0)
			d.now = d.now.Add(4 * time.Second)
			d.e.Tick(d.now)
			d.Equal(first.Upstream.Health.Timeouts(), 0)
		},
		"an idempotent flow of an unreachable upstream is reset": func(d *desk) {
			up := d.e.Roster().ByService("desk")[0]
			d.silence(up)
			a := d.data(1, feedAddress, up.Tag)
			d.Equal(a.Verb, model.VerbReset)
			d.Equal(a.Reason, model.ReasonUpstreamUnreachable)
		},
		"an idempotent flow is reset after two failed probes only if it waits itself": func(d *desk) {
			up := d.syn(1, feedAddress, 0).Upstream
			d.now = d.now.Add(7 * time.Millisecond)
			d.data(1, feedAddress, up.Tag)
			d.now = d.now.Add(time.Millisecond)
			up.Health.RecordTimeout(d.now)
			for range 2 {
				up.Health.StartProbe(d.now)
				d.e.FinishProbe(d.now, up, health.OutcomeFailed)
				d.now = d.now.Add(time.Second)
			}
			d.Equal(d.data(2, feedAddress, up.Tag).Verb, model.VerbForward)
			d.Equal(d.data(1, feedAddress, up.Tag).Verb, model.VerbReset)
		},
		"a flow that waits is reset as soon as its upstream is found unreachable, without another packet": func(d *desk) {
			up := d.syn(1, feedAddress, 0).Upstream
			d.now = d.now.Add(7 * time.Millisecond)
			d.data(1, feedAddress, up.Tag)
			d.data(2, feedAddress, up.Tag)
			d.data(3, orderAddress, up.Tag)
			d.now = d.now.Add(200 * time.Millisecond)
			d.data(1, feedAddress, up.Tag)
			d.data(3, orderAddress, up.Tag)
			var out []direct.Action
			for range 2 {
				up.Health.StartProbe(d.now)
				d.now = d.now.Add(100 * time.Millisecond)
				for _, a := range d.e.FinishProbe(d.now, up, health.OutcomeFailed) {
					if a.Verb != model.VerbProbe {
						out = append(out, a)
					}
				}
			}
			d.Equal(len(out), 1)
			d.Equal(out[0].Verb, model.VerbReset)
			d.Equal(out[0].Flow, flowOf(1, feedAddress))
		},
		"a flow that runs at most once is left to an unreachable upstream, which may have run it": func(d *desk) {
			up := d.e.Roster().ByService("desk")[0]
			d.silence(up)
			d.Equal(d.data(1, orderAddress, up.Tag).Verb, model.VerbForward)
		},
		"an instance that reaches nobody says so until a probe is answered": func(d *desk) {
			d.True(!d.e.Isolated())
			for _, u := range d.e.Roster().ByService("desk") {
				d.silence(u)
			}
			d.True(d.e.Isolated())
			d.e.FinishProbe(d.now, d.e.Roster().ByService("desk")[0], health.OutcomeAnswered)
			d.True(!d.e.Isolated())
		},
		"packets that overtake each other blame nobody": func(d *desk) {
			up := d.syn(1, orderAddress, 0).Upstream
			d.now = d.now.Add(7 * time.Millisecond)
			seg := model.Segment{Flow: flowOf(1, orderAddress), HasAck: true, Tag: up.Tag, Seq: 1300, AckSeq: 1, Size: 1200}
			d.send(seg)
			d.now = d.now.Add(time.Millisecond)
			seg.Seq = 100
			d.send(seg)
			d.Equal(up.Health.Timeouts(), 0)
			d.now = d.now.Add(200 * time.Millisecond)
			d.send(seg)
			d.Equal(up.Health.Timeouts(), 1)
		},
		"a port that is used again belongs to a new flow": func(d *desk) {
			first := d.syn(1, feedAddress, 0)
			d.now = d.now.Add(7 * time.Millisecond)
			d.data(1, feedAddress, first.Upstream.Tag)
			a := d.syn(1, feedAddress, 0)
			d.Equal(a.Verb, model.VerbForward)
			d.Equal(a.Reason, model.ReasonNone)
			d.Equal(a.Attempt, 1)
		},
	}
	for name, check := range cases {
		t.Run(name, func(t *testing.T) { check(newDesk(t, three()...)) })
	}
}

// TestEarly replays the crowd of callers that meets an instance whose first reads of the platform are under way.
func TestEarly(t *testing.T) {
	d := &desk{I: is.New(t), e: direct.New(direct.Config{Domain: "east", Seed: 1, Limits: direct.Limits{FlowLife: time.Minute}}), now: model.Instant(time.Minute)}
	send := func(port uint16) []direct.Action {
		return d.e.Packet(d.now, &model.Segment{Flow: flowOf(port, feedAddress), Syn: true, Raw: []byte{1}})
	}
	d.Equal(len(send(1)), 0)
	d.now = d.now.Add(100 * time.Millisecond)
	for port := uint16(2); port <= 512; port++ {
		d.Equal(len(send(port)), 0)
	}
	d.Equal(send(513)[0].Reason, model.ReasonNotReady)
	d.now = d.now.Add(101 * time.Millisecond)
	d.True(d.e.SetRoutes(table(1)))
	d.list(three()...)
	placed := d.e.SetReady(d.now)
	d.Equal(len(placed), 511)
	for _, a := range placed {
		d.Equal(a.Verb, model.VerbForward)
		d.True(a.Flow != flowOf(1, feedAddress))
	}
	d.Equal(len(d.e.SetReady(d.now)), 0)
}

// TestLoad checks that what counts against an upstream is taken back, however a flow ends.
func TestLoad(t *testing.T) {
	cases := map[string]func(*desk, *roster.Upstream){
		"by an answer": func(d *desk, up *roster.Upstream) {
			d.send(model.Segment{Flow: flowOf(1, feedAddress), HasAck: true, Tag: up.Tag, Seq: 101, AckSeq: 900})
			d.Equal(up.Load.Running, 0)
			d.send(model.Segment{Flow: flowOf(1, feedAddress), HasAck: true, Tag: up.Tag, Seq: 101, AckSeq: 900, Fin: true})
		},
		"by the caller's end": func(d *desk, up *roster.Upstream) {
			d.send(model.Segment{Flow: flowOf(1, feedAddress), HasAck: true, Tag: up.Tag, Seq: 101, AckSeq: 1, Fin: true})
		},
		"by the caller's abort": func(d *desk, up *roster.Upstream) {
			d.send(model.Segment{Flow: flowOf(1, feedAddress), Reset: true, Tag: up.Tag})
		},
		"by idleness": func(d *desk, _ *roster.Upstream) {
			d.now = d.now.Add(15 * time.Second)
			d.e.Tick(d.now)
		},
		"by a reset": func(d *desk, up *roster.Upstream) {
			d.silence(up)
			d.data(1, feedAddress, up.Tag)
		},
	}
	for name, end := range cases {
		t.Run(name, func(t *testing.T) {
			d := newDesk(t, three()...)
			up := d.syn(1, feedAddress, 0).Upstream
			d.now = d.now.Add(7 * time.Millisecond)
			d.data(1, feedAddress, up.Tag)
			d.Equal(up.Load.Running, 1)
			d.Equal(up.Load.Flows, 1)
			end(d, up)
			d.Equal(up.Load.Running, 0)
			d.Equal(up.Load.Flows, 0)
		})
	}
}
