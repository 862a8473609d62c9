package main

import (
	"encoding/binary"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"hawthorncourse/internal/core/model"
	"hawthorncourse/platform"
)

// checksum is the keyed sum over all fields but echo; it stands in for the sum whose key is not disclosed.
func checksum(h platform.Header, data []byte) uint32 {
	h.Checksum, h.Tag = 0, 0
	return uint32(xxhash.Sum64(platform.AppendPacket([]byte("key"), h, data))) | 1
}

func format(h platform.Header, data []byte) []byte {
	h.Checksum = checksum(h, data)
	return platform.AppendPacket(nil, h, data)
}

// The retransmissions of both ends: after 200 ms, the interval doubles up to 1.6 s, and an endpoint gives up after 8.
const (
	minRetransmit       = 200 * time.Millisecond
	maxRetransmit       = 1600 * time.Millisecond
	endpointRetransmits = 8
)

// entryLapse is three intervals of status reports, after which the platform removes the entry of an endpoint that is silent.
const entryLapse = 3600 * time.Millisecond

// opening is a flow that an endpoint took.
type opening struct {
	key model.FlowKey
	// arrived is when the first SYN of the flow arrived.
	arrived time.Time
}

// endpoint is a stand-in for an endpoint. Each packet with data is one request, each answer one packet.
type endpoint struct {
	w      *world
	index  int
	spec   endpointSpec
	number uint64

	mu       sync.Mutex
	line     *delayLine
	conn     *net.UDPConn
	listener net.Listener
	server   *http.Server
	flows    map[model.FlowKey]*endpointFlow
	born     time.Time
	warmAt   time.Time
	draining bool
	seq      int
	// running counts the requests in progress.
	running int
	// openings are the flows that were opened here, in order.
	openings []opening
	// executed counts the runs of each request.
	executed map[string]int
	// entry is the text of the entry as last written.
	entry json.RawMessage
	// misrouted counts the requests that came on a route of another service.
	misrouted int
	// workTime is the duration of a request.
	workTime time.Duration
	// coldLimit, if not zero, is the number of flows that the endpoint bears in one second while it is cold. It falls over under more: all that it holds is lost.
	coldLimit float64
	// answeredSyns counts the flows whose SYN was answered.
	answeredSyns int
	// falls counts how often it fell over.
	falls int
}

// endpointFlow is a flow at its endpoint.
type endpointFlow struct {
	open    bool
	arrived time.Time
	// isn is the sequence number of the SYN+ACK, next that of the next byte to send, recvNext that of the next byte expected.
	isn, next, recvNext uint32
	// echo is the last echo received on the flow.
	echo model.RoutingTag
	// unacked is the last packet with data or SYN that was not acknowledged yet, and unackedEnd the acknowledgement that it waits for.
	unacked    []byte
	unackedSyn bool
	unackedEnd uint32
	// generation tells retransmission timers of earlier packets apart.
	generation int
}

func (e *endpoint) id() string { return fmt.Sprintf("i-%010x", e.number) }
func (e *endpoint) name() string {
	return fmt.Sprintf("%s (%s, %s)", e.id(), e.spec.service, e.w.cfg.zones[e.spec.zone])
}
func (e *endpoint) address() netip.AddrPort { return e.w.addr(groupEndpoints, e.index+1, endpointPort) }

// start starts an incarnation that is cold for coldFor.
func (e *endpoint) start(coldFor time.Duration) error {
	conn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(e.address()))
	if err != nil {
		return err
	}
	_ = conn.SetReadBuffer(4 << 20)
	l, err := net.Listen("tcp", e.address().String())
	if err != nil {
		return err
	}
	e.mu.Lock()
	e.conn, e.listener, e.flows = conn, l, map[model.FlowKey]*endpointFlow{}
	e.born, e.seq, e.running, e.draining = time.Now(), 0, 0, false
	e.warmAt = e.born.Add(coldFor)
	if e.executed == nil {
		e.line = newDelayLine(e.w.cfg.clientDelay)
		e.executed = map[string]int{}
	}
	if e.workTime == 0 {
		e.workTime = 20 * time.Millisecond
	}
	e.server = &http.Server{Handler: http.HandlerFunc(e.health)}
	server := e.server
	e.mu.Unlock()
	go func() { _ = server.Serve(l) }()
	go e.read(conn)
	e.register()
	go e.beat(conn)
	return nil
}

