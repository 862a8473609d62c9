package replay

import (
	"net/netip"
	"strconv"
	"time"

	"hawthorncourse/internal/core/model"
)

const (
	// lapse is how long the entry of a silent upstream stays: three heartbeats of 1.2 s.
	lapse = 3600 * time.Millisecond
	// drainFor is how long an upstream that leaves goes on.
	drainFor = 3500 * time.Millisecond
	// coldFor is how long a new upstream is cold, and coldFactor how slow it is meanwhile.
	coldFor    = 2 * time.Second
	coldFactor = 1.6
)

// upstream is one back end.
type upstream struct {
	w     *world
	reg   model.Registration
	speed float64
	// busy is the number of requests in work; at most the pattern's slots.
	busy    int
	waiting []*try
	// flows holds the open flows by caller.
	flows map[model.FlowKey]*try
	// half holds flows whose caller has not confirmed yet.
	half map[model.FlowKey]bool
	// arrivals counts the requests that it took.
	arrivals int
	dead     bool
	draining bool
	listed   bool
	warmAt   model.Instant
}

func (w *world) addUpstream(d model.DomainID, cold time.Duration) {
	n := model.EndpointNumber(len(w.upstreams) + 1)
	speed, err := strconv.ParseFloat(w.p.Speeds[len(w.upstreams)%len(w.p.Speeds)], 64)
	if err != nil {
		speed = 1
	}
	w.revision++
	u := &upstream{
		w:      w,
		speed:  speed,
		flows:  map[model.FlowKey]*try{},
		half:   map[model.FlowKey]bool{},
		listed: true,
		warmAt: w.now.Add(cold),
		reg: model.Registration{
			ID: upstreamID(n), Revision: w.revision, Number: n, Service: serviceID, Domain: d, Boot: 1, Slots: w.p.Slots,
			Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 1, byte(n >> 8), byte(n)}), 8080), ColdFor: cold,
		},
	}
	w.upstreams = append(w.upstreams, u)
	w.numbers[n] = u
}

// die silences the upstream for good.
func (u *upstream) die() {
	u.dead = true
	u.flows, u.half, u.waiting = nil, nil, nil
	u.w.after(lapse, func() {
		u.listed = false
		u.w.changed()
	})
}

// replace begins a cold upstream in the place of this one, which drains and ends.
func (u *upstream) replace() {
	u.w.addUpstream(u.reg.Domain, coldFor)
	u.draining = true
	u.w.revision++
	u.reg.Draining, u.reg.Revision = true, u.w.revision
	u.w.changed()
	u.w.after(drainFor, func() {
		u.dead, u.listed = true, false
		u.w.changed()
	})
}

// hear takes a packet that an instance sent on.
func (u *upstream) hear(seg model.Segment, t *try) {
	if u.dead {
		return
	}
	switch {
	case seg.Syn:
		u.half[seg.Flow] = true
		u.tell(func() { t.opened(u, seg.Tag) })
	case seg.Reset:
		delete(u.flows, seg.Flow)
	case u.flows[seg.Flow] == nil && !u.half[seg.Flow]:
		u.tell(t.wasReset)
	default:
		delete(u.half, seg.Flow)
		u.flows[seg.Flow] = t
		if seg.Size > 0 {
			u.take(t)
		}
		if seg.Fin {
			delete(u.flows, seg.Flow)
		}
	}
}

// take takes a request, or confirms one that it has.
func (u *upstream) take(t *try) {
	u.tell(t.confirmed)
	if t.taken == u {
		return
	}
	t.taken = u
	u.arrivals++
	switch {
	case u.busy < u.w.p.Slots:
		u.work(t)
	case len(u.waiting) < u.w.p.Queue:
		u.waiting = append(u.waiting, t)
	default:
		u.tell(t.rejected)
	}
}

func (u *upstream) work(t *try) {
	u.busy++
	factor := u.speed
	if u.w.now < u.warmAt {
		factor *= coldFactor
	}
	d := time.Duration(float64(u.w.spread(u.w.p.Work)) * factor)
	u.w.result.worked(t)
	u.w.after(d, func() {
		if u.dead {
			return
		}
		u.busy--
		u.tell(t.answered)
		if len(u.waiting) > 0 {
			next := u.waiting[0]
			u.waiting = u.waiting[1:]
			u.work(next)
		}
	})
}

// tell sends a packet to the caller that hears it, past all instances.
func (u *upstream) tell(hear func()) {
	if !u.w.lost() {
		u.w.after(toCaller, hear)
	}
}
