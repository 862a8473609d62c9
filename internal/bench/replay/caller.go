package replay

import (
	"net/netip"
	"time"

	"hawthorncourse/internal/core/model"
)

// How callers behave, as the platform describes them.
const (
	firstCopy   = 200 * time.Millisecond
	secondCopy  = 600 * time.Millisecond
	openLimit   = 1400 * time.Millisecond
	firstRepeat = 200 * time.Millisecond
	repeatLimit = 1600 * time.Millisecond
	triesLimit  = 3
	// retryPause is a caller's pause before its next try.
	retryPause  = 5 * time.Millisecond
	requestSize = 400
	// callersBegin is when callers begin; instances are ready before.
	callersBegin = 500 * time.Millisecond
)

// request is one request of a caller, over all its tries.
type request struct {
	w      *world
	domain model.DomainID
	asked  model.Instant
	tries  int
	// once is set for requests that run at most once.
	once bool
	// done is set when the request is answered or given up.
	done bool
	// after is called when it is, with the flow that may be used again.
	after func(*try)
	// runs counts how often an upstream worked on it.
	runs int
}

// try is one flow as its caller sees it.
type try struct {
	*request
	key model.FlowKey
	// up is the upstream that the caller's handshake was with; nil before.
	up  *upstream
	tag model.RoutingTag
	// taken is the upstream that has the present request.
	taken *upstream
	// heard is set once the upstream has confirmed the request's data.
	heard    bool
	over     bool
	position uint32
	received uint32
	packet   model.Segment
}

// addUsers lets users of long flows and arrivals of bookings begin.
func (w *world) addUsers(d model.DomainID) {
	for range w.p.Users {
		w.after(callersBegin+w.pause(w.p.Think), func() { w.stream(d, nil) })
	}
	if w.p.Bookings > 0 {
		w.after(callersBegin+w.pause(time.Second/time.Duration(w.p.Bookings)), func() { w.booking(d) })
	}
}

// stream asks once on a long flow, opening one if there is none, and again after a pause.
func (w *world) stream(d model.DomainID, flow *try) {
	if w.over() {
		return
	}
	r := &request{w: w, domain: d, asked: w.now}
	r.after = func(next *try) { w.after(w.pause(w.p.Think), func() { w.stream(d, next) }) }
	w.result.begin(r)
	w.after(w.p.Deadline, r.deadline)
	if flow == nil || flow.over {
		r.open()
		return
	}
	flow.request, flow.taken, flow.heard = r, nil, false
	r.tries++
	flow.ask(firstRepeat)
}

func (w *world) booking(d model.DomainID) {
	if w.over() {
		return
	}
	r := &request{w: w, domain: d, asked: w.now, once: true, after: func(*try) {}}
	w.result.begin(r)
	w.after(w.p.Deadline, r.deadline)
	r.open()
	w.after(w.pause(time.Second/time.Duration(w.p.Bookings)), func() { w.booking(d) })
}

// open begins a try on a new flow.
func (r *request) open() {
	r.tries++
	r.w.callers++
	service := streamAddress
	if r.once {
		service = bookingAddress
	}
	n := r.w.callers
	caller := netip.AddrPortFrom(netip.AddrFrom4([4]byte{100, 64, byte(n >> 16), byte(n >> 8)}), uint16(1024+n&0xff))
	t := &try{request: r, key: model.FlowKey{Caller: caller, Service: service}}
	r.w.result.open[t.key] = t
	t.syn(0)
	r.w.after(firstCopy, func() { t.syn(1) })
	r.w.after(secondCopy, func() { t.syn(2) })
	r.w.after(openLimit, func() {
		if t.up == nil && !t.over {
			t.failed(true)
		}
	})
}

func (t *try) syn(count uint32) {
	if t.up == nil && !t.over {
		t.send(model.Segment{Flow: t.key, Syn: true, Retransmission: count})
	}
}

// send sends a packet through the instance that routers choose now.
func (t *try) send(seg model.Segment) {
	// The engine keeps an opening packet by its bytes, which the model does not look at.
	seg.Raw = []byte{0}
	if t.w.lost() {
		return
	}
	t.w.after(toCaller, func() {
		t.packet = seg
		t.w.router(t).packet(seg, t)
	})
}

// opened takes an upstream's answer to the opening packet.
func (t *try) opened(u *upstream, tag model.RoutingTag) {
	if t.over {
		return
	}
	t.tag = tag
	if t.up != nil {
		return
	}
	t.up = u
	t.position, t.received = 1, 1
	t.ask(firstRepeat)
}

// ask sends the request's data, and again until the upstream has confirmed it.
func (t *try) ask(wait time.Duration) {
	r := t.request
	t.send(model.Segment{Flow: t.key, HasAck: true, Tag: t.tag, Seq: t.position, AckSeq: t.received, Size: requestSize})
	t.w.after(wait, func() {
		if !t.heard && !t.over && !r.done && t.request == r {
			t.ask(min(2*wait, repeatLimit))
		}
	})
}

func (t *try) confirmed() {
	t.heard = true
}

// answered takes the upstream's answer.
func (t *try) answered() {
	if t.over || t.done {
		return
	}
	t.position += requestSize
	t.received += requestSize
	t.send(model.Segment{Flow: t.key, HasAck: true, Fin: t.once, Tag: t.tag, Seq: t.position, AckSeq: t.received})
	if t.once {
		t.close()
	}
	t.finish(true, t)
}

// rejected takes the upstream's word that the request was not run.
func (t *try) rejected() {
	t.failed(true)
}

// wasReset takes a reset.
func (t *try) wasReset() {
	if !t.over {
		t.failed(t.up == nil)
	}
}

// failed ends the try; notRun tells that the request has not run for certain.
func (t *try) failed(notRun bool) {
	if t.over {
		return
	}
	t.close()
	r := t.request
	if r.done {
		return
	}
	if r.tries >= triesLimit || (r.once && !notRun) {
		r.finish(false, nil)
		return
	}
	r.w.after(retryPause, func() {
		if !r.done {
			r.open()
		}
	})
}

func (t *try) close() {
	t.over = true
	delete(t.w.result.open, t.key)
}

func (r *request) deadline() {
	r.finish(false, nil)
}

// finish ends the request.
func (r *request) finish(ok bool, flow *try) {
	if r.done {
		return
	}
	r.done = true
	r.w.result.finished(r, ok, r.w.now.Sub(r.asked))
	if !ok {
		for key, t := range r.w.result.open {
			if t.request == r {
				t.over = true
				delete(r.w.result.open, key)
			}
		}
	}
	r.after(flow)
}
