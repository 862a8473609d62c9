package egress_test

import (
	"testing"
	"time"

	"hawthorncourse/internal/core/egress"
	"hawthorncourse/internal/core/model"
)

// BenchmarkFreeLink measures what the scheduler adds to a packet while nothing is queued.
func BenchmarkFreeLink(b *testing.B) {
	s := egress.New[string](1000)
	now := model.Instant(0)
	b.ReportAllocs()
	for b.Loop() {
		now = now.Add(time.Millisecond)
		if !s.TrySend(now, 100) {
			b.Fatal("the link is busy")
		}
	}
}

// BenchmarkBusyLink measures queueing and sending a packet with 100 flows in the queue.
func BenchmarkBusyLink(b *testing.B) {
	s := egress.New[string](1000)
	for s.TrySend(start, fullPacket) {
	}
	for n := range 300 {
		s.Push(egress.Packet[string]{Flow: flow(uint16(n % 100)), Seq: uint32(n), Length: 1200, Size: fullPacket})
	}
	now := start
	b.ReportAllocs()
	n := uint32(300)
	for b.Loop() {
		s.Push(egress.Packet[string]{Flow: flow(uint16(n % 100)), Seq: n, Length: 1200, Size: fullPacket})
		now = now.Add(20 * time.Microsecond)
		s.Next(now)
		n++
	}
}
