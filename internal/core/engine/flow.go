package engine

import (
	"cmp"
	"slices"
	"time"

	"hawthorncourse/internal/core/model"
	"hawthorncourse/internal/core/queue"
	"hawthorncourse/internal/core/recent"
	"hawthorncourse/internal/core/rendez"
)

const (
	// flowMaxHops allows the home of an opaque flow to hand a packet off to the flow's previous home and to get it back.
	flowMaxHops = model.MaxHops + 2
	// flowReturnHops is the minimum hop count of a packet that the previous home has handed back.
	flowReturnHops = model.MaxHops + 1
	// flowPrimaryMaxHops allows the home to hand the packet off to the primary of its upstream after that.
	flowPrimaryMaxHops = flowMaxHops + 1
	// peerAssignmentLife is how long an unused assignment from a peer is kept.
	peerAssignmentLife = 10 * time.Minute
)

// flow is the assignment of one opaque flow.
type flow struct {
	up *upstream
	// boot is the upstream's boot when the flow was placed; zero if it was not known.
	boot model.BootID
}

// flowTable holds the flows that this instance placed or relayed and the assignments exchanged with peers.
type flowTable struct {
	flows *recent.Table[model.FlowKey, flow]
	// peerAssignments holds the assignments that peers sent, of flows of which this instance is or may become the home.
	peerAssignments *recent.Table[model.FlowKey, *upstream]
	// outgoing holds the assignments of displaced flows that have not been sent to peers yet.
	outgoing queue.Queue[FlowAssignment]
}

func newFlowTable(limit int) flowTable {
	return flowTable{flows: recent.New[model.FlowKey, flow](limit), peerAssignments: recent.New[model.FlowKey, *upstream](limit)}
}

// flowPacket handles an opaque datagram. A packet of a known flow is relayed; any other is handed off to the flow's home, which places
// the flow.
func (e *Engine) flowPacket(now model.Instant, s *service, p *model.Packet) {
	if e.relayKnownFlow(now, s, p) {
		return
	}
	if peer := e.nextFlowPeer(now, p); peer != "" {
		e.handOff(p, peer, model.ReasonHome)
		return
	}
	e.placeFlow(now, s, p)
}

// relayKnownFlow relays a packet whose upstream is known from this instance's own table, from the packet itself or from a peer's assignment;
// otherwise it reports false.
func (e *Engine) relayKnownFlow(now model.Instant, s *service, p *model.Packet) bool {
	if f := e.flows.flows.Touch(now, p.Flow); f != nil && e.servesEstablished(f.up) && f.sameBoot() {
		e.relayRecordedFlow(now, p, f)
		return true
	}
	if up := e.upstreams[p.Upstream]; up != nil && up.service == s && e.servesEstablished(up) {
		e.relayRedirectedFlow(now, p, up)
		return true
	}
	if up := e.flows.peerAssignments.Touch(now, p.Flow); up != nil && e.servesEstablished(*up) {
		e.recordFlow(now, p.Flow, *up)
		e.relay(now, p, *up)
		return true
	}
	return false
}

// nextFlowPeer returns the instance that should get a packet of an unknown flow: its home or, if this instance is the home and the topology
// changed recently, its previous home. It returns "" if this instance should place the flow.
func (e *Engine) nextFlowPeer(now model.Instant, p *model.Packet) model.InstanceID {
	if home := e.home(p.Flow); home != e.cfg.Self.ID && p.Hops < flowMaxHops {
		return home
	}
	if e.flowsSettling(now) && p.Hops < flowReturnHops {
		return e.previousHome(p.Flow)
	}
	return ""
}

// relayRedirectedFlow relays, as the upstream's primary, a packet of a flow that was placed while the upstream's boot was unconfirmed or
// unknown. Once the boot is confirmed, the flow counts against the limit of the cold start.
func (e *Engine) relayRedirectedFlow(now model.Instant, p *model.Packet, up *upstream) {
	if up.unconfirmed(now, e.doc.Timing.WarmLease) {
		e.relay(now, p, up)
		return
	}
	if now < up.coldUntil {
		if up.coldStreams >= up.cfg.ColdConnections {
			e.drop(p, model.ReasonNoUpstream)
			return
		}
		up.coldStreams++
	}
	e.recordFlow(now, p.Flow, up)
	e.relay(now, p, up)
}

// relayRecordedFlow relays a packet of a flow in this instance's table. If the flow was placed before the upstream was known to be in a cold
// start, the packet goes to the upstream's primary.
func (e *Engine) relayRecordedFlow(now model.Instant, p *model.Packet, f *flow) {
	if f.boot != 0 || now >= f.up.coldUntil || f.up.unconfirmed(now, e.doc.Timing.WarmLease) {
		e.relay(now, p, f.up)
		return
	}
	if !e.handOffToPrimary(p, f.up) {
		e.relayRedirectedFlow(now, p, f.up)
	}
}

// sameBoot reports whether the upstream has not restarted since the flow was placed, as far as known.
func (f *flow) sameBoot() bool {
	return f.boot == 0 || f.up.boot == 0 || f.boot == f.up.boot
}

