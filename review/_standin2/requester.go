package main

import (
	"errors"
	"fmt"
	"net"
	"net/netip"
	"sync"
	"time"

	"hawthorncourse/internal/core/model"
	"hawthorncourse/platform"
)

var (
	errNotOpened = errors.New("the flow never opened")
	errReset     = errors.New("the flow was reset")
	errDeadline  = errors.New("no answer before the deadline")
)

// requester is a stand-in for the requesters of one zone. It has one address; each flow has its own port, which stands in the packets.
type requester struct {
	w    *world
	zone int
	conn *net.UDPConn
	addr netip.Addr
	line *delayLine

	mu     sync.Mutex
	port   uint16
	flows  map[netip.AddrPort]*flow
	broken int
	// sentAt is when the first SYN of each flow was sent.
	sentAt map[model.FlowKey]time.Time
	// onReset is called with each reset of an open flow.
	onReset func(f *flow, by netip.Addr)
}

func newRequester(w *world, zone int) (*requester, error) {
	addr := w.addr(groupRequesters, zone+1, dataPort)
	conn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(addr))
	if err != nil {
		return nil, err
	}
	_ = conn.SetReadBuffer(4 << 20)
	r := &requester{w: w, zone: zone, conn: conn, addr: addr.Addr(), line: newDelayLine(w.cfg.clientDelay), port: 20000, flows: map[netip.AddrPort]*flow{}, sentAt: map[model.FlowKey]time.Time{}}
	go r.read()
	return r, nil
}

func (r *requester) countBroken() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.broken++
}

func (r *requester) read() {
	buf := make([]byte, 2048)
	for {
		n, from, err := r.conn.ReadFromUDPAddrPort(buf)
		if err != nil {
			return
		}
		h, data, err := platform.ParseHeader(append([]byte(nil), buf[:n]...))
		if err != nil {
			continue
		}
		ownReset := h.Rst && h.Checksum == 0 && len(data) == 0
		if !ownReset && h.Checksum != checksum(h, data) {
			r.w.rec.say("BROKEN MIXED: a requester got a packet that its sender did not write so")
			r.countBroken()
			continue
		}
		r.mu.Lock()
		f := r.flows[h.To]
		r.mu.Unlock()
		if f != nil && f.key.Service == h.From {
			f.receive(&h, data, from.Addr().Unmap(), ownReset)
		}
	}
}

// flow is one flow of a requester; it carries one request at a time.
type flow struct {
	r   *requester
	key model.FlowKey

	mu   sync.Mutex
	open bool
	// closed is set once the flow has ended at the requester.
	closed bool
	reset  bool
	// endpoint is the address of the endpoint whose SYN+ACK was acknowledged.
	endpoint netip.Addr
	// echo is the last echo received on the flow.
	echo model.RoutingTag
	// seq is the sequence number of the next byte, ack that expected next.
	seq, ack uint32
	// answer is the answer to the present request.
	answer string
	// changed gets a value when a packet has changed the state.
	changed  chan struct{}
	openedAt time.Time
}

func (f *flow) notify() {
	select {
	case f.changed <- struct{}{}:
	default:
	}
}

// receive handles a packet of the flow.
func (f *flow) receive(h *platform.Header, data []byte, from netip.Addr, ownReset bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	defer f.notify()
	if h.Rst {
		if f.closed || f.reset {
			return
		}
		f.reset = true
		if f.open && f.r.onReset != nil {
			f.r.onReset(f, from)
		}
		return
	}
	if f.closed || f.reset {
		return
	}
	// Every packet that is received on the flow sets the echo of the packets that are sent.
	f.echo = h.Tag
	switch {
	case h.Syn && h.Ack && !f.open:
		f.open, f.endpoint, f.openedAt = true, from, time.Now()
		f.seq, f.ack = f.seq+1, h.Seq+1
		f.send(platform.Header{Ack: true}, nil)
	case h.Syn:
		// A SYN+ACK of another endpoint, or a second copy: the flow is open already.
	case len(data) > 0 && h.Seq == f.ack:
		f.ack += uint32(len(data))
		f.answer = string(data)
		f.send(platform.Header{Ack: true}, nil)
	case len(data) > 0:
		f.send(platform.Header{Ack: true}, nil)
	}
}

