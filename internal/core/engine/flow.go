package engine

import (
	"slices"
	"time"

	"hawthorncourse/internal/core/model"
	"hawthorncourse/internal/core/queue"
	"hawthorncourse/internal/core/recent"
	"hawthorncourse/internal/core/rendez"
)

const (
	// flowHops lets the home of an opaque flow ask the instance that was its home before, and have the packet back.
	flowHops = model.MaxHops + 2
	// askedHops is what a packet has at least when it comes back to its home.
	askedHops = model.MaxHops + 1
	// proberHops lets the home hand it to the prober of its upstream after that.
	proberHops = flowHops + 1
	// toldLife is how long a peer's word of a flow is kept unused.
	toldLife = 10 * time.Minute
)

// flow is one opaque flow that this instance knows the place of.
type flow struct {
	up *upstream
	// boot is the upstream's start when the flow was placed; zero if it was not known.
	boot model.BootID
}

// flowTable holds the flows that this instance placed or was told of.
type flowTable struct {
	flows *recent.Table[model.FlowKey, flow]
	// told holds what peers said of flows that this instance is or may become the home of.
	told *recent.Table[model.FlowKey, *upstream]
	// copies holds the flows that sit elsewhere than at their default and are yet to be told to peers.
	copies queue.Queue[FlowAssignment]
}

func newFlowTable(limit int) flowTable {
	return flowTable{flows: recent.New[model.FlowKey, flow](limit), told: recent.New[model.FlowKey, *upstream](limit)}
}

// flowPacket decides on an opaque datagram: known flows go on, others go to their home, which places them.
func (e *Engine) flowPacket(now model.Instant, s *service, p *model.Packet) {
	if e.knownFlow(now, s, p) {
		return
	}
	if peer := e.flowPeer(now, p); peer != "" {
		e.hand(p, peer, model.ReasonHome)
		return
	}
	e.placeFlow(now, s, p)
}

// knownFlow relays a packet whose place this instance knows, by itself or by word of a peer; else it reports false.
func (e *Engine) knownFlow(now model.Instant, s *service, p *model.Packet) bool {
	if f := e.flows.flows.Touch(now, p.Flow); f != nil && e.standing(f.up) && f.fresh() {
		e.keptPacket(now, p, f)
		return true
	}
	if up := e.upstreams[p.Upstream]; up != nil && up.service == s && e.standing(up) {
		e.probeFlow(now, p, up)
		return true
	}
	if up := e.flows.told.Touch(now, p.Flow); up != nil && e.standing(*up) {
		e.keepFlow(now, p.Flow, *up)
		e.relay(now, p, *up)
		return true
	}
	return false
}

// flowPeer returns who should have a packet of an unknown flow: its home, or for the home its elder; none for whoever places it.
func (e *Engine) flowPeer(now model.Instant, p *model.Packet) model.InstanceID {
	if home := e.home(p.Flow); home != e.cfg.Self.ID && p.Hops < flowHops {
		return home
	}
	if e.settling(now) && p.Hops < askedHops {
		return e.elder(p.Flow)
	}
	return ""
}

// probeFlow relays a packet of a flow that another instance placed while it was not sure of the upstream.
func (e *Engine) probeFlow(now model.Instant, p *model.Packet, up *upstream) {
	if up.unsure(now, e.doc.Timing.WarmLease) {
		e.relay(now, p, up)
		return
	}
	if now < up.coldUntil {
		if up.coldOpened >= up.cfg.ColdConnections {
			e.drop(p, model.ReasonNoUpstream)
			return
		}
		up.coldOpened++
	}
	e.keepFlow(now, p.Flow, up)
	e.relay(now, p, up)
}

// keptPacket relays a packet of a known flow; one that was placed before the upstream was known to be cold goes to its prober.
func (e *Engine) keptPacket(now model.Instant, p *model.Packet, f *flow) {
	if f.boot != 0 || now >= f.up.coldUntil || f.up.unsure(now, e.doc.Timing.WarmLease) {
		e.relay(now, p, f.up)
		return
	}
	if !e.handProber(p, f.up) {
		e.probeFlow(now, p, f.up)
	}
}

// fresh reports whether the upstream has not restarted since the flow was placed.
func (f *flow) fresh() bool {
	return f.boot == 0 || f.up.boot == 0 || f.boot == f.up.boot
}

