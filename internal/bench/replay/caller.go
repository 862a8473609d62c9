package replay

import (
	"net/netip"
	"time"

	"hawthorncourse/internal/core/model"
)

// How callers behave, as the platform describes them.
const (
	firstSynRetransmit  = 200 * time.Millisecond
	secondSynRetransmit = 600 * time.Millisecond
	connectTimeout      = 1400 * time.Millisecond
	initialRTO          = 200 * time.Millisecond
	maxRTO              = 1600 * time.Millisecond
	maxAttempts         = 3
	// retryDelay is a caller's pause before its next try.
	retryDelay  = 5 * time.Millisecond
	requestSize = 400
	// loadStart is when callers begin; instances are ready before.
	loadStart = 500 * time.Millisecond
)

// request is one request of a caller, over all its tries.
type request struct {
	sim       *simulation
	domain    model.DomainID
	startedAt model.Instant
	attempts  int
	// atMostOnce is set for requests that run at most once.
	atMostOnce bool
	// done is set when the request is answered or given up.
	done bool
	// onDone is called when it is, with the flow that may be used again.
	onDone func(*callerFlow)
	// executions counts how often an upstream worked on it.
	executions int
}

// callerFlow is one flow as its caller sees it.
type callerFlow struct {
	*request
	key model.FlowKey
	// upstream is the upstream that the caller's handshake was with; nil before.
	upstream *upstream
	tag      model.RoutingTag
	// acceptedBy is the upstream that has the present request.
	acceptedBy *upstream
	// acked is set once the upstream has confirmed the request's data.
	acked         bool
	closed        bool
	seq           uint32
	ackSeq        uint32
	currentPacket model.Segment
}

// startCallers lets users of long flows and arrivals of bookings begin.
func (s *simulation) startCallers(d model.DomainID) {
	for range s.pattern.Users {
		s.after(loadStart+s.randomPause(s.pattern.ThinkTime), func() { s.requestOnLongFlow(d, nil) })
	}
	if s.pattern.BookingRate > 0 {
		s.after(loadStart+s.randomPause(time.Second/time.Duration(s.pattern.BookingRate)), func() { s.requestOnNewFlow(d) })
	}
}

// requestOnLongFlow asks once on a long flow, opening one if there is none, and again after a pause.
func (s *simulation) requestOnLongFlow(d model.DomainID, flow *callerFlow) {
	if s.loadEnded() {
		return
	}
	r := &request{sim: s, domain: d, startedAt: s.now}
	r.onDone = func(next *callerFlow) {
		s.after(s.randomPause(s.pattern.ThinkTime), func() { s.requestOnLongFlow(d, next) })
	}
	s.result.recordStart(r)
	s.after(s.pattern.Deadline, r.handleDeadline)
	if flow == nil || flow.closed {
		r.openFlow()
		return
	}
	flow.request, flow.acceptedBy, flow.acked = r, nil, false
	r.attempts++
	flow.sendRequest(initialRTO)
}

func (s *simulation) requestOnNewFlow(d model.DomainID) {
	if s.loadEnded() {
		return
	}
	r := &request{sim: s, domain: d, startedAt: s.now, atMostOnce: true, onDone: func(*callerFlow) {}}
	s.result.recordStart(r)
	s.after(s.pattern.Deadline, r.handleDeadline)
	r.openFlow()
	s.after(s.randomPause(time.Second/time.Duration(s.pattern.BookingRate)), func() { s.requestOnNewFlow(d) })
}

