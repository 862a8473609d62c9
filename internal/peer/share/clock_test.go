package share_test

import (
	"net"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"hawthorncourse/internal/base/count"
	"hawthorncourse/internal/core/clock"
	"hawthorncourse/internal/core/model"
	"hawthorncourse/internal/peer/share"
)

// TestSharedClock checks that instances which poll one another, and whose own clocks differ, know the same time once its epoch is old enough, and that one which
// starts later is told at once.
func TestSharedClock(t *testing.T) {
	is := is.New(t)
	start, epochs, passed := time.Now(), atomic.Int64{}, atomic.Int64{}
	type instance struct {
		*share.Share
		address netip.AddrPort
		own     func() time.Duration
	}
	var list []instance
	for n := range 4 {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		is.NoErr(err)
		own := func() time.Duration {
			return time.Since(start) + time.Duration(n)*time.Hour + time.Duration(passed.Load())
		}
		s := share.New(share.Config{Self: "any", Listener: l, Ordinals: ordinals{}, Counts: count.New(), Clock: own, OnEpoch: func() { epochs.Add(1) }})
		go func() { _ = s.Run(t.Context()) }()
		list = append(list, instance{Share: s, address: netip.MustParseAddrPort(l.Addr().String()), own: own})
	}
	lead, reader, follower, starting := list[0], list[1], list[2], list[3]
	lead.Publish(model.Snapshot{Revision: 1})
	reader.Publish(model.Snapshot{Revision: 1})
	is.True(!lead.Clock(lead.own()).Known())
	for range 2 {
		_, err := reader.PollAsReader(t.Context(), lead.address, model.Snapshot{}, 0)
		is.NoErr(err)
		_, err = follower.Poll(t.Context(), reader.address, model.Snapshot{}, 20*time.Millisecond)
		is.NoErr(err)
	}
	// A young epoch is not used yet.
	is.True(!follower.Clock(follower.own()).Known())
	passed.Store(int64(5 * time.Second))
	is.Equal(epochs.Load(), int64(0))
	_, err := starting.Poll(t.Context(), reader.address, model.Snapshot{}, 0)
	is.NoErr(err)
	is.Equal(epochs.Load(), int64(1))
	var readings []clock.Reading
	for _, i := range list {
		r := i.Clock(i.own())
		readings = append(readings, r)
		is.True(r.Width() < 100*time.Millisecond)
	}
	for _, r := range readings[1:] {
		is.Equal(r.Epoch, readings[0].Epoch)
		is.True(r.Latest >= readings[0].Earliest)
		is.True(r.Earliest <= readings[0].Latest+100*time.Millisecond)
	}
}
