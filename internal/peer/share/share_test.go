package share_test

import (
	"context"
	"fmt"
	"net"
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"

	"hawthorncourse/internal/base/count"
	"hawthorncourse/internal/core/model"
	"hawthorncourse/internal/peer/share"
)

// pair is an instance that reads and one that asks it.
type pair struct {
	*is.I
	ctx           context.Context
	reader, asker *share.Share
	// heard takes what each instance hears of doubt.
	heard    map[model.InstanceID]chan model.Suspicion
	at       netip.AddrPort
	counts   *count.Set
	believed model.Snapshot
}

func newPair(t *testing.T) *pair {
	t.Helper()
	p := &pair{I: is.New(t), counts: count.New(), heard: map[model.InstanceID]chan model.Suspicion{}}
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	t.Cleanup(cancel)
	p.ctx = ctx
	start := func(id model.InstanceID, counts *count.Set) (*share.Share, netip.AddrPort) {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		p.NoErr(err)
		s := share.New(share.Config{Self: id, Listener: l, Ordinals: numbers{"asker": {Index: 2, Count: 5}}, Counts: counts, OnSuspicion: p.hear(id)})
		go func() { _ = s.Run(ctx) }()
		return s, netip.MustParseAddrPort(l.Addr().String())
	}
	p.reader, p.at = start("reader", p.counts)
	p.asker, _ = start("asker", count.New())
	return p
}

// hear returns what an instance does with word of doubt.
func (p *pair) hear(id model.InstanceID) func(model.Suspicion) {
	heard := make(chan model.Suspicion, 100)
	p.heard[id] = heard
	return func(d model.Suspicion) { heard <- d }
}

// numbers holds the number of each instance.
type numbers map[model.InstanceID]model.Ordinal

// Ordinal implements share.Places.
func (n numbers) Ordinal(id model.InstanceID) model.Ordinal {
	return n[id]
}

func knowledge(rev model.Revision, upstreams, routes int) model.Snapshot {
	k := model.Snapshot{Revision: rev, Out: []model.DomainID{"east"}}
	for n := range upstreams {
		k.Upstreams.Items = append(k.Upstreams.Items, model.Registration{
			ID: model.UpstreamID(fmt.Sprintf("i-%x", n+1)), Number: model.EndpointNumber(n + 1), Revision: 1, Service: "desk", Domain: "east",
			Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(n >> 8), byte(n)}), 80), Boot: 5, Slots: 2, ColdFor: time.Second, Draining: n%2 == 0,
		})
	}
	k.Routes = model.RouteTable{Version: 3, Revision: 1, FlowIdle: time.Minute, Services: []model.ServiceLimits{{ID: "desk", ColdRate: 1.5, ColdFor: time.Second, Connections: 9}}}
	for n := range routes {
		k.Routes.Routes = append(k.Routes.Routes, model.Route{
			Name: fmt.Sprintf("r-%d", n), Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{198, 18, 0, byte(n)}), 443), Kind: model.RouteIdempotent,
			Timeout: time.Second, Targets: []model.Target{{Service: "desk", Weight: 1}},
		})
	}
	return k
}

// tell publishes knowledge and lets the other ask; it returns the bytes that the answer took.
func (p *pair) tell(k model.Snapshot) int64 {
	p.Helper()
	before := p.sent()
	p.reader.Publish(k)
	got, err := p.asker.Poll(p.ctx, p.at, p.believed, 0)
	p.NoErr(err)
	p.Equal(got.Ordinal, model.Ordinal{Index: 2, Count: 5})
	got.Age, got.GraceLeft, got.Ordinal, k.Age, k.GraceLeft = 0, 0, model.Ordinal{}, 0, 0
	p.Equal(got, k)
	p.believed = got
	return p.sent() - before
}

// sent returns the bytes that the reader has sent; counters are reported twice a second.
func (p *pair) sent() int64 {
	time.Sleep(600 * time.Millisecond)
	for _, total := range p.counts.Totals() {
		if total.Name == "share.bytes_out" {
			return total.Value
		}
	}
	return 0
}

