package engine_test

import (
	"fmt"
	"net/netip"
	"runtime"
	"testing"
	"time"

	"hawthorncourse/internal/core/bind"
	"hawthorncourse/internal/core/engine"
	"hawthorncourse/internal/core/model"
)

// benchEngine returns an engine that owns every slot and whose upstreams are warm at the returned time.
func benchEngine(b *testing.B, kind model.Kind) (*engine.Engine, *model.Document, model.Instant) {
	b.Helper()
	doc := worldDocument(1)
	doc.Services[0].Kind = kind
	for i := range doc.Services[0].Upstreams {
		up := &doc.Services[0].Upstreams[i]
		up.Domain, up.Slots, up.Connections, up.ColdFor = "east", 1000, 1_000_000, 0
	}
	doc.Timing.WarmLease = time.Hour
	self := model.Member{ID: "instance-0", Domain: "east", Boot: 1, State: model.MemberAlive}
	e := engine.New(engine.Config{Self: self, Start: time.Now(), Seed: 1, StreamLimit: 1_000_000})
	e.SetKeys(bind.Keys{Version: 1, List: []bind.Key{{Epoch: 1}}})
	e.SetDocument(0, doc)
	now := model.Instant(0)
	for range 100 {
		now = now.Add(step)
		e.Tick(now)
	}
	for _, up := range doc.Services[0].Upstreams {
		e.Answer(now, &model.Answer{Flow: benchFlow(doc, 0), Outcome: model.OutcomeControl, From: up.Address, Boot: 7})
	}
	return e, doc, now
}

func benchFlow(doc *model.Document, n int) model.FlowKey {
	ip := netip.AddrFrom4([4]byte{10, byte(n >> 24), byte(n >> 16), byte(n >> 8)})
	return model.FlowKey{Caller: netip.AddrPortFrom(ip, uint16(1024+n&0xff)), Service: doc.Services[0].Address}
}

func streamPacket(doc *model.Document, n int, binding []byte) *model.Packet {
	return &model.Packet{Flow: benchFlow(doc, n), Class: model.ClassSticky, Token: model.NewToken([]byte("token")), Binding: binding}
}

// openStream opens a stream and returns its binding.
func openStream(b *testing.B, e *engine.Engine, doc *model.Document, now model.Instant, n int) []byte {
	b.Helper()
	actions := e.Packet(now, streamPacket(doc, n, nil))
	if len(actions) != 1 || actions[0].Verb != model.VerbChallenge {
		b.Fatalf("new stream got no binding: %+v", actions)
	}
	return actions[0].Binding
}

// BenchmarkEstablished measures one packet of a stream in the instance's table.
func BenchmarkEstablished(b *testing.B) {
	e, doc, now := benchEngine(b, model.KindCoAP)
	p := streamPacket(doc, 1, openStream(b, e, doc, now, 1))
	e.Packet(now, p)
	b.ReportAllocs()
	for b.Loop() {
		if e.Packet(now, p)[0].Verb != model.VerbForward {
			b.Fatal("packet was not forwarded")
		}
	}
}

// BenchmarkBound measures the first packet of a stream that another instance placed, which requires verification of its binding.
func BenchmarkBound(b *testing.B) {
	e, doc, now := benchEngine(b, model.KindCoAP)
	p := streamPacket(doc, 1, openStream(b, e, doc, now, 1))
	other := *p
	for range 40 {
		now = now.Add(step)
		e.Tick(now)
	}
	other.Binding = openStream(b, e, doc, now, 1)
	if string(other.Binding) == string(p.Binding) {
		b.Fatal("both streams got the same binding")
	}
	b.ReportAllocs()
	for n := 0; b.Loop(); n++ {
		if n%2 == 0 {
			e.Packet(now, p)
		} else {
			e.Packet(now, &other)
		}
	}
}

// BenchmarkRequest measures one idempotent request and its answer.
func BenchmarkRequest(b *testing.B) {
	e, doc, now := benchEngine(b, model.KindCoAP)
	b.ReportAllocs()
	for n := 0; b.Loop(); n++ {
		p := &model.Packet{Flow: benchFlow(doc, n%100_000), Class: model.ClassIdempotent}
		p.Token = model.NewToken([]byte{byte(n), byte(n >> 8), byte(n >> 16), byte(n >> 24)})
		a := e.Packet(now, p)[0]
		if a.Verb != model.VerbForward {
			b.Fatalf("request was not forwarded: %+v", a)
		}
		e.Answer(now, &model.Answer{Flow: p.Flow, Token: p.Token, Outcome: model.OutcomeDone, From: a.Address, Boot: 7})
		if n%1000 == 0 {
			now = now.Add(10 * time.Millisecond)
			e.Tick(now)
		}
	}
}

// BenchmarkFlow measures one datagram of an opaque flow in the instance's table.
func BenchmarkFlow(b *testing.B) {
	e, doc, now := benchEngine(b, model.KindDatagram)
	p := &model.Packet{Flow: benchFlow(doc, 1), Class: model.ClassFlow}
	e.Packet(now, p)
	b.ReportAllocs()
	for b.Loop() {
		if e.Packet(now, p)[0].Verb != model.VerbForward {
			b.Fatal("packet was not forwarded")
		}
	}
}

// BenchmarkMemory reports the memory used per flow for several numbers of flows.
func BenchmarkMemory(b *testing.B) {
	kinds := map[string]model.Kind{"stream": model.KindCoAP, "flow": model.KindDatagram}
	for name, kind := range kinds {
		for _, flows := range []int{10_000, 100_000, 300_000} {
			b.Run(fmt.Sprintf("%s/%d", name, flows), func(b *testing.B) {
				for b.Loop() {
					b.ReportMetric(bytesPerFlow(b, kind, flows), "B/flow")
				}
			})
		}
	}
}

func bytesPerFlow(b *testing.B, kind model.Kind, flows int) float64 {
	e, doc, now := benchEngine(b, kind)
	before := heap()
	for n := range flows {
		if kind == model.KindDatagram {
			e.Packet(now, &model.Packet{Flow: benchFlow(doc, n), Class: model.ClassFlow})
			continue
		}
		e.Packet(now, streamPacket(doc, n, openStream(b, e, doc, now, n)))
	}
	used := heap() - before
	runtime.KeepAlive(e)
	return float64(used) / float64(flows)
}

func heap() uint64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}