// keepFlow remembers where a flow sits.
func (e *Engine) keepFlow(now model.Instant, key model.FlowKey, up *upstream) {
	old := e.flows.flows.Peek(key)
	if old != nil {
		old.up.streams--
	}
	if !e.flows.flows.Put(now, key, flow{up: up, boot: up.boot}) {
		e.note(model.ReasonFlowLimit)
		return
	}
	up.streams++
}

// elder returns the instance that was the flow's home before membership changed, if it was not this one.
func (e *Engine) elder(key model.FlowKey) model.InstanceID {
	first, second := rendez.FirstTwo(rendez.Key(key.Hash()), e.elders)
	if first == e.cfg.Self.ID {
		return second
	}
	return first
}

// settling reports whether flows may still be known at their earlier home only.
func (e *Engine) settling(now model.Instant) bool {
	return e.movedAt != 0 && now.Sub(e.movedAt) < settleFor
}

// placeFlow gives an unknown flow the first upstream in its order that has room.
func (e *Engine) placeFlow(now model.Instant, s *service, p *model.Packet) {
	if !e.met && now < model.Instant(e.doc.Timing.Detection) {
		// Its earlier home may not be known yet; the caller's next packet comes later.
		e.drop(p, model.ReasonNotReady)
		return
	}
	order := defaultOrder(s, p.Flow)
	for n, up := range order {
		if !e.flowRoom(now, up) {
			if n == 0 && e.awaitStart(now, p, up) {
				return
			}
			continue
		}
		e.keepFlow(now, p.Flow, up)
		up.opened.add(now, s.cfg.RefreshInterval)
		if now < up.coldUntil {
			up.coldOpened++
		}
		if n > 0 {
			e.copyFlow(p.Flow, up)
		}
		e.relay(now, p, up)
		return
	}
	e.drop(p, model.ReasonNoUpstream)
}

// awaitStart lets a packet wait for word of when the flow's default upstream started, if this instance cannot tell: the
// flow may sit there since long before, with an earlier home that has left.
func (e *Engine) awaitStart(now model.Instant, p *model.Packet, up *upstream) bool {
	if !up.guessed || now >= up.coldUntil || !e.settling(now) || up.closed() {
		return false
	}
	if e.handProber(p, up) {
		return true
	}
	e.park(p, up)
	return true
}

// flowRoom reports whether this instance may place one more flow at the upstream.
func (e *Engine) flowRoom(now model.Instant, up *upstream) bool {
	lease := e.doc.Timing.WarmLease
	if up.closed() || up.share == nil || now < up.pauseUntil {
		return false
	}
	if now < up.coldUntil {
		return up.share.IsPrimary(now) && !up.unsure(now, lease) && up.coldOpened < up.cfg.ColdConnections
	}
	instances := max(len(e.homes), 1)
	open := max(up.reported, up.streams*instances)
	return (up.cfg.Connections-open)/instances > up.opened.sum(now, up.service.cfg.RefreshInterval)
}

// flowAnswer relays a datagram of an upstream to the flow's caller.
func (e *Engine) flowAnswer(now model.Instant, a *model.Answer, up *upstream) {
	f := e.flows.flows.Touch(now, a.Flow)
	if f != nil && f.up != up {
		e.lose(a, model.ReasonAnswerUnexpected)
		return
	}
	if f != nil && f.boot == 0 {
		f.boot = up.boot
	}
	e.emit(model.Action{Verb: model.VerbDeliver, Answer: a, Raw: a.Raw})
}

// defaultOrder ranks the upstreams that take new flows; every instance finds the same order.
func defaultOrder(s *service, key model.FlowKey) []*upstream {
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
		if a.score > b.score {
			return -1
		}
		return 1
	})
	order := make([]*upstream, 0, len(all))
	for _, r := range all {
		order = append(order, r.up)
	}
	return order
}

// homePair returns the flow's home and the instance that would be its home without it.
func (e *Engine) homePair(key model.FlowKey) (first, second model.InstanceID) {
	return rendez.FirstTwo(rendez.Key(key.Hash()), e.homes)
}

func (e *Engine) expireFlows(now model.Instant) {
	e.flows.flows.Expire(now, streamLives*e.refreshInterval(), func(_ model.FlowKey, f *flow) {
		f.up.streams--
	})
	e.flows.told.Expire(now, toldLife, func(model.FlowKey, **upstream) {})
}