// crash ends the incarnation without a word; its entry stays in the store.
func (e *endpoint) crash() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.conn == nil {
		return
	}
	_ = e.conn.Close()
	_ = e.server.Close()
	e.conn, e.flows = nil, nil
}

// register writes the entry; the store acknowledges it before register returns.
func (e *endpoint) register() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.seq++
	state := "ready"
	if e.draining {
		state = "draining"
	}
	text, _ := json.Marshal(map[string]any{
		"service": e.spec.service, "address": e.address().String(), "zone": e.w.cfg.zones[e.spec.zone], "version": "v1", "slots": 2, "state": state,
		"warmup-left-ms": max(time.Until(e.warmAt), 0).Milliseconds(), "seq": e.seq, "born": e.born.UnixMilli(),
	})
	e.entry = text
	e.w.store.Put("servers", e.id(), text)
}

// rewrite writes the last entry again. It changes nothing unless another writer has changed the entry.
func (e *endpoint) rewrite() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.conn != nil {
		e.w.store.Put("servers", e.id(), e.entry)
	}
}

// beat reports to the store every 1.2 s. Once the endpoint is warm, its reports change nothing but seq, so that the entry stays as it is.
func (e *endpoint) beat(conn *net.UDPConn) {
	for warm := false; ; {
		select {
		case <-time.After(1200 * time.Millisecond):
		case <-e.w.stop:
			return
		}
		e.mu.Lock()
		current, left := e.conn == conn, time.Until(e.warmAt)
		e.mu.Unlock()
		if !current {
			return
		}
		if warm {
			e.rewrite()
			continue
		}
		warm = left <= 0
		e.register()
	}
}

func (e *endpoint) health(rw http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	running, draining := e.running, e.draining
	e.mu.Unlock()
	rw.Header().Set("X-Server-Load", fmt.Sprintf("%d,%d,2", min(running, 2)+1, max(running-2, 0)))
	rw.Header().Set("X-Instance-Id", e.id())
	if draining {
		rw.WriteHeader(http.StatusServiceUnavailable)
	}
}

func (e *endpoint) read(conn *net.UDPConn) {
	buf := make([]byte, 2048)
	for {
		n, from, err := conn.ReadFromUDPAddrPort(buf)
		if err != nil {
			return
		}
		raw := append([]byte(nil), buf[:n]...)
		e.mu.Lock()
		if e.conn == conn {
			e.receive(raw, from.Addr().Unmap())
		}
		e.mu.Unlock()
	}
}

// receive handles a datagram; e.mu is held.
func (e *endpoint) receive(raw []byte, from netip.Addr) {
	if len(raw) < 8 {
		return
	}
	if id := binary.BigEndian.Uint64(raw); id != 0 && id != e.number {
		return
	}
	h, data, err := platform.ParseHeader(raw[8:])
	if err != nil || h.Checksum != checksum(h, data) {
		e.w.rec.say("BROKEN UNASKED: %s got a packet that its sender did not write so", e.name())
		e.w.requesters[0].countBroken()
		return
	}
	key := model.FlowKey{Caller: h.From, Service: h.To}
	f := e.flows[key]
	switch {
	case h.Syn:
		e.receiveSyn(key, f, &h)
	case h.Rst:
		delete(e.flows, key)
	case f == nil || (!f.open && h.AckSeq != f.isn+1):
		// The endpoint does not hold this flow.
		e.w.rec.event("%s gets a packet of %s from %s, which it does not hold, and resets it", e.name(), key.Caller, from)
		e.send(key, platform.Header{Rst: true, Seq: h.AckSeq, Tag: h.Tag}, nil)
	default:
		e.receivePacket(key, f, &h, data)
	}
}

func (e *endpoint) receiveSyn(key model.FlowKey, f *endpointFlow, h *platform.Header) {
	if f != nil && (f.open || f.recvNext != h.Seq+1) {
		f = nil
	}
	if f != nil {
		f.echo = h.Tag
		e.send(key, platform.Header{Syn: true, Ack: true, Tag: f.echo, Seq: f.isn, AckSeq: f.recvNext}, nil)
		return
	}
	isn := uint32(time.Now().UnixNano()/1000)*2654435761 + uint32(e.index)
	f = &endpointFlow{arrived: time.Now(), isn: isn, next: isn + 1, recvNext: h.Seq + 1, echo: h.Tag}
	e.flows[key] = f
	e.answeredSyns++
	f.unackedSyn, f.unackedEnd = true, isn+1
	e.transmit(key, f)
}

