package admit

import (
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"

	"hawthorncourse/internal/core/model"
)

// testStart is the beginning of tests that start with a limited gate.
const testStart = model.Instant(10 * time.Second)

// limitedGate returns a gate that is limited to the rate, in flows per second, with empty buckets, since testStart.
func limitedGate(config Config, rate float64) *Gate {
	g := New(config)
	room := Room{Slots: 80, Work: 160, Known: true}
	g.now = testStart
	g.control = control{known: true, limited: true, at: testStart, room: room, load: 2, full: 2, base: rate, factor: 1, lastFactor: 1}
	g.bucket = bucket{rate: rate, share: config.Reserve, at: testStart}
	return g
}

// hold reports the full load again, so that the rate stays as it is.
func hold(g *Gate, now model.Instant) {
	g.Update(now, Room{Slots: 80, Work: 160, Known: true})
}

// request returns the nth request of a caller, which arrives at the time.
func request(caller byte, n uint16, p model.Priority, arrived model.Instant) Request {
	addr := netip.AddrFrom4([4]byte{10, 0, 0, caller})
	key := model.FlowKey{Caller: netip.AddrPortFrom(addr, n), Service: netip.MustParseAddrPort("10.1.0.1:80")}
	return Request{Key: key, Caller: addr, Priority: p, Arrived: arrived}
}

// drainUntil calls Next whenever NextAt says so, until the time, and returns the admitted and refused requests in order.
func drainUntil(t *testing.T, g *Gate, until model.Instant) (admitted, refused []Request) {
	t.Helper()
	for range 1_000_000 {
		at, ok := g.NextAt()
		if !ok || at > until {
			return admitted, refused
		}
		r, v, ok := g.Next(at)
		switch {
		case !ok:
		case v == VerdictAdmit:
			admitted = append(admitted, r)
		default:
			refused = append(refused, r)
		}
	}
	t.Fatal("NextAt makes no progress")
	return nil, nil
}

// Guards against an order by arrival in a burst of mixed priorities and targets, in which urgent requests and those with little time left come late.
func TestOrder(t *testing.T) {
	is := is.New(t)
	g := limitedGate(Config{QueueLimit: 100}, 100)
	offer := func(caller byte, p model.Priority, target time.Duration) Request {
		r := request(caller, 1, p, testStart)
		r.Target = target
		is.Equal(g.Offer(testStart, r), VerdictWait)
		return r
	}
	g.lastOffered[5] = testStart
	g.bucket.main = -1 // The overdraft is used up.
	late := offer(1, 5, 400*time.Millisecond)
	early := offer(2, 5, 300*time.Millisecond)
	urgentLate := offer(3, 2, 400*time.Millisecond)
	urgentEarly := offer(4, 2, 350*time.Millisecond)
	admitted, refused := drainUntil(t, g, testStart.Add(time.Second))
	is.Equal(admitted, []Request{urgentEarly, urgentLate, early, late})
	is.Equal(len(refused), 0)
}

// Guards against a request that a limited gate queues although it finds a token and an empty queue.
func TestAdmittedAtOnce(t *testing.T) {
	is := is.New(t)
	g := limitedGate(Config{QueueLimit: 100}, 100)
	now := testStart.Add(10 * time.Millisecond)
	is.Equal(g.Offer(now, request(1, 1, 5, now)), VerdictAdmit)
	is.Equal(g.Offer(now, request(1, 2, 5, now)), VerdictWait)
}

// Guards against urgent requests that wait for tokens which ordinary requests have used, in a mix in which they are a minority.
func TestOverdraft(t *testing.T) {
	is := is.New(t)
	g := limitedGate(Config{Reserve: 0.1, QueueLimit: 100}, 100)
	now := testStart
	for n := range uint16(100) {
		now = now.Add(10 * time.Millisecond)
		g.Offer(now, request(byte(n%50), n, 5, now))
		drainUntil(t, g, now)
	}
	before := g.bucket.main
	for n := range uint16(10) {
		is.Equal(g.Offer(now, request(200, n, 1, now)), VerdictAdmit)
	}
	is.True(g.bucket.main <= before-10+tokenSlack)
	limit := g.overdraft(now, 5)
	is.True(limit <= 50)
	for n := range uint16(100) {
		g.Offer(now, request(201, n, 1, now))
	}
	is.True(g.bucket.main >= -limit-tokenSlack) // the overdraft is bounded
}

// Guards against requests that wait although they cannot be admitted in time, in a burst of ten times the rate.
func TestRefusedAtOnce(t *testing.T) {
	tests := map[string]struct {
		target time.Duration
		wait   int
	}{
		"no target":    {wait: 18},
		"target 400ms": {target: 400 * time.Millisecond, wait: 18},
		"target 100ms": {target: 100 * time.Millisecond, wait: 5},
		"target 10s":   {target: 10 * time.Second, wait: 18},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			g := limitedGate(Config{QueueLimit: 1000}, 100)
			waiting := 0
			for n := range uint16(1000) {
				r := request(byte(n), n, 5, testStart)
				r.Target = tc.target
				if g.Offer(testStart, r) == VerdictWait {
					waiting++
				}
			}
			is.Equal(waiting, tc.wait)
			late := request(250, 1, 5, testStart.Add(-11*time.Second))
			late.Target = tc.target
			is.Equal(g.Offer(testStart, late), VerdictRefuse) // half of its target has passed already
		})
	}
}

// Guards against requests that overtake waiting ones when they arrive after tokens have accrued, but before Next was called.
func TestNoOvertaking(t *testing.T) {
	is := is.New(t)
	g := limitedGate(Config{QueueLimit: 100}, 100)
	first := request(1, 1, 3, testStart)
	is.Equal(g.Offer(testStart, first), VerdictWait)
	now := testStart.Add(12 * time.Millisecond)
	second := request(2, 1, 5, now)
	is.Equal(g.Offer(now, second), VerdictWait)
	admitted, refused := drainUntil(t, g, testStart.Add(time.Second))
	is.Equal(admitted, []Request{first, second})
	is.Equal(len(refused), 0)
}
