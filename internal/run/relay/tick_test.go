package relay

import (
	"context"
	"net"
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"

	"hawthorncourse/internal/base/ring"
	"hawthorncourse/internal/core/direct"
	"hawthorncourse/internal/core/model"
	"hawthorncourse/internal/peer/share"
)

// TestTickDuringSteadyPackets guards against probes and expirations that wait as long as packets keep arriving at intervals below tickInterval: each packet
// sets the timer of the decision loop anew.
func TestTickDuringSteadyPackets(t *testing.T) {
	is := is.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer l.Close()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	service := netip.MustParseAddrPort("198.18.0.1:443")
	r := benchRelay(0)
	r.counters, r.commands, r.segments = newActionCounters(r.counts), ring.New[command](8), ring.New[model.Segment](64)
	r.start, r.stall, r.engine = time.Now().Add(-time.Minute), newStallDetector(func() time.Duration { return time.Duration(time.Now().UnixNano()) }), direct.New(direct.Config{})
	r.share = share.New(share.Config{Listener: l, Counts: r.counts})
	r.limits.Store(&Limits{})
	r.engine.SetRoutes(model.RouteTable{Version: 1, Revision: 1, Routes: []model.Route{{Name: "feed", Address: service, Targets: []model.Target{{Service: "desk", Weight: 1}}}}})
	r.engine.Roster().Sync(r.now(), model.Listing[model.Registration]{Items: []model.Registration{
		{ID: "a", Number: 1, Revision: 1, Service: "desk", Domain: "east", Boot: 1, Slots: 2, Address: netip.MustParseAddrPort(l.Addr().String())},
	}})
	r.engine.SetReady(r.now())
	done := make(chan struct{})
	go func() { defer close(done); _ = r.decide(ctx) }()

	r.submit(ctx, func(now model.Instant) { r.engine.Roster().Get("a").Health.MarkSuspect(now) })
	for end := time.Now().Add(time.Second); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		r.segments.Offer(model.Segment{Flow: model.FlowKey{Caller: netip.MustParseAddrPort("100.64.0.7:1"), Service: service}, HasAck: true, Size: 9, Raw: []byte{1}})
	}
	var suspect bool
	checked := make(chan struct{})
	r.submit(ctx, func(model.Instant) { suspect = r.engine.Roster().Get("a").Health.Suspect(); close(checked) })
	<-checked
	cancel()
	<-done
	is.True(!suspect)
}
