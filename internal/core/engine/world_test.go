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
	// maxTransit is how long a message to an upstream may be in flight before the network loses it.
	maxTransit = 200 * time.Millisecond
)

var worldTiming = model.Timing{Detection: 2 * time.Second, WarmLease: time.Second, BindingLife: 4 * time.Second, StreamLife: time.Hour}

func addr(host byte, port uint16) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, host}), port)
}

// worldDocument returns a document with two services of three upstreams each in two failure domains.
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

// upstreamSim simulates an upstream, which does not detect repeated requests.
type upstreamSim struct {
	cfg       model.Upstream
	service   netip.AddrPort
	boot      model.BootID
	dead      bool
	deadSince model.Instant
	coldUntil model.Instant
	running   int
}

// instanceSim is one instance with the membership and the document that it knows.
type instanceSim struct {
	self   model.Member
	engine *engine.Engine
	dead   bool
	paused bool
	// membership is the index in world.memberships that it knows; -1 for none.
	membership int
	version    model.Version
	boots      int
}

// message is one datagram in flight.
type message struct {
	to       int
	upstream *upstreamSim
	packet   *model.Packet
	answer   *model.Answer
	reply    *reply
	from     int
	// sent is when a packet to an upstream was sent; the network loses it if it takes longer than maxTransit.
	sent model.Instant
}

// reply is an answer that an instance itself sends to a caller.
type reply struct {
	verb    model.Verb
	packet  *model.Packet
	binding []byte
}

// bookingSim is a booking, a request that must run at most once, as its caller and the upstreams see it.
type bookingSim struct {
	ref     uint64
	binding []byte
	runs    int
	refused bool
}

// world simulates several instances, upstreams and callers; the test controls the delivery of every message.
type world struct {
	t         *rapid.T
	now       model.Instant
	doc       *model.Document
	instances []*instanceSim
	upstreams map[netip.AddrPort]*upstreamSim
	messages  []message
	bookings  map[uint64]*bookingSim
	// memberships holds each state of the membership in order, and membershipSince when it started.
	memberships     [][]model.Member
	membershipSince []model.Instant
	jobs            []job
	boots           uint64
}

// job is a request that an upstream is running.
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
	w.addMembership()
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
	in.membership = -1
}

// addMembership appends the current membership, which the instances learn later.
func (w *world) addMembership() {
	var members []model.Member
	for _, in := range w.instances {
		m := in.self
		if in.dead {
			m.State = model.MemberDead
		}
		members = append(members, m)
	}
	w.memberships = append(w.memberships, members)
	w.membershipSince = append(w.membershipSince, w.now)
}

// applyMemberships passes the last membership to each running instance that has none, whose detection time is over or for which early returns
// true.
func (w *world) applyMemberships(early func(n int) bool) {
	latest := len(w.memberships) - 1
	for n, in := range w.instances {
		if in.dead || in.paused || in.membership == latest {
			continue
		}
		due := in.membership < 0 || w.now.Sub(w.membershipSince[in.membership+1]) >= worldTiming.Detection-step
		if due || early(n) {
			in.membership = latest
			in.engine.SetMembers(w.now, w.memberships[latest], nil)
		}
	}
}

// advance moves the time one step forward for everything that is running.
func (w *world) advance() {
	w.now = w.now.Add(step)
	w.applyMemberships(func(int) bool { return false })
	for n, in := range w.instances {
		if !in.dead && !in.paused {
			w.perform(n, in.engine.Tick(w.now))
		}
	}
	w.completeJobs()
}

func (w *world) completeJobs() {
	var remaining []job
	for _, j := range w.jobs {
		switch {
		case j.up.boot != j.boot || j.up.dead:
		case j.done > w.now:
			remaining = append(remaining, j)
		default:
			j.up.running--
			w.messages = append(w.messages, message{to: j.msg.from, from: -1, answer: &model.Answer{
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
	w.jobs = remaining
}

// perform carries out the actions of an instance.
func (w *world) perform(n int, actions []model.Action) {
	for i := range actions {
		a := actions[i]
		switch a.Verb {
		case model.VerbForward:
			w.forward(n, a)
		case model.VerbHandOff:
			p := *a.Packet
			p.Hops++
			w.messages = append(w.messages, message{to: w.index(a.Peer), from: n, packet: &p})
		case model.VerbChallenge, model.VerbRefuse, model.VerbOutcomeUnknown:
			w.messages = append(w.messages, message{to: -1, reply: &reply{verb: a.Verb, packet: a.Packet, binding: a.Binding}})
			w.recordRefusal(a)
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
		w.t.Fatalf("packet to service %s was forwarded to %s, which is not an upstream of it", a.Packet.Flow.Service, a.Address)
	}
	w.messages = append(w.messages, message{to: -1, upstream: up, from: n, packet: a.Packet, sent: w.now})
}

// recordRefusal records that a booking was refused as not run; it fails the test if the booking did run.
func (w *world) recordRefusal(a model.Action) {
	if a.Verb != model.VerbRefuse || a.Packet.Class != model.ClassOnce || len(a.Packet.Binding) == 0 {
		return
	}
	b := w.bookings[a.Packet.Digest]
	b.refused = true
	if b.runs > 0 {
		w.t.Fatalf("booking %d was refused as not run after it ran", b.ref)
	}
}

// runRequest starts a request at an upstream.
func (w *world) runRequest(m message) {
	up := m.upstream
	if up.dead || w.now.Sub(m.sent) > maxTransit {
		return
	}
	up.running++
	if w.now < up.coldUntil && up.running > up.cfg.ColdSlots {
		w.t.Fatalf("upstream %s runs %d concurrent requests during a cold start", up.cfg.ID, up.running)
	}
	if m.packet.Class == model.ClassOnce {
		w.runBooking(m.packet)
	}
	w.jobs = append(w.jobs, job{up: up, boot: up.boot, done: w.now.Add(workTime), msg: m})
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

// deliver passes one message to its recipient; a dead or paused instance loses it.
func (w *world) deliver(m message) {
	switch {
	case m.upstream != nil:
		w.runRequest(m)
	case m.reply != nil:
		w.receiveReply(m.reply)
	case m.to < 0 || w.instances[m.to].dead || w.instances[m.to].paused:
	case m.packet != nil:
		w.perform(m.to, w.instances[m.to].engine.Packet(w.now, m.packet))
	case m.answer != nil:
		w.perform(m.to, w.instances[m.to].engine.Answer(w.now, m.answer))
	}
}

// receiveReply makes the caller use the first binding that it receives.
func (w *world) receiveReply(r *reply) {
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
