package relay

import (
	"context"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"hawthorncourse/internal/base/ring"
	"hawthorncourse/internal/core/direct"
	"hawthorncourse/internal/core/egress"
	"hawthorncourse/internal/core/model"
)

// emptyCodec builds empty datagrams.
type emptyCodec struct{ Codec }

// AppendForward implements Codec.
func (emptyCodec) AppendForward(dst, _ []byte, _ model.EndpointNumber, _ model.RoutingTag) []byte {
	return dst
}

// AppendReset implements Codec.
func (emptyCodec) AppendReset(dst []byte, _ model.FlowKey, _ uint32) []byte {
	return dst
}

// stallRelay is a relay whose machine can be suspended. It has a cold upstream, which gets new flows only with an ordinal, and a link too slow to send
// what is queued.
type stallRelay struct {
	*Relay
	// suspended is the time that the machine was suspended.
	suspended atomic.Int64
}

func newStallRelay(t *testing.T) *stallRelay {
	t.Helper()
	r := &stallRelay{Relay: newTestRelay(t)}
	r.cfg.Codec, r.cfg.LogsDropped = emptyCodec{}, func() int64 { return 0 }
	r.start = time.Now().Add(-time.Minute)
	r.counters, r.segments, r.suspicions = newActionCounters(r.counts), ring.New[model.Segment](8), ring.New[model.Suspicion](8)
	r.stall = newStallDetector(func() time.Duration { return time.Since(r.start) + time.Duration(r.suspended.Load()) })
	r.recorder = recorder{log: r.logger("flow")}
	r.limits.Store(&Limits{})
	r.engine = direct.New(direct.Config{Domain: "east", Limits: direct.Limits{Domains: 1, FlowLife: time.Minute, ColdFactor: 1.5, ColdSlack: 5}})
	r.engine.SetRoutes(model.RouteTable{Version: 1, Revision: 1, Routes: []model.Route{{Name: "feed", Address: stallService, Targets: []model.Target{{Service: "desk", Weight: 1}}}}})
	r.engine.Roster().Sync(r.now(), model.Listing[model.Registration]{Items: []model.Registration{
		{ID: "a", Number: 1, Revision: 1, Service: "desk", Domain: "east", Boot: 1, Slots: 9, ColdFor: time.Hour, Address: netip.MustParseAddrPort("127.0.0.1:1")},
	}})
	r.engine.SetReady(r.now())
	r.engine.SetOrdinal(model.Ordinal{Count: 1}, r.now().Add(time.Hour))
	r.egress = egress.New[outgoing](0.008)
	r.egress.Spend(r.now(), 1<<20)
	r.egress.Push(egress.Packet[outgoing]{Size: 100})
	return r
}

var stallService = netip.MustParseAddrPort("198.18.0.1:443")

// syn returns a packet that opens a flow.
func (r *stallRelay) syn() model.Segment {
	return model.Segment{Flow: model.FlowKey{Caller: netip.MustParseAddrPort("100.64.0.7:1"), Service: stallService}, Syn: true, Raw: []byte{1}}
}

// total returns the value of a counter.
func (r *stallRelay) total(name string) (value int64) {
	for _, total := range r.counts.Totals() {
		if total.Name == name {
			value = total.Value
		}
	}
	return value
}

// TestStallEndsWithAnyEvent guards against an ordinal and queued datagrams that stay in use after a stall because a packet or a command ended it, and
// not the timer.
func TestStallEndsWithAnyEvent(t *testing.T) {
	wakes := map[string]func(r *stallRelay, ctx context.Context){
		"packet": func(r *stallRelay, _ context.Context) { r.segments.Offer(r.syn()) },
		"command": func(r *stallRelay, ctx context.Context) {
			r.submit(ctx, func(now model.Instant) {
				seg := r.syn()
				r.act(ctx, now, r.engine.Packet(now, &seg))
			})
		},
		"timer": func(r *stallRelay, ctx context.Context) {
			sleep(ctx, 3*tickInterval)
			r.segments.Offer(r.syn())
		},
	}
	cases := map[string]struct {
		stall time.Duration
		// forwarded and discarded are the numbers of new flows and of queued datagrams.
		forwarded, discarded int64
	}{
		"no stall":                  {forwarded: 1},
		"longer than a call":        {stall: 500 * time.Millisecond},
		"longer than callers await": {stall: 3 * time.Second, discarded: 1},
	}
	for name, tc := range cases {
		for event, wake := range wakes {
			t.Run(name+", "+event, func(t *testing.T) {
				is := is.New(t)
				r := newStallRelay(t)
				ctx, cancel := context.WithCancel(t.Context())
				done := make(chan error)
				go func() { done <- r.decide(ctx) }()
				started := make(chan struct{})
				r.submit(ctx, func(model.Instant) { close(started) })
				<-started
				sleep(ctx, tickInterval/10)
				r.suspended.Add(int64(tc.stall))
				wake(r, ctx)
				sleep(ctx, 2*tickInterval)
				cancel()
				is.NoErr(<-done)
				is.NoErr(r.counts.Close())
				is.Equal(r.total("flow.forward.none"), tc.forwarded)
				is.Equal(r.total("egress.discarded"), tc.discarded)
			})
		}
	}
}

// TestStallCountsOnce checks that a stall is reported by the first event after it, and by no further one.
func TestStallCountsOnce(t *testing.T) {
	const wait, stall = 100 * time.Millisecond, 3 * time.Second
	cases := map[string]struct {
		// steady and boot are how late the decision loop wakes, by the monotonic and the boot-time clock.
		steady, boot time.Duration
	}{
		"a stalled process":                   {steady: stall, boot: stall},
		"a suspended machine":                 {boot: stall},
		"a machine without a boot-time clock": {steady: stall, boot: -wait},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var boot time.Duration
			s := newStallDetector(func() time.Duration { return boot })
			now := model.Instant(time.Minute)
			s.expect(now, wait)
			now, boot = now.Add(wait+tc.steady), wait+tc.boot
			is.Equal(s.wake(now), stall)
			is.True(s.stale(now))
			is.Equal(s.wake(now.Add(time.Millisecond)), time.Duration(0))
			s.expect(now.Add(time.Millisecond), 0)
			is.Equal(s.wake(now.Add(2*time.Millisecond)), time.Duration(0))
		})
	}
}