// recordFlow stores the upstream of a flow.
func (e *Engine) recordFlow(now model.Instant, key model.FlowKey, up *upstream) {
	old := e.flows.flows.Peek(key)
	if old != nil {
		old.up.streams--
	}
	if !e.flows.flows.Put(now, key, flow{up: up, boot: up.boot}) {
		e.countReason(model.ReasonFlowLimit)
		return
	}
	up.streams++
}

// previousHome returns the instance that most likely was the flow's home before the members changed: the highest ranked among
// homesAndLeaving other than this instance.
func (e *Engine) previousHome(key model.FlowKey) model.InstanceID {
	first, second := rendez.FirstTwo(rendez.Key(key.Hash()), e.homesAndLeaving)
	if first == e.cfg.Self.ID {
		return second
	}
	return first
}

// flowsSettling reports whether the topology changed so recently that only a flow's previous home may hold its assignment.
func (e *Engine) flowsSettling(now model.Instant) bool {
	return e.topologyChangedAt != 0 && now.Sub(e.topologyChangedAt) < flowSettleTime
}

// placeFlow assigns an unknown flow to the first upstream in its upstreamOrder that has room.
func (e *Engine) placeFlow(now model.Instant, s *service, p *model.Packet) {
	if !e.peersContacted && now < model.Instant(e.doc.Timing.Detection) {
		// The flow's previous home may not be known yet. The flow is placed by a later packet.
		e.drop(p, model.ReasonNotReady)
		return
	}
	order := upstreamOrder(s, p.Flow)
	for n, up := range order {
		if !e.hasFlowRoom(now, up) {
			if n == 0 && e.awaitBootTime(now, p, up) {
				return
			}
			continue
		}
		e.recordFlow(now, p.Flow, up)
		up.openedStreams.add(now, s.cfg.RefreshInterval)
		if now < up.coldUntil {
			up.coldStreams++
		}
		if n > 0 {
			e.queueAssignment(p.Flow, up)
		}
		e.relay(now, p, up)
		return
	}
	e.drop(p, model.ReasonNoUpstream)
}

// awaitBootTime delays a packet while it is not known when the flow's first-ranked upstream started: the flow may have been assigned to it
// long before, by a previous home that has left. The packet goes to the upstream's primary or is parked here; false means no delay is needed.
func (e *Engine) awaitBootTime(now model.Instant, p *model.Packet, up *upstream) bool {
	if !up.bootTimeInferred || now >= up.coldUntil || !e.flowsSettling(now) || up.noNewWork() {
		return false
	}
	if e.handOffToPrimary(p, up) {
		return true
	}
	e.park(p, up)
	return true
}

// hasFlowRoom reports whether this instance may assign one more flow to the upstream.
func (e *Engine) hasFlowRoom(now model.Instant, up *upstream) bool {
	lease := e.doc.Timing.WarmLease
	if up.noNewWork() || up.allocation == nil || now < up.pauseUntil {
		return false
	}
	if now < up.coldUntil {
		return up.allocation.IsPrimary(now) && !up.unconfirmed(now, lease) && up.coldStreams < up.cfg.ColdConnections
	}
	instances := max(len(e.homes), 1)
	open := max(up.reportedStreams, up.streams*instances)
	return (up.cfg.Connections-open)/instances > up.openedStreams.sum(now, up.service.cfg.RefreshInterval)
}

// flowAnswer relays a datagram from an upstream to the flow's caller.
func (e *Engine) flowAnswer(now model.Instant, a *model.Answer, up *upstream) {
	f := e.flows.flows.Touch(now, a.Flow)
	if f != nil && f.up != up {
		e.dropAnswer(a, model.ReasonAnswerUnexpected)
		return
	}
	if f != nil && f.boot == 0 {
		f.boot = up.boot
	}
	e.emit(model.Action{Verb: model.VerbDeliver, Answer: a, Raw: a.Raw})
}

// upstreamOrder ranks the upstreams that accept new flows by weighted rendezvous hashing; every instance computes the same order.
func upstreamOrder(s *service, key model.FlowKey) []*upstream {
	type ranked struct {
		up    *upstream
		score float64
	}
	var all []ranked
	for _, up := range s.upstreams {
		if up.out || up.cfg.Leaving {
			continue
		}
		all = append(all, ranked{up: up, score: rendez.WeightedScore(rendez.Key(key.Hash()), string(up.cfg.ID), float64(up.cfg.Connections))})
	}
	slices.SortFunc(all, func(a, b ranked) int {
		return cmp.Or(cmp.Compare(b.score, a.score), cmp.Compare(a.up.cfg.ID, b.up.cfg.ID))
	})
	order := make([]*upstream, 0, len(all))
	for _, r := range all {
		order = append(order, r.up)
	}
	return order
}

// homeAndBackup returns the flow's home and the instance that becomes its home if the first one fails.
func (e *Engine) homeAndBackup(key model.FlowKey) (first, second model.InstanceID) {
	return rendez.FirstTwo(rendez.Key(key.Hash()), e.homes)
}

func (e *Engine) expireFlows(now model.Instant) {
	e.flows.flows.Expire(now, streamLifeIntervals*e.refreshInterval(), func(_ model.FlowKey, f *flow) {
		f.up.streams--
	})
	e.flows.peerAssignments.Expire(now, peerAssignmentLife, func(model.FlowKey, **upstream) {})
}