// transmit sends what is not acknowledged yet, and again until it is.
func (e *endpoint) transmit(key model.FlowKey, f *endpointFlow) {
	f.generation++
	generation, conn := f.generation, e.conn
	var again func(n int, wait time.Duration)
	again = func(n int, wait time.Duration) {
		if f.unackedSyn {
			e.send(key, platform.Header{Syn: true, Ack: true, Tag: f.echo, Seq: f.isn, AckSeq: f.recvNext}, nil)
		} else {
			e.send(key, platform.Header{Ack: true, Tag: f.echo, Seq: f.next, AckSeq: f.recvNext}, f.unacked)
		}
		if n >= endpointRetransmits {
			return
		}
		time.AfterFunc(wait, func() {
			e.mu.Lock()
			defer e.mu.Unlock()
			if e.conn == conn && e.flows[key] == f && f.generation == generation && (f.unackedSyn || f.unacked != nil) {
				again(n+1, min(2*wait, maxRetransmit))
			}
		})
	}
	again(0, minRetransmit)
}

func (e *endpoint) receivePacket(key model.FlowKey, f *endpointFlow, h *platform.Header, data []byte) {
	f.echo = h.Tag
	if !f.open {
		f.open, f.unackedSyn = true, false
		f.generation++
		e.openings = append(e.openings, opening{key: key, arrived: f.arrived})
		if e.overloaded() {
			e.fallOver()
			return
		}
	}
	if f.unacked != nil && h.AckSeq == f.unackedEnd {
		f.next, f.unacked = f.unackedEnd, nil
		f.generation++
	}
	switch {
	case len(data) > 0 && h.Seq == f.recvNext:
		f.recvNext += uint32(len(data))
		e.run(key, f, string(data))
	case len(data) > 0:
		if f.unacked != nil {
			e.send(key, platform.Header{Ack: true, Tag: f.echo, Seq: f.next, AckSeq: f.recvNext}, f.unacked)
		}
	}
	if h.Fin {
		delete(e.flows, key)
		e.send(key, platform.Header{Ack: true, Fin: true, Tag: f.echo, Seq: f.next, AckSeq: f.recvNext + 1}, nil)
	}
}

// overloaded reports whether the cold endpoint has taken more flows in the last second than it bears.
func (e *endpoint) overloaded() bool {
	if e.coldLimit == 0 || time.Now().After(e.warmAt) {
		return false
	}
	n := 0
	for i := len(e.openings) - 1; i >= 0 && time.Since(e.openings[i].arrived) < time.Second && !e.openings[i].arrived.Before(e.born); i-- {
		n++
	}
	return float64(n) > e.coldLimit
}

// fallOver ends the incarnation; the endpoint stays down. e.mu is held.
func (e *endpoint) fallOver() {
	e.falls++
	e.w.rec.event("%s falls over: it is cold and has taken more than %.0f requests in a second; %d requests in progress are lost", e.name(), e.coldLimit, e.running)
	_ = e.conn.Close()
	_ = e.server.Close()
	e.conn, e.flows = nil, nil
	born := e.born
	time.AfterFunc(entryLapse, func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		if e.born.Equal(born) {
			e.w.store.Remove("servers", e.id())
		}
	})
}

// run runs a request, the data of a packet, and answers it.
func (e *endpoint) run(key model.FlowKey, f *endpointFlow, id string) {
	e.executed[id]++
	e.running++
	if !e.w.allowed(key.Service, e.spec.service) {
		e.misrouted++
		e.w.rec.event("BROKEN ROUTE: %s runs request %s of the route %s", e.name(), id, key.Service)
	}
	conn := e.conn
	e.w.rec.event("%s runs request %s", e.name(), id)
	time.AfterFunc(e.workTime, func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		if e.conn != conn {
			return
		}
		e.running--
		if e.flows[key] != f {
			return
		}
		f.unacked = []byte("done " + id)
		f.unackedEnd = f.next + uint32(len(f.unacked))
		e.transmit(key, f)
	})
}

// send sends a packet to the requester directly; e.mu is held.
func (e *endpoint) send(key model.FlowKey, h platform.Header, data []byte) {
	h.From, h.To = key.Service, key.Caller
	to := netip.AddrPortFrom(key.Caller.Addr(), dataPort)
	if e.conn == nil {
		return
	}
	raw, conn := format(h, data), e.conn
	e.line.add(func() { _, _ = conn.WriteToUDPAddrPort(raw, to) })
}
