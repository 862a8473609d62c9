package egress_test

import (
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"

	"hawthorncourse/internal/core/egress"
	"hawthorncourse/internal/core/model"
)

const fullPacket = 1267

func flow(port uint16) model.FlowKey {
	return model.FlowKey{Caller: netip.AddrPortFrom(netip.MustParseAddr("100.64.0.7"), port), Service: netip.MustParseAddrPort("198.18.0.1:443")}
}

// start is when the tests start.
const start = model.Instant(time.Minute)

// busy returns a scheduler for a link of 2 Mbit/s whose burst is used up at start.
func busy() *egress.Scheduler[string] {
	s := egress.New[string](2)
	for s.TrySend(start, fullPacket) {
	}
	return s
}

// drain returns the payloads in the order in which they may be sent.
func drain(s *egress.Scheduler[string], now model.Instant) (out []string) {
	for at, ok := s.NextAt(); ok; at, ok = s.NextAt() {
		now = max(now, at)
		if p, ok := s.Next(now); ok {
			out = append(out, p.Payload)
		}
	}
	return out
}

// TestOrder checks in which order queued packets are sent.
func TestOrder(t *testing.T) {
	data := func(port uint16, seq uint32, name string) egress.Packet[string] {
		return egress.Packet[string]{Flow: flow(port), Seq: seq, Size: fullPacket, Payload: name}
	}
	cases := map[string]struct {
		packets []egress.Packet[string]
		want    []string
	}{
		"one flow in order": {
			packets: []egress.Packet[string]{data(1, 1, "a"), data(1, 2, "b"), data(1, 3, "c")},
			want:    []string{"a", "b", "c"},
		},
		"urgent packets first": {
			packets: []egress.Packet[string]{data(1, 1, "a"), {Flow: flow(2), Size: 67, Urgent: true, Payload: "syn"}},
			want:    []string{"syn", "a"},
		},
		"a short request passes an upload that has used up its turn": {
			packets: []egress.Packet[string]{data(1, 1, "a"), data(1, 2, "b"), data(1, 3, "c"), data(1, 4, "d"), data(2, 1, "request")},
			want:    []string{"a", "b", "request", "c", "d"},
		},
		"two uploads take turns": {
			packets: []egress.Packet[string]{
				data(1, 1, "a1"), data(1, 2, "a2"), data(1, 3, "a3"), data(1, 4, "a4"),
				data(2, 1, "b1"), data(2, 2, "b2"), data(2, 3, "b3"), data(2, 4, "b4"),
			},
			want: []string{"a1", "a2", "b1", "b2", "a3", "a4", "b3", "b4"},
		},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := busy()
			for _, p := range tc.packets {
				is.True(s.Push(p))
			}
			is.Equal(drain(s, start), tc.want)
		})
	}
}

// TestRate checks that a busy link is used at nine tenths of its speed, also if calls between instances take a part of it.
func TestRate(t *testing.T) {
	cases := map[string]struct {
		spent int
		want  time.Duration
	}{
		"packets only":             {want: 560 * time.Millisecond},
		"half of it used by calls": {spent: 100 * fullPacket, want: 1120 * time.Millisecond},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := busy()
			for n := range 100 {
				is.True(s.Push(egress.Packet[string]{Flow: flow(uint16(n % 10)), Seq: uint32(n), Size: fullPacket}))
			}
			s.Spend(start, tc.spent)
			now := start
			for at, ok := s.NextAt(); ok; at, ok = s.NextAt() {
				now = max(now, at)
				s.Next(now)
			}
			is.True(now.Sub(start) > tc.want*95/100 && now.Sub(start) < tc.want*105/100)
		})
	}
}

// TestUnknownSpeed checks that nothing is queued if the settings do not state the speed of the link.
func TestUnknownSpeed(t *testing.T) {
	s := egress.New[string](0)
	for range 10_000 {
		is.New(t).True(s.TrySend(0, fullPacket))
	}
}

// TestLimit checks that a full queue is bounded and that the flow with most queued packets pays for it.
func TestLimit(t *testing.T) {
	is := is.New(t)
	s := busy()
	rejected := 0
	for n := range 1000 {
		if !s.Push(egress.Packet[string]{Flow: flow(1), Seq: uint32(n), Size: fullPacket, Payload: "upload"}) {
			rejected++
		}
	}
	is.True(rejected > 0)
	for n := range 5 {
		is.True(s.Push(egress.Packet[string]{Flow: flow(uint16(10 + n)), Size: fullPacket, Payload: "request"}))
	}
	bytes, delay := s.Queued()
	is.True(bytes <= 2*125_000*9/10*3/2)
	is.True(delay <= 1500*time.Millisecond)
	requests := 0
	for _, payload := range drain(s, start) {
		if payload == "request" {
			requests++
		}
	}
	is.Equal(requests, 5)
}

// TestHolds checks that a retransmission of queued data is recognised, and no longer after the data was sent or its flow has ended.
func TestHolds(t *testing.T) {
	is := is.New(t)
	now := start
	s := busy()
	is.True(s.Push(egress.Packet[string]{Flow: flow(1), Seq: 7, Length: 100, Size: fullPacket}))
	is.True(s.Holds(flow(1), 7, 100))
	is.True(s.Holds(flow(1), 7, 60))
	is.True(!s.Holds(flow(1), 7, 101)) // A retransmission with more data is not held.
	is.True(!s.Holds(flow(1), 8, 100))
	is.True(!s.Holds(flow(2), 7, 100))
	drain(s, now)
	is.True(!s.Holds(flow(1), 7, 100))
	now = now.Add(time.Second)
	for s.TrySend(now, fullPacket) {
	}
	is.True(s.Push(egress.Packet[string]{Flow: flow(1), Seq: 9, Size: fullPacket}))
	s.Forget(flow(1))
	is.True(!s.Holds(flow(1), 9, 0))
	is.Equal(len(drain(s, now)), 0)
}

// TestClear checks that nothing is left after the packets were dropped.
func TestClear(t *testing.T) {
	is := is.New(t)
	s := busy()
	is.True(s.Push(egress.Packet[string]{Flow: flow(1), Seq: 7, Length: 100, Size: fullPacket}))
	is.True(s.Push(egress.Packet[string]{Flow: flow(2), Size: 67, Urgent: true}))
	is.Equal(s.Clear(), 2)
	is.Equal(len(drain(s, start)), 0)
	is.True(!s.Holds(flow(1), 7, 100))
	bytes, _ := s.Queued()
	is.Equal(bytes, 0)
	is.True(s.Push(egress.Packet[string]{Flow: flow(1), Size: fullPacket, Payload: "again"}))
	is.Equal(drain(s, start), []string{"again"})
}