// send sends a packet through the node that the routers select; f.mu is held.
func (f *flow) send(h platform.Header, data []byte) {
	h.From, h.To, h.Seq = f.key.Caller, f.key.Service, f.seq
	if !h.Syn {
		h.AckSeq, h.Tag = f.ack, f.echo
	}
	raw, r := format(h, data), f.r
	r.line.add(func() {
		if p := r.w.route(f.key, r.zone); p != nil {
			_, _ = r.conn.WriteToUDPAddrPort(raw, r.w.addr(groupRelays, p.index+1, dataPort))
		}
	})
}

// openFlow opens a flow to a service: a SYN, copies after 200 ms and 600 ms, the end after 1.4 s.
func (r *requester) openFlow(service netip.AddrPort) (*flow, error) {
	r.mu.Lock()
	r.port++
	key := model.FlowKey{Caller: netip.AddrPortFrom(r.addr, r.port), Service: service}
	f := &flow{r: r, key: key, changed: make(chan struct{}, 1), seq: uint32(r.port)*2654435761 + 17}
	r.flows[key.Caller] = f
	r.sentAt[key] = time.Now()
	r.mu.Unlock()
	start := time.Now()
	for n, at := range []time.Duration{0, 200 * time.Millisecond, 600 * time.Millisecond, 1400 * time.Millisecond} {
		for time.Since(start) < at {
			if open, reset := f.await(time.Until(start.Add(at))); open {
				return f, nil
			} else if reset {
				f.end()
				return f, errReset
			}
		}
		if n < 3 {
			f.mu.Lock()
			if !f.open && !f.reset {
				f.send(platform.Header{Syn: true, AckSeq: uint32(n)}, nil)
			}
			f.mu.Unlock()
		}
	}
	f.end()
	return f, errNotOpened
}

// await waits for a packet, at most d, and returns whether the flow is open and whether it was reset.
func (f *flow) await(d time.Duration) (open, reset bool) {
	select {
	case <-f.changed:
	case <-time.After(d):
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.open, f.reset
}

// request sends a request and waits for its answer.
func (f *flow) request(id string, deadline time.Duration) error {
	f.mu.Lock()
	f.answer = ""
	start, wait := time.Now(), minRetransmit
	f.r.w.rec.event("%s sends request %s", f.key.Caller, id)
	f.send(platform.Header{Ack: true}, []byte(id))
	next := start.Add(wait)
	f.mu.Unlock()
	for {
		f.await(time.Until(next))
		f.mu.Lock()
		answer, reset := f.answer, f.reset
		if answer != "" {
			f.seq += uint32(len(id))
		} else if !reset && time.Now().After(next) {
			f.send(platform.Header{Ack: true}, []byte(id))
			wait = min(2*wait, maxRetransmit)
			next = time.Now().Add(wait)
		}
		f.mu.Unlock()
		switch {
		case answer == "done "+id:
			f.r.w.rec.event("%s gets the answer to request %s", f.key.Caller, id)
			return nil
		case answer != "":
			f.r.w.rec.say("BROKEN MIXED: %s got %q for request %s", f.key.Caller, answer, id)
			f.r.countBroken()
			return fmt.Errorf("foreign answer")
		case reset:
			f.r.w.rec.event("%s: request %s ends with a reset", f.key.Caller, id)
			return errReset
		case time.Since(start) > deadline:
			f.r.w.rec.event("%s: request %s has no answer before its deadline", f.key.Caller, id)
			return errDeadline
		}
	}
}

// close closes the flow from the requester's side.
func (f *flow) close() {
	f.mu.Lock()
	if !f.reset && !f.closed {
		f.send(platform.Header{Ack: true, Fin: true}, nil)
	}
	f.mu.Unlock()
	f.end()
}

func (f *flow) end() {
	f.mu.Lock()
	f.closed = true
	f.mu.Unlock()
	f.r.mu.Lock()
	defer f.r.mu.Unlock()
	delete(f.r.flows, f.key.Caller)
}
