package admit

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against callers that get a larger share by opening ten flows at a time while others open one, at three and eleven times the rate.
func TestFairnessAmongCallers(t *testing.T) {
	tests := map[string]struct {
		rate   float64
		target time.Duration
	}{
		"no target":       {rate: 100},
		"long target":     {rate: 100, target: 2 * time.Second},
		"nearly all fits": {rate: 400},
	}
	const kinds, pause = 10, 100 * time.Millisecond
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			g := limitedGate(Config{Reserve: 0.1, QueueLimit: 1000}, tc.rate)
			var single, tenfold int
			count := func(admitted []Request) {
				for _, r := range admitted {
					if r.Caller.As4()[3] < kinds {
						single++
					} else {
						tenfold++
					}
				}
			}
			n := uint16(0)
			for step := range 100 {
				now := testStart.Add(time.Duration(step) * pause)
				hold(g, now)
				// The callers that open ten flows come first, so that an order by arrival prefers them.
				for i := range byte(2 * kinds) {
					caller, flows := 2*kinds-1-i, 1
					if caller >= kinds {
						flows = 10
					}
					for range flows {
						n++
						r := request(caller, n, 5, now)
						r.Target = tc.target
						if g.Offer(now, r) == VerdictAdmit {
							count([]Request{r})
						}
					}
				}
				admitted, _ := drainUntil(t, g, now.Add(pause-1))
				count(admitted)
			}
			t.Logf("single %d, tenfold %d", single, tenfold)
			// Callers that open one flow at a time offer 1,000 flows. Without fairness they get an eleventh of all.
			fair := min(1000, int(tc.rate*10/2))
			is.True(float64(single) >= 0.85*float64(fair))
			is.True(float64(single+tenfold) >= 0.9*tc.rate*10) // nothing is lost
			is.True(float64(single+tenfold) <= 1.1*tc.rate*10) // the rate is kept
		})
	}
}

// Guards against a table of callers that grows with every address that is seen, and one that remembers callers for longer than its window.
func TestCallersBounded(t *testing.T) {
	is := is.New(t)
	var c callers
	for i := range 10 * maxCallers {
		addr := request(0, 0, 0, 0).Caller.As4()
		addr[1], addr[2], addr[3] = byte(i>>16), byte(i>>8), byte(i)
		c.admitted(testStart, addrFrom(addr))
	}
	is.Equal(len(c.current), maxCallers)
	one := addrFrom([4]byte{10, 0, 0, 0})
	is.Equal(c.recent(testStart, one), 1)
	is.Equal(c.recent(testStart.Add(callerWindow), one), 1)
	is.Equal(c.recent(testStart.Add(callerWindow*7/4), one), 0)
	c.advance(testStart.Add(2 * callerWindow))
	is.Equal(len(c.current)+len(c.previous), 0)
}

// Guards against a share that is counted by class instead of by caller: a caller that was admitted comes after others for a second only.
func TestRecentCallerComesLater(t *testing.T) {
	is := is.New(t)
	g := limitedGate(Config{QueueLimit: 100}, 100)
	now := testStart.Add(10 * time.Millisecond)
	is.Equal(g.Offer(now, request(1, 1, 5, now)), VerdictAdmit)
	recent, other := request(1, 2, 5, now), request(2, 1, 5, now)
	is.Equal(g.Offer(now, recent), VerdictWait)
	is.Equal(g.Offer(now, other), VerdictWait)
	admitted, _ := drainUntil(t, g, now.Add(time.Second))
	is.Equal(admitted, []Request{other, recent})
}
