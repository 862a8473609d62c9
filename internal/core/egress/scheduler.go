// Package egress schedules the packets that an instance sends over its own link, so that short requests do not wait behind uploads. It does no I/O
// and reads no clock.
//
// It answers this load pattern: a few uploads, each with a full window in flight, need more than a slow link carries. Without a queue of its own,
// an instance fills the queue of the link: handshakes and short requests wait behind bulk data or are lost, callers retransmit what is still
// queued, and unanswered packets look like failed upstreams. A scheduler that sends slightly less than the link carries keeps the queue where it
// can be reordered, and its delay limits the windows of the uploads, which also keeps the receiving direction free.
package egress

import (
	"time"

	"hawthorncourse/internal/core/model"
	"hawthorncourse/internal/core/queue"
)

const (
	// rateShare is the share of the link's speed that is used, so that a queue forms here and not in front of the link.
	rateShare = 0.9
	// bytesPerMbps converts Mbit/s to bytes per second.
	bytesPerMbps = 125_000.0
	// burstTime is how much of the link may be used at once after a pause: pacing each packet by a timer costs processor time.
	burstTime = 10 * time.Millisecond
	// minBurst, in bytes, is about four full packets.
	minBurst = 5000
	// quantum is the number of bytes that a flow may send in its turn: two full packets, which hold most requests.
	quantum = 2500
	// limitTime bounds the queue by the time that the link takes to send it; by then callers have retransmitted three times.
	limitTime = 1500 * time.Millisecond
	// maxLimit bounds the queue in bytes, so that it takes a small part of the instance's memory.
	maxLimit = 4 << 20
)

// Packet is a packet to be sent. P is what the caller needs to send it.
type Packet[P any] struct {
	Flow model.FlowKey
	// Seq is the sequence number of the packet's first byte of data, and Length the number of these bytes.
	Seq    uint32
	Length int
	// Size is the size of the packet on the link, in bytes.
	Size int
	// Urgent is set for packets without data that need no order within their flow, such as handshakes and acknowledgements. They go first.
	Urgent  bool
	Payload P
}

// flowQueue holds the queued packets of one flow.
type flowQueue[P any] struct {
	key     model.FlowKey
	packets queue.Queue[Packet[P]]
	bytes   int
	// deficit is the number of bytes that the flow may still send in its turn.
	deficit int
}

// Scheduler queues packets while the link is busy and returns them in a fair order: urgent packets first, then the first packets of flows that had
// nothing queued, then the other flows in turn. It is not safe for concurrent use.
type Scheduler[P any] struct {
	// rate is in bytes per second; zero means unlimited.
	rate float64
	// tokens is the number of bytes that may be sent at refilledAt; it is negative while the link is busy.
	tokens     float64
	refilledAt model.Instant
	urgent     queue.Queue[Packet[P]]
	// flows holds every flow that is in fresh or in waiting.
	flows map[model.FlowKey]*flowQueue[P]
	// fresh holds the flows that had nothing queued before, waiting those that have used up a turn.
	fresh, waiting queue.Queue[*flowQueue[P]]
	// bytes is the number of queued bytes, at most limit().
	bytes int
}

// New returns an empty scheduler for a link of the given speed in Mbit/s; zero means that the speed is unknown, and nothing is queued.
func New[P any](linkMbps float64) *Scheduler[P] {
	s := &Scheduler[P]{flows: map[model.FlowKey]*flowQueue[P]{}}
	s.SetLinkMbps(linkMbps)
	return s
}

// SetLinkMbps replaces the speed of the link in Mbit/s.
func (s *Scheduler[P]) SetLinkMbps(mbps float64) {
	s.rate = max(mbps, 0) * bytesPerMbps * rateShare
	s.tokens = s.burst()
}

func (s *Scheduler[P]) burst() float64 {
	return max(s.rate*burstTime.Seconds(), minBurst)
}

func (s *Scheduler[P]) limit() int {
	return int(min(s.rate*limitTime.Seconds(), maxLimit))
}

// refill adds the tokens for the time since the last call.
func (s *Scheduler[P]) refill(now model.Instant) {
	s.tokens = min(s.tokens+s.rate*max(now.Sub(s.refilledAt), 0).Seconds(), s.burst())
	s.refilledAt = now
}

// Spend records bytes that were sent over the link without the scheduler, such as calls between instances.
func (s *Scheduler[P]) Spend(now model.Instant, bytes int) {
	if s.rate > 0 {
		s.refill(now)
		s.tokens = max(s.tokens-float64(bytes), -float64(s.limit()))
	}
}

// TrySend reports whether a packet of that size may be sent now, ahead of none that is queued, and accounts for it if so.
func (s *Scheduler[P]) TrySend(now model.Instant, size int) bool {
	if s.rate == 0 {
		return true
	}
	s.refill(now)
	if s.bytes > 0 || s.tokens <= 0 {
		return false
	}
	s.tokens -= float64(size)
	return true
}

