package admit

import (
	"math"
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"

	"hawthorncourse/internal/core/model"
)

func addrFrom(b [4]byte) netip.Addr { return netip.AddrFrom4(b) }

// Guards against a gate that limits by a load that is not known: before the first report, at a room that is not known or not valid, and 3 s after
// the last report, in a burst of ten times the rate.
func TestUnknownLoad(t *testing.T) {
	tests := map[string]struct {
		room  Room
		after time.Duration
	}{
		"not known":     {room: Room{Slots: 80, Work: 1000}},
		"no slots":      {room: Room{Work: 1000, Known: true}},
		"negative work": {room: Room{Slots: 80, Work: -1, Known: true}},
		"not a number":  {room: Room{Slots: 80, Work: math.NaN(), Known: true}},
		"infinite":      {room: Room{Slots: 80, Work: math.Inf(1), Known: true}},
		"no update":     {after: maxAge + 1},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			g := limitedGate(Config{QueueLimit: 100}, 100)
			for n := range uint16(5) {
				is.Equal(g.Offer(testStart, request(1, n, 5, testStart)), VerdictWait)
			}
			now := testStart.Add(tc.after)
			if tc.after == 0 {
				g.Update(now, tc.room)
			}
			for range 5 {
				at, ok := g.NextAt()
				is.True(ok)
				is.True(at <= now)
				_, v, ok := g.Next(now)
				is.True(ok)
				is.Equal(v, VerdictAdmit)
			}
			for n := range uint16(100) {
				is.Equal(g.Offer(now, request(2, n, 5, now)), VerdictAdmit)
			}
			is.Equal(g.State().Known, false)
			is.Equal(g.State().Limited, false)
		})
	}
	t.Run("before the first report", func(t *testing.T) {
		is := is.New(t)
		g := New(Config{Reserve: 0.1, QueueLimit: 100})
		for n := range uint16(1000) {
			is.Equal(g.Offer(0, request(1, n, 5, 0)), VerdictAdmit)
		}
		_, ok := g.NextAt()
		is.Equal(ok, false)
	})
}

// Guards against the release of waiting requests only at their deadline when reports stop in a burst.
func TestReleasedWhenReportsStop(t *testing.T) {
	is := is.New(t)
	g := limitedGate(Config{QueueLimit: 100}, 200)
	for n := range uint16(20) {
		is.Equal(g.Offer(testStart, request(1, n, 5, testStart)), VerdictWait)
	}
	const stopped = 100 * time.Millisecond
	g.bucket.rate, g.control.at = 0.001, testStart.Add(stopped-maxAge)
	admitted, refused := drainUntil(t, g, testStart.Add(stopped+time.Millisecond))
	is.Equal(len(admitted), 20)
	is.Equal(len(refused), 0)
}

// Guards against a gate without traffic that starts its limit at a rate of zero and never admits anything, when all load comes through others.
func TestIdleGate(t *testing.T) {
	is := is.New(t)
	g := New(Config{Reserve: 0.1, QueueLimit: 100})
	g.Update(testStart, Room{Slots: 80, Work: 400, Known: true})
	is.True(g.State().Limited)
	is.True(g.State().Rate > 0)
	for step := range uint16(20) {
		now := testStart.Add(time.Duration(step) * time.Second)
		hold(g, now)
		if g.Offer(now, request(1, step, 5, now)) == VerdictAdmit {
			return
		}
	}
	t.Fatal("not admitted")
}

// Guards against a verdict for a caller that gave up while it waited, and a second entry for a retransmitted SYN.
func TestCancel(t *testing.T) {
	is := is.New(t)
	g := limitedGate(Config{QueueLimit: 2}, 100)
	first, second, third := request(1, 1, 5, testStart), request(2, 1, 5, testStart), request(3, 1, 5, testStart)
	is.Equal(g.Offer(testStart, first), VerdictWait)
	is.Equal(g.Offer(testStart, first), VerdictWait)
	is.Equal(g.State().Waiting, 1)
	is.Equal(g.Offer(testStart, second), VerdictWait)
	is.Equal(g.Offer(testStart, third), VerdictRefuse)
	is.True(g.Cancel(first.Key))
	is.Equal(g.Cancel(first.Key), false)
	is.Equal(g.Offer(testStart, third), VerdictWait)
	admitted, refused := drainUntil(t, g, testStart.Add(time.Second))
	is.Equal(admitted, []Request{second, third})
	is.Equal(len(refused), 0)
	is.Equal(g.State().Counts.Cancelled, uint64(1))
}

