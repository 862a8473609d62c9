package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"time"
)

// The requester's timing: copies of the SYN after 200 and 600 ms, given up after 1.4 s; data again after 200 ms, at intervals that double up to 1.6 s.
const (
	synGiveUp = 1400 * time.Millisecond
	deadline  = 2500 * time.Millisecond
)

// requester opens flows from one address, in one zone.
type requester struct {
	w    *world
	zone int
	addr netip.Addr
	conn *net.UDPConn

	mu    sync.Mutex
	port  uint16
	flows map[flowKey]chan received
}

// received is a packet that a requester got, with the address of its sender.
type received struct {
	packet
	from netip.Addr
}

func newRequester(w *world, zone int, addr netip.Addr) *requester {
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(netip.AddrPortFrom(addr, dataPort)))
	must(err)
	r := &requester{w: w, zone: zone, addr: addr, conn: conn, port: 20000, flows: map[flowKey]chan received{}}
	go r.receive()
	return r
}

func (r *requester) receive() {
	buf := make([]byte, 2048)
	for {
		n, from, err := r.conn.ReadFromUDPAddrPort(buf)
		if err != nil {
			return
		}
		p, valid := decode(buf[:n])
		ofSystem := p.has(flagRst) && p.sum == 0 && len(p.data) == 0
		if !valid && !ofSystem {
			r.w.violate("MIXED", "requester got a packet that its sender did not write so, from %s", from)
			continue
		}
		r.mu.Lock()
		inbox := r.flows[flowKey{requester: p.dst, route: p.src}]
		r.mu.Unlock()
		if inbox != nil {
			select {
			case inbox <- received{packet: p, from: from.Addr().Unmap()}:
			default:
			}
		}
	}
}

// flow is a flow of a requester.
type flow struct {
	r        *requester
	key      flowKey
	inbox    chan received
	echo     uint32
	seq, ack uint32
	open     bool
	// second is set once another endpoint has answered the SYN as well.
	second bool
}

// request opens a flow, sends one request and waits for its answer.
func (r *requester) request(route netip.AddrPort) {
	r.mu.Lock()
	r.port++
	if r.port < 20000 {
		r.port = 20000
	}
	f := &flow{r: r, key: flowKey{requester: netip.AddrPortFrom(r.addr, r.port), route: route}, inbox: make(chan received, 64), seq: rand.Uint32()}
	r.flows[f.key] = f.inbox
	r.mu.Unlock()
	defer func() {
		r.mu.Lock()
		delete(r.flows, f.key)
		r.mu.Unlock()
	}()
	id := fmt.Sprintf("q-%s", f.key.requester)
	r.w.sent(id)
	r.w.answered(id, f.exchange(id))
}

// exchange returns how the request ended.
func (f *flow) exchange(id string) string {
	start := time.Now()
	end := start.Add(deadline)
	due := []time.Duration{0, 200 * time.Millisecond, 600 * time.Millisecond, synGiveUp}
	for n := 0; !f.open; n++ {
		if n == 3 {
			return "never opened"
		}
		f.send(&packet{flags: flagSyn, seq: f.seq, ack: uint32(n)})
		for wait := time.Until(start.Add(due[n+1])); wait > 0 && !f.open; wait = time.Until(start.Add(due[n+1])) {
			p, ok := f.next(wait)
			switch {
			case !ok:
			case p.has(flagRst):
				return "refused"
			case p.has(flagSyn) && p.has(flagAck):
				f.open, f.ack, f.seq, f.echo = true, p.seq+1, f.seq+1, p.echo
			}
		}
	}
	f.send(&packet{flags: flagAck, seq: f.seq, ack: f.ack, echo: f.echo})
	for wait := 200 * time.Millisecond; time.Now().Before(end); wait = min(2*wait, 1600*time.Millisecond) {
		f.send(&packet{flags: flagAck, seq: f.seq, ack: f.ack, echo: f.echo, data: []byte(id)})
		for again := time.Now().Add(wait); time.Now().Before(again) && time.Now().Before(end); {
			p, ok := f.next(time.Until(again))
			if !ok {
				continue
			}
			if p.has(flagRst) {
				return f.reset(id, &p)
			}
			if p.has(flagSyn) && p.seq+1 != f.ack && !f.second {
				f.second = true
				f.r.w.note("second answer to the SYN of %s, from %s", id, f.r.w.who(p.from))
			}
			// The last echo that was received on the flow.
			f.echo = p.echo
			if len(p.data) == 0 || p.seq != f.ack {
				continue
			}
			f.seq += uint32(len(id))
			f.ack += uint32(len(p.data))
			f.send(&packet{flags: flagAck | flagFin, seq: f.seq, ack: f.ack, echo: f.echo})
			if string(p.data) != "done "+id {
				f.r.w.violate("MIXED", "%s got %q", id, p.data)
			}
			return "ok"
		}
	}
	return "deadline"
}

// reset judges a reset on a flow that the requester has opened: the flow's endpoint may send one, nobody else while that endpoint lives and holds the flow.
func (f *flow) reset(id string, p *received) string {
	holder := f.r.w.holder(f.key)
	if holder == nil {
		return fmt.Sprintf("reset by %s, open nowhere", p.from)
	}
	if p.from == holder.address.Addr() {
		return "reset by its endpoint"
	}
	f.r.w.violate("FLOW", "%s: the flow is open at %s, which lives; the requester got a reset from %s", id, holder.name(), f.r.w.who(p.from))
	return "reset by another"
}

// next returns the next packet.
func (f *flow) next(wait time.Duration) (received, bool) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case p := <-f.inbox:
		return p, true
	case <-timer.C:
		return received{}, false
	}
}

// send sends a packet through the router of the zone.
func (f *flow) send(p *packet) {
	to, ok := f.r.w.route(f.r.zone, f.key)
	if !ok || f.r.w.lost() {
		return
	}
	p.src, p.dst = f.key.requester, f.key.route
	raw := p.encode()
	time.AfterFunc(requesterDelay, func() { _, _ = f.r.conn.WriteToUDPAddrPort(raw, to) })
}