// TestChanges replays a rolling replacement of upstreams and changes of routes: every state arrives whole, and each costs
// a small part of the first.
func TestChanges(t *testing.T) {
	p := newPair(t)
	all := p.tell(knowledge(10, 150, 40))

	changed := knowledge(11, 150, 40)
	changed.Upstreams.Items[7].Revision, changed.Upstreams.Items[7].Draining = 11, true
	p.True(p.tell(changed) < all/10)

	gone := knowledge(12, 149, 40)
	gone.Upstreams.Items[7] = changed.Upstreams.Items[7]
	p.True(p.tell(gone) < all/10)

	routes := knowledge(13, 149, 41)
	routes.Upstreams.Items[7] = changed.Upstreams.Items[7]
	routes.Routes.Revision, routes.Routes.Version = 13, 9
	routes.Routes.Routes = append(routes.Routes.Routes[1:], model.Route{Name: "r-0", Address: routes.Routes.Routes[0].Address, Kind: model.RouteOnce,
		Targets: []model.Target{{Service: "claims", Weight: 2}}})
	before := p.believed
	p.reader.Publish(routes)
	got, err := p.asker.Poll(p.ctx, p.at, before, 0)
	p.NoErr(err)
	p.Equal(len(got.Routes.Routes), 41)
	p.Equal(got.Routes.Routes[0], routes.Routes.Routes[40])
	p.believed = got

	same := routes
	same.Out = nil
	same.Revision = 14
	p.reader.Publish(same)
	got, err = p.asker.Poll(p.ctx, p.at, p.believed, 0)
	p.NoErr(err)
	p.Equal(len(got.Out), 0)
}

// TestBehind checks that a caller that is too far behind, or knows nothing, gets everything.
func TestBehind(t *testing.T) {
	p := newPair(t)
	_, err := p.asker.Poll(p.ctx, p.at, model.Snapshot{}, 0)
	p.True(err != nil)
	for rev := model.Revision(10); rev < 60; rev++ {
		p.reader.Publish(knowledge(rev, 20, 3))
	}
	for _, have := range []model.Snapshot{{}, {Revision: 5}, knowledge(12, 3, 1)} {
		got, err := p.asker.Poll(p.ctx, p.at, have, 0)
		p.NoErr(err)
		p.Equal(got.Revision, model.Revision(59))
		p.Equal(len(got.Upstreams.Items), 20)
	}
}

// TestSameRevision replays two instances that have read different changes beyond the same revision: what the one lacks of the other comes
// with the next reply.
func TestSameRevision(t *testing.T) {
	p := newPair(t)
	asker, reader := knowledge(181, 3, 3), knowledge(181, 2, 3)
	asker.Routes.Revision, reader.Routes.Revision, reader.Routes.Version = 5, 192, 5
	reader.Routes.Routes = reader.Routes.Routes[1:]
	p.reader.Publish(reader)
	next := reader
	next.Revision, next.OutRevision = 283, 283
	p.reader.Publish(next)
	got, err := p.asker.Poll(p.ctx, p.at, asker, 0)
	p.NoErr(err)
	p.Equal(got.Routes, next.Routes)
	p.Equal(got.Upstreams.Items, next.Upstreams.Items)
}

// TestWait checks that a caller that waits hears of the next confirmation at once, and how old it is.
func TestWait(t *testing.T) {
	p := newPair(t)
	k := knowledge(10, 5, 1)
	p.reader.Publish(k)
	time.AfterFunc(50*time.Millisecond, func() {
		k.Age, k.GraceLeft = 20*time.Millisecond, time.Second
		p.reader.Publish(k)
	})
	began := time.Now()
	got, err := p.asker.Poll(p.ctx, p.at, k, 5*time.Second)
	p.NoErr(err)
	p.True(time.Since(began) < 3*time.Second)
	p.True(got.Age >= 20*time.Millisecond && got.Age < 3*time.Second)
	p.True(got.GraceLeft > 0 && got.GraceLeft <= time.Second)
}

// TestDoubt checks that what one instance found silent reaches the reader and, at once, those that wait there, once each.
func TestDoubt(t *testing.T) {
	p := newPair(t)
	k := knowledge(10, 5, 1)
	p.reader.Publish(k)
	ask := func(wait time.Duration) {
		_, err := p.asker.Poll(p.ctx, p.at, k, wait)
		p.NoErr(err)
	}
	ask(0)
	word := model.Suspicion{Upstreams: []model.UpstreamID{"a", "b"}, Domains: []model.DomainID{"east"}}
	time.AfterFunc(50*time.Millisecond, func() { p.NoErr(p.asker.SendSuspicion(p.ctx, p.at, word)) })
	began := time.Now()
	ask(5 * time.Second)
	p.True(time.Since(began) < 3*time.Second)
	p.Equal(<-p.heard["reader"], word)
	p.Equal(<-p.heard["asker"], word)

	// What comes while nobody waits is told with the next question, which does not wait.
	for range 3 {
		p.reader.BroadcastSuspicion(model.Suspicion{Upstreams: []model.UpstreamID{"c"}})
	}
	ask(5 * time.Second)
	p.Equal(<-p.heard["asker"], model.Suspicion{Upstreams: []model.UpstreamID{"c", "c", "c"}})
	ask(0)
	p.Equal(len(p.heard["asker"]), 0)

	// A flood is bounded.
	for range 1000 {
		p.reader.BroadcastSuspicion(word)
	}
	ask(0)
	p.True(len((<-p.heard["asker"]).Domains) <= 20)
}