// Guards against a wake-up before or after the instant at which a request becomes due, at an even load.
func TestNextAt(t *testing.T) {
	tests := map[string]struct {
		reserve float64
		after   time.Duration
	}{
		"from the bucket":  {reserve: 0, after: 100 * time.Millisecond},
		"from the reserve": {reserve: 0.8, after: 125 * time.Millisecond},
		"at the deadline":  {reserve: 4.0 / 9, after: 180 * time.Millisecond},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			g := limitedGate(Config{Reserve: tc.reserve, QueueLimit: 100}, 10)
			r := request(1, 1, 5, testStart)
			is.Equal(g.Offer(testStart, r), VerdictWait)
			at, ok := g.NextAt()
			is.True(ok)
			is.True(at.Sub(testStart) >= tc.after && at.Sub(testStart) <= tc.after+time.Microsecond)
			_, _, ok = g.Next(at.Add(-time.Microsecond))
			is.Equal(ok, false)
			got, v, ok := g.Next(at)
			is.True(ok)
			is.Equal(got, r)
			is.Equal(v, VerdictAdmit)
		})
	}
}

// Guards against a request that is left without a verdict when its time passes before a token is there.
func TestRefusedAtDeadline(t *testing.T) {
	is := is.New(t)
	g := limitedGate(Config{Reserve: 0.1, QueueLimit: 100}, 10)
	_, ok := g.NextAt()
	is.Equal(ok, false)
	r := request(1, 1, 1, testStart)
	g.lastOffered[5] = testStart
	g.bucket.main = -2
	is.Equal(g.Offer(testStart, r), VerdictWait)
	// The overdraft is one token: two are missing at nine a second, as the reserve takes the rest.
	at, ok := g.NextAt()
	is.True(ok)
	is.True(at.Sub(testStart) >= 180*time.Millisecond)
	_, _, ok = g.Next(at - 1)
	is.Equal(ok, false)
	got, v, ok := g.Next(at)
	is.True(ok)
	is.Equal(v, VerdictRefuse) // its time has passed
	is.Equal(got, r)
	_, ok = g.NextAt()
	is.Equal(ok, false)
}

// Guards against a queue that grows without bound, and urgent requests that find it full of others, in a burst of ten times the rate.
func TestQueueBounds(t *testing.T) {
	is := is.New(t)
	g := limitedGate(Config{QueueLimit: 10}, 100)
	for n := range uint16(10) {
		is.Equal(g.Offer(testStart, request(1, n, 5, testStart)), VerdictWait)
	}
	is.Equal(g.Offer(testStart, request(1, 10, 5, testStart)), VerdictRefuse)
	g.bucket.main = -20
	var waiting int
	for n := range uint16(100) {
		if g.Offer(testStart, request(2, n, 1, testStart)) == VerdictWait {
			waiting++
		}
	}
	is.True(waiting > 0)
	is.True(waiting <= 10)
	is.True(g.State().Waiting <= 10)
	is.True(len(g.displaced) <= 10)
	for range waiting {
		r, v, ok := g.Next(testStart)
		is.True(ok)
		is.Equal(v, VerdictRefuse)
		is.Equal(r.Priority, model.Priority(5))
	}
	admitted, refused := drainUntil(t, g, testStart.Add(time.Second))
	is.Equal(len(admitted)+len(refused), 10)
	is.Equal(len(g.line.byKey)+len(g.line.callers)+len(g.line.expiries), 0)

	none := limitedGate(Config{}, 100)
	is.Equal(none.Offer(testStart, request(1, 1, 5, testStart)), VerdictRefuse)
}

// Guards against garbage for each flow: callers that retry at once make a refusal the most frequent operation of an overloaded gate.
func TestAllocations(t *testing.T) {
	is := is.New(t)
	open := New(Config{Reserve: 0.1, QueueLimit: 100})
	r := request(1, 1, 5, testStart)
	is.Equal(testing.AllocsPerRun(1000, func() { open.Offer(testStart, r) }), 0.0)
	full := limitedGate(Config{Reserve: 0.1, QueueLimit: 100}, 100)
	for n := range uint16(100) {
		full.Offer(testStart, request(byte(n), n, 5, testStart))
	}
	r = request(1, 1000, 5, testStart)
	is.Equal(full.Offer(testStart, r), VerdictRefuse)
	is.Equal(testing.AllocsPerRun(1000, func() { full.Offer(testStart, r) }), 0.0)
}
