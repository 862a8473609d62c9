package engine_test

import (
	"fmt"
	"net/netip"
	"time"

	"pgregory.net/rapid"

	"hawthorncourse/internal/core/bind"
	"hawthorncourse/internal/core/engine"
	"hawthorncourse/internal/core/model"
)

const (
	worldInstances = 4
	worldUpstreams = 3
	step           = 50 * time.Millisecond
	workTime       = 100 * time.Millisecond
	flightTime     = 200 * time.Millisecond
)

var worldTiming = model.Timing{Detection: 2 * time.Second, WarmLease: time.Second, BindingLife: 4 * time.Second, StreamLife: time.Hour}

func addr(host byte, port uint16) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, host}), port)
}

// worldDocument returns two services with three upstreams each in two domains.
func worldDocument(version model.Version) *model.Document {
	doc := &model.Document{
		Version: version,
		Timing:  worldTiming,
		Domains: []model.Domain{{ID: "east"}, {ID: "west"}},
	}
	for s := range 2 {
		svc := model.Service{
			ID:              model.ServiceID(fmt.Sprintf("service-%d", s)),
			Kind:            model.KindCoAP,
			Address:         addr(byte(1+s), 5683),
			RequestTimeout:  time.Second,
			RefreshInterval: 2 * time.Second,
			QueueLimit:      16,
			RetryPercent:    50,
		}
		for u := range worldUpstreams {
			svc.Upstreams = append(svc.Upstreams, model.Upstream{
				ID:              model.UpstreamID(fmt.Sprintf("up-%d-%d", s, u)),
				Domain:          doc.Domains[u%2].ID,
				Address:         addr(byte(10+10*s+u), 7100),
				Slots:           2,
				Connections:     100,
				ColdSlots:       1,
				ColdConnections: 3,
				ColdFor:         time.Second,
			})
		}
		doc.Services = append(doc.Services, svc)
	}
	return doc
}

// upstreamSim is an upstream that recognises no repeat.
type upstreamSim struct {
	cfg       model.Upstream
	service   netip.AddrPort
	boot      model.BootID
	dead      bool
	deadSince model.Instant
	coldUntil model.Instant
	running   int
}

// instanceSim is one instance and what was delivered to it.
type instanceSim struct {
	self   model.Member
	engine *engine.Engine
	dead   bool
	paused bool
	// view is the number of the membership that it knows.
	view    int
	version model.Version
	boots   int
}

// message is one datagram on its way.
type message struct {
	to       int
	upstream *upstreamSim
	packet   *model.Packet
	answer   *model.Answer
	reply    *reply
	from     int
	// sent is when a packet for an upstream left; the network loses what takes longer than flightTime.
	sent model.Instant
}

// reply is what an instance tells a caller by itself.
type reply struct {
	verb    model.Verb
	packet  *model.Packet
	binding []byte
}

// bookingSim is one request that must run at most once.
type bookingSim struct {
	ref     uint64
	binding []byte
	runs    int
	refused bool
}

// world is a few instances, upstreams and callers with every message in the hands of the test.
type world struct {
	t         *rapid.T
	now       model.Instant
	doc       *model.Document
	instances []*instanceSim
	upstreams map[netip.AddrPort]*upstreamSim
	mail      []message
	bookings  map[uint64]*bookingSim
	// views holds each membership, and viewAt when it came to be.
	views  [][]model.Member
	viewAt []model.Instant
	work   []job
	boots  uint64
}

// job is a request that an upstream runs.
type job struct {
	up   *upstreamSim
	boot model.BootID
	done model.Instant
	msg  message
}

func newWorld(t *rapid.T) *world {
	w := &world{t: t, now: model.Instant(time.Second), doc: worldDocument(1), upstreams: map[netip.AddrPort]*upstreamSim{}, bookings: map[uint64]*bookingSim{}, boots: 100}
	for s := range w.doc.Services {
		for _, u := range w.doc.Services[s].Upstreams {
			w.boots++
			w.upstreams[u.Address] = &upstreamSim{cfg: u, service: w.doc.Services[s].Address, boot: model.BootID(w.boots)}
		}
	}
	for n := range worldInstances {
		w.instances = append(w.instances, &instanceSim{self: model.Member{
			ID:     model.InstanceID(fmt.Sprintf("instance-%d", n)),
			Domain: w.doc.Domains[n%2].ID,
			State:  model.MemberAlive,
		}})
	}
	for n := range w.instances {
		w.startInstance(n)
	}
	w.newView()
	return w
}

func (w *world) startInstance(n int) {
	in := w.instances[n]
	w.boots++
	in.boots++
	in.self.Boot = model.BootID(w.boots)
	in.dead, in.paused = false, false
	in.engine = engine.New(engine.Config{Self: in.self, Start: time.Unix(1_700_000_000, 0), Seed: uint64(n), StreamLimit: 1000})
	in.engine.Tick(w.now)
	in.engine.SetKeys(bind.Keys{Version: 1, List: []bind.Key{{Epoch: 1, Secret: [32]byte{1}}}})
	in.engine.SetDocument(w.now, w.doc)
	in.version = w.doc.Version
	in.view = -1
}

// newView makes the membership that the instances will come to know.
func (w *world) newView() {
	var members []model.Member
	for _, in := range w.instances {
		m := in.self
		if in.dead {
			m.State = model.MemberDead
		}
		members = append(members, m)
	}
	w.views = append(w.views, members)
	w.viewAt = append(w.viewAt, w.now)
}

