package relay

import (
	"net"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"hawthorncourse/internal/base/count"
	"hawthorncourse/internal/core/model"
	"hawthorncourse/internal/peer/share"
)

// TestClockAfterStall guards against leases that are judged by a clock which has stood still while the machine was suspended, and against leases of SYNs that
// waited during a stall.
func TestClockAfterStall(t *testing.T) {
	cases := map[string]struct {
		suspended time.Duration
		// leased is the number of SYNs after the stall that get a lease.
		leased int64
	}{
		"no stall":    {leased: 1},
		"short stall": {suspended: 40 * time.Millisecond, leased: 1},
		"long stall":  {suspended: 100 * time.Millisecond},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			r := newStallRelay(t)
			l, err := net.Listen("tcp", "127.0.0.1:0")
			is.NoErr(err)
			r.work = t.Context()
			r.share = share.New(share.Config{Self: "self", Listener: l, Ordinals: noOrdinals{}, Counts: count.New(), Clock: r.bootTime})
			go func() { _ = r.share.Run(t.Context()) }()
			r.share.Publish(model.Snapshot{Revision: 1})
			peer, _ := newShare(t, "peer")
			_, err = peer.Poll(t.Context(), netip.MustParseAddrPort(l.Addr().String()), model.Snapshot{}, 0)
			is.NoErr(err)
			// The epoch is old enough to be used.
			r.suspended.Add(int64(time.Minute))

			r.updateClock(r.now())
			r.stall.expect(r.now(), 0)
			ahead := r.bootAhead
			r.suspended.Add(int64(tc.suspended))
			r.handleStall()
			is.True((r.bootAhead - ahead - tc.suspended).Abs() < 5*time.Millisecond)
			_, known := r.engine.ClockWidth(r.now())
			is.True(known)
			seg := r.syn()
			leased := int64(0)
			for _, a := range r.engine.Packet(r.now(), &seg) {
				if a.Attempt == 1 && !a.Unleased {
					leased++
				}
			}
			is.Equal(leased, tc.leased)
		})
	}
}

// TestClockAtStart guards against first packets that are dropped after all instances have started at once: none has heard of the shared time from another one yet,
// and uses the time of day until then.
func TestClockAtStart(t *testing.T) {
	is := is.New(t)
	r := newStallRelay(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	r.work = t.Context()
	r.timeOfDay = readTimeOfDay(r.bootTime())
	r.share = share.New(share.Config{Self: "self", Listener: l, Ordinals: noOrdinals{}, Counts: count.New(), Clock: r.bootTime})
	r.updateClock(r.now())
	width, known := r.engine.ClockWidth(r.now())
	is.True(known)
	is.True(width >= 2*maxTimeOfDayError && width < 3*maxTimeOfDayError)

	// Another instance has begun an epoch that is old enough to be used.
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	start, passed := time.Now(), atomic.Int64{}
	peer := share.New(share.Config{Self: "peer", Listener: listener, Ordinals: noOrdinals{}, Counts: count.New(), Clock: func() time.Duration {
		return time.Since(start) + time.Duration(passed.Load())
	}})
	go func() { _ = peer.Run(t.Context()) }()
	peer.Publish(model.Snapshot{Revision: 1})
	address := netip.MustParseAddrPort(listener.Addr().String())
	for range 2 {
		_, err = r.share.Poll(t.Context(), address, model.Snapshot{}, 0)
		is.NoErr(err)
		passed.Store(int64(time.Minute))
	}
	r.updateClock(r.now())
	width, known = r.engine.ClockWidth(r.now())
	is.True(known)
	is.True(width < 2*maxTimeOfDayError)
}