// Push queues a packet. If the queue is full, it drops the last packets of the flow that has most queued; it reports false if that is the
// flow of the new packet, which is not queued then.
func (s *Scheduler[P]) Push(p Packet[P]) bool {
	if s.bytes+p.Size > s.limit() && !s.makeRoom(p) {
		return false
	}
	s.bytes += p.Size
	if p.Urgent {
		s.urgent.Push(p)
		return true
	}
	f := s.flows[p.Flow]
	if f == nil {
		f = &flowQueue[P]{key: p.Flow, deficit: quantum}
		s.flows[p.Flow] = f
		s.fresh.Push(f)
	}
	f.packets.Push(p)
	f.bytes += p.Size
	return true
}

// makeRoom drops packets of the flow that has most queued until p fits; it reports false if that is the flow of p itself.
func (s *Scheduler[P]) makeRoom(p Packet[P]) bool {
	for s.bytes+p.Size > s.limit() {
		var longest *flowQueue[P]
		for _, f := range s.flows {
			if f.bytes > 0 && (longest == nil || f.bytes > longest.bytes) {
				longest = f
			}
		}
		if longest == nil || longest.key == p.Flow {
			return false
		}
		dropped := longest.packets.PopLast()
		longest.bytes -= dropped.Size
		s.bytes -= dropped.Size
	}
	return true
}

// Next removes and returns the next packet if the link is free for it.
func (s *Scheduler[P]) Next(now model.Instant) (p Packet[P], ok bool) {
	if s.bytes == 0 {
		return p, false
	}
	s.refill(now)
	if s.tokens <= 0 {
		return p, false
	}
	if s.urgent.Len() > 0 {
		p = s.urgent.Pop()
	} else {
		p = s.nextInTurn()
	}
	s.bytes -= p.Size
	s.tokens -= float64(p.Size)
	return p, true
}

// nextInTurn removes and returns the next packet that is not urgent; there must be one.
func (s *Scheduler[P]) nextInTurn() Packet[P] {
	for {
		list := &s.waiting
		if s.fresh.Len() > 0 {
			list = &s.fresh
		}
		f := list.Peek()
		switch {
		case f.packets.Len() == 0 && list == &s.fresh && s.waiting.Len() > 0:
			// The flow keeps its place for one round, so that it does not go first again with its next packet.
			s.waiting.Push(list.Pop())
		case f.packets.Len() == 0:
			delete(s.flows, list.Pop().key)
		case f.deficit <= 0:
			f.deficit += quantum
			s.waiting.Push(list.Pop())
		default:
			p := f.packets.Pop()
			f.deficit -= p.Size
			f.bytes -= p.Size
			return p
		}
	}
}

// NextAt returns when Next returns a packet; ok is false if none is queued.
func (s *Scheduler[P]) NextAt() (at model.Instant, ok bool) {
	if s.bytes == 0 {
		return 0, false
	}
	if s.tokens > 0 {
		return s.refilledAt, true
	}
	// One more byte than the debt, as packets are sent while tokens are left.
	return s.refilledAt.Add(time.Duration((1 - s.tokens) / s.rate * float64(time.Second))), true
}

// Holds reports whether a queued packet of the flow has length bytes of data from seq on: a retransmission of them has no use.
func (s *Scheduler[P]) Holds(flow model.FlowKey, seq uint32, length int) bool {
	f := s.flows[flow]
	return f != nil && f.packets.Contains(func(p *Packet[P]) bool { return p.Seq == seq && p.Length >= length })
}

// Clear drops all queued packets and returns their number.
func (s *Scheduler[P]) Clear() (dropped int) {
	dropped = s.urgent.Len()
	for _, f := range s.flows {
		dropped += f.packets.Len()
	}
	s.urgent, s.fresh, s.waiting, s.bytes = queue.Queue[Packet[P]]{}, queue.Queue[*flowQueue[P]]{}, queue.Queue[*flowQueue[P]]{}, 0
	clear(s.flows)
	return dropped
}

// Forget drops the queued packets of a flow that has ended.
func (s *Scheduler[P]) Forget(flow model.FlowKey) {
	f := s.flows[flow]
	for f != nil && f.packets.Len() > 0 {
		p := f.packets.Pop()
		f.bytes -= p.Size
		s.bytes -= p.Size
	}
}

// Queued returns the number of queued bytes and the time that the link takes to send them.
func (s *Scheduler[P]) Queued() (bytes int, delay time.Duration) {
	if s.bytes == 0 {
		return 0, 0
	}
	return s.bytes, time.Duration(float64(s.bytes) / s.rate * float64(time.Second))
}