// learnViews tells each instance of memberships no later than the detection time.
func (w *world) learnViews(at func(n int) bool) {
	latest := len(w.views) - 1
	for n, in := range w.instances {
		if in.dead || in.paused || in.view == latest {
			continue
		}
		due := in.view < 0 || w.now.Sub(w.viewAt[in.view+1]) >= worldTiming.Detection-step
		if due || at(n) {
			in.view = latest
			in.engine.SetMembers(w.now, w.views[latest], nil)
		}
	}
}

// advance lets time pass for everything that runs.
func (w *world) advance() {
	w.now = w.now.Add(step)
	w.learnViews(func(int) bool { return false })
	for n, in := range w.instances {
		if !in.dead && !in.paused {
			w.carry(n, in.engine.Tick(w.now))
		}
	}
	w.finishWork()
}

func (w *world) finishWork() {
	var left []job
	for _, j := range w.work {
		switch {
		case j.up.boot != j.boot || j.up.dead:
		case j.done > w.now:
			left = append(left, j)
		default:
			j.up.running--
			w.mail = append(w.mail, message{to: j.msg.from, from: -1, answer: &model.Answer{
				Flow:        j.msg.packet.Flow,
				Token:       j.msg.packet.Token,
				MessageID:   j.msg.packet.MessageID,
				Piggybacked: true,
				Outcome:     model.OutcomeDone,
				From:        j.up.cfg.Address,
				Boot:        j.up.boot,
				Raw:         []byte("done"),
			}})
		}
	}
	w.work = left
}

// carry puts what an instance decided on its way.
func (w *world) carry(n int, actions []model.Action) {
	for i := range actions {
		a := actions[i]
		switch a.Verb {
		case model.VerbForward:
			w.forward(n, a)
		case model.VerbHandOff:
			p := *a.Packet
			p.Hops++
			w.mail = append(w.mail, message{to: w.index(a.Peer), from: n, packet: &p})
		case model.VerbChallenge, model.VerbRefuse, model.VerbOutcomeUnknown:
			w.mail = append(w.mail, message{to: -1, reply: &reply{verb: a.Verb, packet: a.Packet, binding: a.Binding}})
			w.checkRefusal(a)
		}
	}
}

func (w *world) index(id model.InstanceID) int {
	for n, in := range w.instances {
		if in.self.ID == id {
			return n
		}
	}
	return -1
}

func (w *world) forward(n int, a model.Action) {
	up := w.upstreams[a.Address]
	if up == nil || up.service != a.Packet.Flow.Service {
		w.t.Fatalf("packet for %s sent to %s", a.Packet.Flow.Service, a.Address)
	}
	w.mail = append(w.mail, message{to: -1, upstream: up, from: n, packet: a.Packet, sent: w.now})
}

// checkRefusal records that a booking was said not to have run.
func (w *world) checkRefusal(a model.Action) {
	if a.Verb != model.VerbRefuse || a.Packet.Class != model.ClassOnce || len(a.Packet.Binding) == 0 {
		return
	}
	b := w.bookings[a.Packet.Digest]
	b.refused = true
	if b.runs > 0 {
		w.t.Fatalf("booking %d was refused as not run and ran", b.ref)
	}
}

// arrive runs a request at an upstream.
func (w *world) arrive(m message) {
	up := m.upstream
	if up.dead || w.now.Sub(m.sent) > flightTime {
		return
	}
	up.running++
	if w.now < up.coldUntil && up.running > up.cfg.ColdSlots {
		w.t.Fatalf("%s had %d requests at once in cold start", up.cfg.ID, up.running)
	}
	if m.packet.Class == model.ClassOnce {
		w.runBooking(m.packet)
	}
	w.work = append(w.work, job{up: up, boot: up.boot, done: w.now.Add(workTime), msg: m})
}

func (w *world) runBooking(p *model.Packet) {
	b := w.bookings[p.Digest]
	b.runs++
	if b.runs > 1 {
		w.t.Fatalf("booking %d ran %d times", b.ref, b.runs)
	}
	if b.refused {
		w.t.Fatalf("booking %d ran after it was refused as not run", b.ref)
	}
}

// deliver brings one message to where it goes.
func (w *world) deliver(m message) {
	switch {
	case m.upstream != nil:
		w.arrive(m)
	case m.reply != nil:
		w.hear(m.reply)
	case m.to < 0 || w.instances[m.to].dead || w.instances[m.to].paused:
	case m.packet != nil:
		w.carry(m.to, w.instances[m.to].engine.Packet(w.now, m.packet))
	case m.answer != nil:
		w.carry(m.to, w.instances[m.to].engine.Answer(w.now, m.answer))
	}
}

// hear lets a caller follow the first binding that it is given.
func (w *world) hear(r *reply) {
	b := w.bookings[r.packet.Digest]
	if b == nil || r.verb != model.VerbChallenge || b.binding != nil {
		return
	}
	b.binding = r.binding
}

func (w *world) bookingPacket(b *bookingSim) *model.Packet {
	return &model.Packet{
		Flow:      model.FlowKey{Caller: addr(200, uint16(1000+b.ref)), Service: w.doc.Services[b.ref%2].Address},
		Class:     model.ClassOnce,
		Token:     model.NewToken([]byte{byte(b.ref), byte(b.ref >> 8), byte(len(b.binding))}),
		MessageID: uint16(b.ref),
		Binding:   b.binding,
		Digest:    b.ref,
		Raw:       []byte("booking"),
	}
}
