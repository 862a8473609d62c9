package direct

import (
	"time"

	"hawthorncourse/internal/core/model"
)

const (
	// unroutedLimit bounds the flows without a route that are remembered; packets of further ones are dropped.
	unroutedLimit = 1024
	// unroutedTTL is how long such a flow is remembered after its last packet: callers retransmit at intervals of up to 1.6 s.
	unroutedTTL = 3 * time.Second
)

// handleUnrouted handles a packet of an open flow whose address has no route. Another instance may have opened the flow by a configuration that
// this one has not received yet, so the packet is held at first. The flow is reset once it is certain that a configuration has dropped its route:
// this instance knows the flow from when it had one, or the store has confirmed the routes since the first packet without one. While a route could not be
// read, it is not certain.
func (e *Engine) handleUnrouted(now model.Instant, seg *model.Segment) {
	f := e.flows.Peek(seg.Flow)
	if f != nil && (seg.Tag == 0 || names(seg, f.up)) {
		e.terminate(seg, f, nil, model.ReasonRouteRemoved)
		return
	}
	if e.table.Partial {
		// The address may have a route that could not be read.
		e.hold(now, seg, model.ReasonRouteUnknown)
		return
	}
	since := e.unrouted.Touch(now, seg.Flow)
	switch {
	case since != nil && e.roster.Confirmed(*since):
		e.terminate(seg, f, nil, model.ReasonRouteRemoved)
	case since != nil || e.unrouted.Put(now, seg.Flow, now):
		e.hold(now, seg, model.ReasonRouteUnknown)
	default:
		e.drop(seg, nil, model.ReasonRouteUnknown)
	}
}

// waitsForRoute reports whether the address of a held packet may have a route that this instance does not know yet.
func (e *Engine) waitsForRoute(seg *model.Segment) bool {
	since := e.unrouted.Peek(seg.Flow)
	return e.table.Partial || since != nil && !e.roster.Confirmed(*since)
}
