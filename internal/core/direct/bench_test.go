package direct_test

import (
	"fmt"
	"net/netip"
	"runtime"
	"testing"
	"time"

	"hawthorncourse/internal/core/direct"
	"hawthorncourse/internal/core/model"
)

func benchEngine(upstreams int) *direct.Engine {
	e := direct.New(direct.Config{Domain: "east", Seed: 1, Limits: direct.Limits{FlowLife: time.Minute}})
	e.SetRoutes(routeTable(1))
	items := make([]model.Registration, 0, upstreams)
	for n := range upstreams {
		u := registration(n+1, "east")
		u.ID = model.UpstreamID(fmt.Sprintf("desk-%x", n+1))
		items = append(items, u)
	}
	e.Roster().Sync(1, model.Listing[model.Registration]{Items: items})
	e.SetReady(1)
	e.SetClock(sharedTime(1))
	return e
}

// BenchmarkOpen opens flows with few and many upstreams to choose from.
func BenchmarkOpen(b *testing.B) {
	for _, n := range []int{14, 120, 1200} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			e := benchEngine(n)
			now := model.Instant(time.Minute)
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				now = now.Add(time.Millisecond)
				seg := model.Segment{Flow: benchFlow(i), Syn: true, Raw: []byte{1}}
				e.Packet(now, &seg)
				seg = model.Segment{Flow: benchFlow(i), Reset: true, HasAck: true}
				e.Packet(now, &seg)
			}
		})
	}
}

// BenchmarkRelay forwards data packets of one open flow.
func BenchmarkRelay(b *testing.B) {
	e := benchEngine(14)
	now := model.Instant(time.Minute)
	seg := model.Segment{Flow: benchFlow(1), HasAck: true, Tag: e.Roster().ByService("desk")[0].Tag, Seq: 1, AckSeq: 1, Size: 100, Raw: []byte{1}}
	b.ReportAllocs()
	for b.Loop() {
		now = now.Add(time.Millisecond)
		seg.Seq += 100
		seg.AckSeq += 50
		e.Packet(now, &seg)
		e.TakeSamples()
	}
}

// BenchmarkMemory reports the heap bytes per open flow.
func BenchmarkMemory(b *testing.B) {
	for _, n := range []int{10_000, 100_000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			for b.Loop() {
				e := benchEngine(14)
				tag := e.Roster().ByService("desk")[0].Tag
				var before, after runtime.MemStats
				runtime.GC()
				runtime.ReadMemStats(&before)
				for i := range n {
					e.Packet(model.Instant(time.Minute), &model.Segment{Flow: benchFlow(i), HasAck: true, Tag: tag, Seq: 1, AckSeq: 1, Size: 100, Raw: []byte{1}})
					e.TakeSamples()
				}
				runtime.GC()
				runtime.ReadMemStats(&after)
				b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/float64(n), "B/flow")
				runtime.KeepAlive(e)
			}
		})
	}
}

func benchFlow(i int) model.FlowKey {
	caller := netip.AddrPortFrom(netip.AddrFrom4([4]byte{100, 64, byte(i >> 22), byte(i >> 14)}), uint16(1024+i&0x3fff))
	return model.FlowKey{Caller: caller, Service: feedAddress}
}
