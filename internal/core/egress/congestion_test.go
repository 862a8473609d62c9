package egress_test

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"hawthorncourse/internal/core/egress"
	"hawthorncourse/internal/core/model"
)

// The load pattern of a slow link: uploads that need most of it, each with a full window in flight, beside short requests.
const (
	linkMbps       = 2
	uploadsPerS    = 5
	requestsPerS   = 20
	uploadPackets  = 34
	windowPackets  = 16
	retransmitTime = 200 * time.Millisecond
	ackDelay       = 5 * time.Millisecond
	// linkBuffer is how many bytes wait in front of the link before it drops packets.
	linkBuffer = 64 << 10
	loadTime   = 30 * time.Second
	simTick    = time.Millisecond
)

// sender is what an instance does with the packets that it forwards.
type sender interface {
	// forward accepts a packet.
	forward(now model.Instant, p simPacket)
	// tick sends what is due.
	tick(now model.Instant)
}

// simPacket is a packet of an upload (upload is not nil) or of a short request.
type simPacket struct {
	upload *simUpload
	flow   model.FlowKey
	seq    uint32
	size   int
	sentAt model.Instant
}

// simUpload is a caller that uploads with a window and retransmits its first unacknowledged packet.
type simUpload struct {
	flow         model.FlowKey
	acked        [uploadPackets]bool
	next         int
	inFlight     int
	lastProgress model.Instant
	started      model.Instant
}

// simLink is a link that carries linkMbps and drops packets that do not fit into its buffer.
type simLink struct {
	packets []simPacket
	bytes   int
	credit  float64
	dropped int
	deliver func(now model.Instant, p simPacket)
}

func (l *simLink) send(p simPacket) {
	if l.bytes+p.size > linkBuffer {
		l.dropped++
		return
	}
	l.packets, l.bytes = append(l.packets, p), l.bytes+p.size
}

func (l *simLink) tick(now model.Instant) {
	l.credit += linkMbps * 125_000 * simTick.Seconds()
	for len(l.packets) > 0 && l.credit >= float64(l.packets[0].size) {
		p := l.packets[0]
		l.packets, l.bytes, l.credit = l.packets[1:], l.bytes-p.size, l.credit-float64(p.size)
		l.deliver(now, p)
	}
	if len(l.packets) == 0 {
		l.credit = 0
	}
}

// direct forwards each packet at once, as an instance without a scheduler does.
type direct struct{ link *simLink }

func (d direct) forward(_ model.Instant, p simPacket) { d.link.send(p) }
func (d direct) tick(model.Instant)                   {}

// scheduled forwards packets by way of a scheduler.
type scheduled struct {
	link *simLink
	s    *egress.Scheduler[simPacket]
}

func (d scheduled) forward(now model.Instant, p simPacket) {
	switch {
	case d.s.Holds(p.flow, p.seq, p.size):
	case d.s.TrySend(now, p.size):
		d.link.send(p)
	default:
		d.s.Push(egress.Packet[simPacket]{Flow: p.flow, Seq: p.seq, Length: p.size, Size: p.size, Payload: p})
	}
}

func (d scheduled) tick(now model.Instant) {
	for p, ok := d.s.Next(now); ok; p, ok = d.s.Next(now) {
		d.link.send(p.Payload)
	}
}

// outcome is the result of one run of the load pattern.
type outcome struct {
	// requestP99 is the time that a short request takes to pass the instance and its link; lost ones count as the time to the retransmission.
	requestP99 time.Duration
	// uploaded is the number of uploads that were completed, and repeated the number of packets that crossed the link more than once.
	uploaded, repeated int
}

// runLoad plays the load pattern against a sender.
func runLoad(newSender func(*simLink) sender) (out outcome) {
	rng := rand.New(rand.NewPCG(1, 2))
	var delays []time.Duration
	var uploads []*simUpload
	acks := map[model.Instant][]simPacket{}
	link := &simLink{}
	link.deliver = func(now model.Instant, p simPacket) {
		if p.upload == nil {
			delays = append(delays, now.Sub(p.sentAt))
			return
		}
		acks[now.Add(ackDelay)] = append(acks[now.Add(ackDelay)], p)
	}
	in := newSender(link)
	requests := 0
	for now := model.Instant(0); now < model.Instant(loadTime); now = now.Add(simTick) {
		if rng.Float64() < uploadsPerS*simTick.Seconds() {
			uploads = append(uploads, &simUpload{flow: flow(uint16(len(uploads) + 1)), lastProgress: now, started: now})
		}
		if rng.Float64() < requestsPerS*simTick.Seconds() {
			requests++
			in.forward(now, simPacket{flow: flow(uint16(30_000 + requests)), size: 1000, sentAt: now})
		}
		for _, p := range acks[now] {
			if p.upload.acked[p.seq] {
				out.repeated++
				continue
			}
			p.upload.acked[p.seq], p.upload.lastProgress = true, now
			p.upload.inFlight--
		}
		delete(acks, now)
		for _, u := range uploads {
			u.send(now, in)
		}
		in.tick(now)
		link.tick(now)
	}
	for _, u := range uploads {
		if !slices.Contains(u.acked[:], false) {
			out.uploaded++
		}
	}
	for range requests - len(delays) {
		delays = append(delays, retransmitTime)
	}
	slices.Sort(delays)
	out.requestP99 = delays[len(delays)*99/100]
	return out
}

// send sends the packets that the window allows, and the first unacknowledged one again if there was no progress.
func (u *simUpload) send(now model.Instant, in sender) {
	for u.inFlight < windowPackets && u.next < uploadPackets {
		in.forward(now, simPacket{upload: u, flow: u.flow, seq: uint32(u.next), size: fullPacket, sentAt: now})
		u.next++
		u.inFlight++
	}
	if now.Sub(u.lastProgress) < retransmitTime {
		return
	}
	if first := slices.Index(u.acked[:u.next], false); first >= 0 {
		u.lastProgress = now
		in.forward(now, simPacket{upload: u, flow: u.flow, seq: uint32(first), size: fullPacket, sentAt: now})
	}
}

// TestUploadsOnSlowLink plays uploads that need most of a slow link. With the scheduler, short requests pass within 50 ms, an eighth of the users'
// latency objective, and uploads lose nothing; without it, they wait behind the uploads, and retransmissions of queued packets waste the link.
func TestUploadsOnSlowLink(t *testing.T) {
	const maxDelay = 50 * time.Millisecond
	with := runLoad(func(l *simLink) sender { return scheduled{link: l, s: egress.New[simPacket](linkMbps)} })
	without := runLoad(func(l *simLink) sender { return direct{link: l} })
	t.Logf("with the scheduler %+v, without %+v", with, without)
	if with.requestP99 > maxDelay {
		t.Errorf("p99 of short requests is %s with the scheduler, more than %s", with.requestP99, maxDelay)
	}
	if without.requestP99 <= maxDelay {
		t.Errorf("the load pattern is too light: p99 is %s without the scheduler", without.requestP99)
	}
	if with.uploaded < without.uploaded {
		t.Errorf("%d uploads were completed with the scheduler, %d without", with.uploaded, without.uploaded)
	}
}
