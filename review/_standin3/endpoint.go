package main

import (
	"bufio"
	"encoding/binary"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"
)

// The endpoint's retransmissions: after 200 ms, then at intervals that double up to 1.6 s, 8 in all.
const (
	firstResend = 200 * time.Millisecond
	maxResend   = 1600 * time.Millisecond
	resendLimit = 8
)

// endpoint serves flows at a UDP address and status checks at the same TCP address.
type endpoint struct {
	w       *world
	number  uint64
	service string
	zone    string
	address netip.AddrPort
	work    func() time.Duration

	mu       sync.Mutex
	born     time.Time
	coldTill time.Time
	conn     *net.UDPConn
	listener net.Listener
	flows    map[flowKey]*served
	running  int
	busy     bool
	// openings holds when each flow's first SYN arrived, of the present run.
	openings []time.Time
}

// served is a flow at its endpoint.
type served struct {
	seq, recv uint32
	echo      uint32
	open      bool
	ended     bool
	answer    []byte
	acked     bool
	since     time.Time
}

func (e *endpoint) name() string { return fmt.Sprintf("i-%08x", e.number) }

// start opens the sockets and begins a run; cold is the length of its cold start.
func (e *endpoint) start(cold time.Duration) {
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(e.address))
	must(err)
	l, err := net.Listen("tcp4", e.address.String())
	must(err)
	e.mu.Lock()
	e.conn, e.listener, e.flows, e.born, e.running = conn, l, map[flowKey]*served{}, time.Now(), 0
	e.coldTill, e.openings = e.born.Add(cold), nil
	e.mu.Unlock()
	go e.receive(conn)
	go e.serveChecks(l)
}

// crash closes the sockets and forgets all flows.
func (e *endpoint) crash() {
	e.mu.Lock()
	defer e.mu.Unlock()
	_ = e.conn.Close()
	_ = e.listener.Close()
	e.flows = map[flowKey]*served{}
}

// register writes the entry of the present run.
func (e *endpoint) register(state string) {
	e.mu.Lock()
	left := max(time.Until(e.coldTill), 0).Milliseconds()
	spec, err := json.Marshal(map[string]any{
		"service": e.service, "address": e.address.String(), "zone": e.zone, "version": "v1", "slots": 8, "state": state,
		"warmup-left-ms": left, "seq": 1, "born": e.born.UnixMilli(),
	})
	e.mu.Unlock()
	must(err)
	e.w.store.Put("servers", e.name(), spec)
}

func (e *endpoint) receive(conn *net.UDPConn) {
	buf := make([]byte, 2048)
	for {
		n, from, err := conn.ReadFromUDPAddrPort(buf)
		if err != nil {
			return
		}
		if n < 8 || e.w.lost() {
			continue
		}
		if to := binary.BigEndian.Uint64(buf); to != 0 && to != e.number {
			continue
		}
		p, valid := decode(buf[8:n])
		if !valid {
			e.w.violate("UNASKED", "%s got a packet that its sender did not write so, from %s", e.name(), from)
			continue
		}
		e.handle(conn, &p, from.Addr().Unmap())
	}
}

func (e *endpoint) handle(conn *net.UDPConn, p *packet, from netip.Addr) {
	key := flowKey{requester: p.src, route: p.dst}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.conn != conn {
		return
	}
	f := e.flows[key]
	switch {
	case p.has(flagSyn):
		if f == nil {
			f = &served{seq: rand.Uint32(), recv: p.seq + 1}
			e.flows[key] = f
			e.openings = append(e.openings, time.Now())
			f.echo = p.echo
			go e.resend(conn, key, f, func() bool { return !f.open }, func() { e.sendSynAck(conn, key, f) })
		}
		f.echo = p.echo
		if !f.open {
			e.sendSynAck(conn, key, f)
		}
	case p.has(flagRst):
		delete(e.flows, key)
	case f == nil, f.ended && len(p.data) > 0, !f.open && p.ack != f.seq+1:
		// A flow that this endpoint does not hold.
		e.w.note("endpoint %s resets flow %s, which it does not hold; the packet came from %s", e.name(), key.requester, e.w.who(from))
		e.send(conn, key, &packet{flags: flagRst, seq: p.ack, echo: p.echo})
	default:
		e.handleOpen(conn, key, f, p)
	}
}