// openFlow begins a try on a new flow.
func (r *request) openFlow() {
	r.attempts++
	r.sim.flowCount++
	address := streamAddress
	if r.atMostOnce {
		address = bookingAddress
	}
	n := r.sim.flowCount
	caller := netip.AddrPortFrom(netip.AddrFrom4([4]byte{100, 64, byte(n >> 16), byte(n >> 8)}), uint16(1024+n&0xff))
	f := &callerFlow{request: r, key: model.FlowKey{Caller: caller, Service: address}}
	r.sim.result.openFlows[f.key] = f
	f.sendSyn(0)
	r.sim.after(firstSynRetransmit, func() { f.sendSyn(1) })
	r.sim.after(secondSynRetransmit, func() { f.sendSyn(2) })
	r.sim.after(connectTimeout, func() {
		if f.upstream == nil && !f.closed {
			f.fail(true)
		}
	})
}

func (f *callerFlow) sendSyn(retransmission uint32) {
	if f.upstream == nil && !f.closed {
		f.send(model.Segment{Flow: f.key, Syn: true, Retransmission: retransmission})
	}
}

// send sends a packet through the instance that routers choose now.
func (f *callerFlow) send(seg model.Segment) {
	// The engine keeps an opening packet by its bytes, which the model does not look at.
	seg.Raw = []byte{0}
	if f.sim.dropPacket() {
		return
	}
	f.sim.after(callerDelay, func() {
		f.currentPacket = seg
		f.sim.routeFlow(f).handlePacket(seg, f)
	})
}

// handleSynAck takes an upstream's answer to the opening packet.
func (f *callerFlow) handleSynAck(u *upstream, tag model.RoutingTag) {
	if f.closed {
		return
	}
	f.tag = tag
	if f.upstream != nil {
		return
	}
	f.upstream = u
	f.seq, f.ackSeq = 1, 1
	f.sendRequest(initialRTO)
}

// sendRequest sends the request's data, and again until the upstream has confirmed it.
func (f *callerFlow) sendRequest(timeout time.Duration) {
	r := f.request
	f.send(model.Segment{Flow: f.key, HasAck: true, Tag: f.tag, Seq: f.seq, AckSeq: f.ackSeq, Size: requestSize})
	f.sim.after(timeout, func() {
		if !f.acked && !f.closed && !r.done && f.request == r {
			f.sendRequest(min(2*timeout, maxRTO))
		}
	})
}

func (f *callerFlow) handleAck() {
	f.acked = true
}

// handleResponse takes the upstream's answer.
func (f *callerFlow) handleResponse() {
	if f.closed || f.done {
		return
	}
	f.seq += requestSize
	f.ackSeq += requestSize
	f.send(model.Segment{Flow: f.key, HasAck: true, Fin: f.atMostOnce, Tag: f.tag, Seq: f.seq, AckSeq: f.ackSeq})
	if f.atMostOnce {
		f.close()
	}
	f.finish(true, f)
}

// handleRejection takes the upstream's word that the request was not run.
func (f *callerFlow) handleRejection() {
	f.fail(true)
}

// handleReset takes a reset.
func (f *callerFlow) handleReset() {
	if !f.closed {
		f.fail(f.upstream == nil)
	}
}

// fail ends the try; notRun tells that the request has not run for certain.
func (f *callerFlow) fail(notRun bool) {
	if f.closed {
		return
	}
	f.close()
	r := f.request
	if r.done {
		return
	}
	if r.attempts >= maxAttempts || (r.atMostOnce && !notRun) {
		r.finish(false, nil)
		return
	}
	r.sim.after(retryDelay, func() {
		if !r.done {
			r.openFlow()
		}
	})
}

func (f *callerFlow) close() {
	f.closed = true
	delete(f.sim.result.openFlows, f.key)
}

func (r *request) handleDeadline() {
	r.finish(false, nil)
}

// finish ends the request.
func (r *request) finish(ok bool, flow *callerFlow) {
	if r.done {
		return
	}
	r.done = true
	r.sim.result.recordOutcome(r, ok, r.sim.now.Sub(r.startedAt))
	if !ok {
		for key, f := range r.sim.result.openFlows {
			if f.request == r {
				f.closed = true
				delete(r.sim.result.openFlows, key)
			}
		}
	}
	r.onDone(flow)
}
