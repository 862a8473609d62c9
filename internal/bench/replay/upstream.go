package replay

import (
	"net/netip"
	"strconv"
	"time"

	"hawthorncourse/internal/core/model"
)

const (
	// heartbeatExpiry is how long the entry of a silent upstream stays: three heartbeats of 1.2 s.
	heartbeatExpiry = 3600 * time.Millisecond
	// drainTime is how long an upstream that leaves goes on.
	drainTime = 3500 * time.Millisecond
	// coldStartTime is how long a new upstream is cold, and coldFactor how slow it is meanwhile.
	coldStartTime = 2 * time.Second
	coldFactor    = 1.6
)

// upstream is one back end.
type upstream struct {
	sim        *simulation
	reg        model.Registration
	timeFactor float64
	// running is the number of requests in work; at most the pattern's slots.
	running int
	queue   []*callerFlow
	// flows holds the open flows by caller.
	flows map[model.FlowKey]*callerFlow
	// halfOpen holds flows whose caller has not confirmed yet.
	halfOpen map[model.FlowKey]bool
	// arrivals counts the requests that it took.
	arrivals   int
	down       bool
	draining   bool
	registered bool
	warmAt     model.Instant
}

func (s *simulation) addUpstream(d model.DomainID, coldFor time.Duration) {
	n := model.EndpointNumber(len(s.upstreams) + 1)
	timeFactor, err := strconv.ParseFloat(s.pattern.TimeFactors[len(s.upstreams)%len(s.pattern.TimeFactors)], 64)
	if err != nil {
		timeFactor = 1
	}
	s.revision++
	u := &upstream{
		sim:        s,
		timeFactor: timeFactor,
		flows:      map[model.FlowKey]*callerFlow{},
		halfOpen:   map[model.FlowKey]bool{},
		registered: true,
		warmAt:     s.now.Add(coldFor),
		reg: model.Registration{
			ID: upstreamID(n), Revision: s.revision, Number: n, Service: serviceID, Domain: d, Boot: 1, Slots: s.pattern.Slots,
			Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 1, byte(n >> 8), byte(n)}), 8080), ColdFor: coldFor,
		},
	}
	s.upstreams = append(s.upstreams, u)
	s.upstreamsByNumber[n] = u
}

// crash silences the upstream for good.
func (u *upstream) crash() {
	u.down = true
	u.flows, u.halfOpen, u.queue = nil, nil, nil
	u.sim.after(heartbeatExpiry, func() {
		u.registered = false
		u.sim.registryChanged()
	})
}

// replace begins a cold upstream in the place of this one, which drains and ends.
func (u *upstream) replace() {
	u.sim.addUpstream(u.reg.Domain, coldStartTime)
	u.draining = true
	u.sim.revision++
	u.reg.Draining, u.reg.Revision = true, u.sim.revision
	u.sim.registryChanged()
	u.sim.after(drainTime, func() {
		u.down, u.registered = true, false
		u.sim.registryChanged()
	})
}

// handlePacket takes a packet that an instance sent on.
func (u *upstream) handlePacket(seg model.Segment, f *callerFlow) {
	if u.down {
		return
	}
	switch {
	case seg.Syn:
		u.halfOpen[seg.Flow] = true
		u.reply(func() { f.handleSynAck(u, seg.Tag) })
	case seg.Reset:
		delete(u.flows, seg.Flow)
	case u.flows[seg.Flow] == nil && !u.halfOpen[seg.Flow]:
		u.reply(f.handleReset)
	default:
		delete(u.halfOpen, seg.Flow)
		u.flows[seg.Flow] = f
		if seg.Size > 0 {
			u.handleRequest(f)
		}
		if seg.Fin {
			delete(u.flows, seg.Flow)
		}
	}
}

// handleRequest takes a request, or confirms one that it has.
func (u *upstream) handleRequest(f *callerFlow) {
	u.reply(f.handleAck)
	if f.acceptedBy == u {
		return
	}
	f.acceptedBy = u
	u.arrivals++
	switch {
	case u.running < u.sim.pattern.Slots:
		u.execute(f)
	case len(u.queue) < u.sim.pattern.QueueLimit:
		u.queue = append(u.queue, f)
	default:
		u.reply(f.handleRejection)
	}
}

func (u *upstream) execute(f *callerFlow) {
	u.running++
	factor := u.timeFactor
	if u.sim.now < u.warmAt {
		factor *= coldFactor
	}
	duration := time.Duration(float64(u.sim.logNormal(u.sim.pattern.RequestTime)) * factor)
	u.sim.result.recordExecution(f)
	u.sim.after(duration, func() {
		if u.down {
			return
		}
		u.running--
		u.reply(f.handleResponse)
		if len(u.queue) > 0 {
			next := u.queue[0]
			u.queue = u.queue[1:]
			u.execute(next)
		}
	})
}

// reply sends a packet to the caller that hears it, past all instances.
func (u *upstream) reply(deliver func()) {
	if !u.sim.dropPacket() {
		u.sim.after(callerDelay, deliver)
	}
}