func (e *endpoint) handleOpen(conn *net.UDPConn, key flowKey, f *served, p *packet) {
	if !f.open {
		f.open, f.since = true, time.Now()
	}
	f.echo = p.echo
	if f.answer != nil && p.ack == f.seq+1+uint32(len(f.answer)) {
		f.acked = true
	}
	switch {
	case len(p.data) > 0 && p.seq == f.recv:
		f.recv += uint32(len(p.data))
		id := string(p.data)
		e.w.ran(id, e.name())
		e.running++
		time.AfterFunc(e.work(), func() { e.respond(conn, key, f, id) })
	case len(p.data) > 0 && f.answer != nil:
		e.sendAnswer(conn, key, f)
	case p.has(flagFin):
		f.ended = true
		e.send(conn, key, &packet{flags: flagAck, seq: f.seq + 1 + uint32(len(f.answer)), ack: p.seq + 1, echo: f.echo})
	}
}

func (e *endpoint) respond(conn *net.UDPConn, key flowKey, f *served, id string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.conn != conn || e.flows[key] != f {
		return
	}
	e.running--
	f.answer = []byte("done " + id)
	e.sendAnswer(conn, key, f)
	go e.resend(conn, key, f, func() bool { return !f.acked && !f.ended }, func() { e.sendAnswer(conn, key, f) })
}

// resend repeats a packet until it is not needed any more.
func (e *endpoint) resend(conn *net.UDPConn, key flowKey, f *served, needed func() bool, send func()) {
	wait := firstResend
	for range resendLimit {
		time.Sleep(wait)
		wait = min(2*wait, maxResend)
		e.mu.Lock()
		if e.conn != conn || e.flows[key] != f || !needed() {
			e.mu.Unlock()
			return
		}
		send()
		e.mu.Unlock()
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.conn == conn && e.flows[key] == f && needed() {
		delete(e.flows, key)
	}
}

func (e *endpoint) sendSynAck(conn *net.UDPConn, key flowKey, f *served) {
	e.send(conn, key, &packet{flags: flagSyn | flagAck, seq: f.seq, ack: f.recv, echo: f.echo})
}

func (e *endpoint) sendAnswer(conn *net.UDPConn, key flowKey, f *served) {
	e.send(conn, key, &packet{flags: flagAck, seq: f.seq + 1, ack: f.recv, echo: f.echo, data: f.answer})
}

// send sends a packet to the requester directly.
func (e *endpoint) send(conn *net.UDPConn, key flowKey, p *packet) {
	if e.w.lost() {
		return
	}
	p.src, p.dst = key.route, key.requester
	raw := p.encode()
	time.AfterFunc(requesterDelay, func() { _, _ = conn.WriteToUDPAddrPort(raw, netip.AddrPortFrom(key.requester.Addr(), dataPort)) })
}

// holds reports whether the flow is open here.
func (e *endpoint) holds(key flowKey) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	f := e.flows[key]
	return f != nil && f.open && !f.ended
}

// serveChecks answers status checks.
func (e *endpoint) serveChecks(l net.Listener) {
	for {
		conn, err := l.Accept()
		if err != nil {
			return
		}
		go func() {
			defer conn.Close()
			for r := bufio.NewReader(conn); ; {
				req, err := http.ReadRequest(r)
				if err != nil {
					return
				}
				_ = req.Body.Close()
				e.mu.Lock()
				load := fmt.Sprintf("%d,%d,8", min(e.running, 8), max(e.running-8, 0))
				e.mu.Unlock()
				_, err = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nX-Instance-Id: %s\r\nX-Server-Load: %s\r\nContent-Length: 2\r\n\r\nok", e.name(), load)
				if err != nil {
					return
				}
			}
		}()
	}
}
