package share_test

import (
	"context"
	"fmt"
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

// pair is a reader and an instance that polls it.
type pair struct {
	*is.I
	ctx            context.Context
	reader, poller *share.Share
	// suspicions receives the suspicions that each instance gets.
	suspicions map[model.InstanceID]chan model.Suspicion
	readerAddr netip.AddrPort
	pollerAddr netip.AddrPort
	counts     *count.Set
	// sent is the number of bytes that the reader has sent.
	sent  atomic.Int64
	known model.Snapshot
}

func newPair(t *testing.T) *pair {
	t.Helper()
	p := &pair{I: is.New(t), counts: count.New(), suspicions: map[model.InstanceID]chan model.Suspicion{}}
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	t.Cleanup(cancel)
	p.ctx = ctx
	start := func(id model.InstanceID, counts *count.Set, onSent func(int)) (*share.Share, netip.AddrPort) {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		p.NoErr(err)
		s := share.New(share.Config{Self: id, Listener: l, Ordinals: ordinals{"asker": {Index: 2, Count: 5}}, Counts: counts, OnSuspicion: p.recordSuspicions(id), OnSent: onSent})
		go func() { _ = s.Run(ctx) }()
		return s, netip.MustParseAddrPort(l.Addr().String())
	}
	p.reader, p.readerAddr = start("reader", p.counts, func(n int) { p.sent.Add(int64(n)) })
	p.poller, p.pollerAddr = start("asker", count.New(), nil)
	return p
}

// recordSuspicions returns the OnSuspicion callback of an instance.
func (p *pair) recordSuspicions(id model.InstanceID) func(model.Suspicion) {
	received := make(chan model.Suspicion, 100)
	p.suspicions[id] = received
	return func(susp model.Suspicion) { received <- susp }
}

// ordinals is an OrdinalAssigner with fixed ordinals.
type ordinals map[model.InstanceID]model.Ordinal

// Ordinal implements share.OrdinalAssigner.
func (o ordinals) Ordinal(id model.InstanceID) model.Ordinal {
	return o[id]
}

func newSnapshot(rev model.Revision, upstreams, routes int) model.Snapshot {
	snap := model.Snapshot{Revision: rev, Out: []model.DomainID{"east"}}
	for n := range upstreams {
		snap.Upstreams.Items = append(snap.Upstreams.Items, model.Registration{
			ID: model.UpstreamID(fmt.Sprintf("i-%x", n+1)), Number: model.EndpointNumber(n + 1), Revision: 1, Service: "desk", Domain: "east",
			Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(n >> 8), byte(n)}), 80), Boot: 5, Slots: 2, ColdFor: time.Second, Draining: n%2 == 0,
		})
	}
	snap.Routes = model.RouteTable{Version: 3, Revision: 1, FlowIdle: time.Minute, Services: []model.ServiceLimits{{ID: "desk", ColdRate: 1.5, ColdFor: time.Second, Connections: 9}}}
	for n := range routes {
		snap.Routes.Routes = append(snap.Routes.Routes, model.Route{
			Name: fmt.Sprintf("r-%d", n), Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{198, 18, 0, byte(n)}), 443), Kind: model.RouteIdempotent,
			Timeout: time.Second, Targets: []model.Target{{Service: "desk", Weight: 1}},
		})
	}
	return snap
}

// TestChangesAfterRestore checks that a poll after a restore of the store returns the complete snapshot although revisions were given out again for
// other contents, and that its reply holds only what differs.
func TestChangesAfterRestore(t *testing.T) {
	p := newPair(t)
	all := p.publishAndPoll(newSnapshot(10, 150, 40))

	restored := newSnapshot(10, 150, 40)
	restored.Era, restored.Upstreams.Era, restored.Routes.Era = 1, 1, 1
	restored.Upstreams.Items[7].Draining = true
	restored.Routes.Routes[3].Timeout = time.Minute
	p.True(p.publishAndPoll(restored) < all/10)
}

// publishAndPoll publishes a snapshot, polls it and checks that it arrives unchanged. It returns the size of the reply in bytes.
func (p *pair) publishAndPoll(snap model.Snapshot) int64 {
	p.Helper()
	before := p.sent.Load()
	p.reader.Publish(snap)
	got, err := p.poller.Poll(p.ctx, p.readerAddr, p.known, 0)
	p.NoErr(err)
	p.Equal(got.Ordinal, model.Ordinal{Index: 2, Count: 5})
	got.Age, got.GraceLeft, got.Ordinal, snap.Age, snap.GraceLeft = 0, 0, model.Ordinal{}, 0, 0
	p.Equal(got, snap)
	p.known = got
	return p.bytesSentSince(before)
}

// bytesSentSince returns the bytes that the reader has sent beyond the given number. The last of them may be counted shortly after their arrival.
func (p *pair) bytesSentSince(before int64) int64 {
	p.Helper()
	last := before
	for p.ctx.Err() == nil {
		time.Sleep(50 * time.Millisecond)
		now := p.sent.Load()
		if now == last && now > before {
			return now - before
		}
		last = now
	}
	p.NoErr(p.ctx.Err())
	return 0
}

// TestChanges checks that a poll after changes of upstreams and routes returns the complete snapshot, and that its reply is small compared to
// the first, full one.
func TestChanges(t *testing.T) {
	p := newPair(t)
	all := p.publishAndPoll(newSnapshot(10, 150, 40))

	changed := newSnapshot(11, 150, 40)
	changed.Upstreams.Items[7].Revision, changed.Upstreams.Items[7].Draining = 11, true
	p.True(p.publishAndPoll(changed) < all/10)

	deleted := newSnapshot(12, 149, 40)
	deleted.Upstreams.Items[7] = changed.Upstreams.Items[7]
	p.True(p.publishAndPoll(deleted) < all/10)

	routes := newSnapshot(13, 149, 41)
	routes.Upstreams.Items[7] = changed.Upstreams.Items[7]
	routes.Routes.Revision, routes.Routes.Version = 13, 9
	routes.Routes.Routes = append(routes.Routes.Routes[1:], model.Route{Name: "r-0", Address: routes.Routes.Routes[0].Address, Kind: model.RouteOnce,
		Targets: []model.Target{{Service: "claims", Weight: 2}}})
	before := p.known
	p.reader.Publish(routes)
	got, err := p.poller.Poll(p.ctx, p.readerAddr, before, 0)
	p.NoErr(err)
	p.Equal(len(got.Routes.Routes), 41)
	p.Equal(got.Routes.Routes[0], routes.Routes.Routes[40])
	p.known = got

	same := routes
	same.Out = nil
	same.Revision = 14
	p.reader.Publish(same)
	got, err = p.poller.Poll(p.ctx, p.readerAddr, p.known, 0)
	p.NoErr(err)
	p.Equal(len(got.Out), 0)
}

// TestFullReply checks that a caller that is too far behind, or has no snapshot, gets a full reply.
func TestFullReply(t *testing.T) {
	p := newPair(t)
	_, err := p.poller.Poll(p.ctx, p.readerAddr, model.Snapshot{}, 0)
	p.True(err != nil)
	for rev := model.Revision(10); rev < 60; rev++ {
		p.reader.Publish(newSnapshot(rev, 20, 3))
	}
	for _, have := range []model.Snapshot{{}, {Revision: 5}, newSnapshot(12, 3, 1)} {
		got, err := p.poller.Poll(p.ctx, p.readerAddr, have, 0)
		p.NoErr(err)
		p.Equal(got.Revision, model.Revision(59))
		p.Equal(len(got.Upstreams.Items), 20)
	}
}

// TestSameRevision checks that a poll between instances whose snapshots have the same revision but different contents returns the reader's
// contents. Snapshots may differ that way, as their parts may hold changes after their revision.
func TestSameRevision(t *testing.T) {
	p := newPair(t)
	pollerSnap, readerSnap := newSnapshot(181, 3, 3), newSnapshot(181, 2, 3)
	pollerSnap.Routes.Revision, readerSnap.Routes.Revision, readerSnap.Routes.Version = 5, 192, 5
	readerSnap.Routes.Routes = readerSnap.Routes.Routes[1:]
	p.reader.Publish(readerSnap)
	next := readerSnap
	next.Revision, next.OutRevision = 283, 283
	p.reader.Publish(next)
	got, err := p.poller.Poll(p.ctx, p.readerAddr, pollerSnap, 0)
	p.NoErr(err)
	p.Equal(got.Routes, next.Routes)
	p.Equal(got.Upstreams.Items, next.Upstreams.Items)
}

// TestWait checks that a waiting poll returns at the next publication, with the age and the rest of the grace period.
func TestWait(t *testing.T) {
	p := newPair(t)
	snap := newSnapshot(10, 5, 1)
	p.reader.Publish(snap)
	later := snap
	later.Age, later.GraceLeft = 20*time.Millisecond, time.Second
	time.AfterFunc(50*time.Millisecond, func() { p.reader.Publish(later) })
	start := time.Now()
	got, err := p.poller.Poll(p.ctx, p.readerAddr, snap, 5*time.Second)
	p.NoErr(err)
	p.True(time.Since(start) < 3*time.Second)
	p.True(got.Age >= 20*time.Millisecond && got.Age < 3*time.Second)
	p.True(got.GraceLeft > 0 && got.GraceLeft <= time.Second)
}

// TestSuspicion checks that a suspicion reaches the reader and immediately, exactly once, each instance that polls it.
func TestSuspicion(t *testing.T) {
	p := newPair(t)
	snap := newSnapshot(10, 5, 1)
	p.reader.Publish(snap)
	poll := func(wait time.Duration) {
		_, err := p.poller.Poll(p.ctx, p.readerAddr, snap, wait)
		p.NoErr(err)
	}
	poll(0)
	suspicion := model.Suspicion{Upstreams: []model.UpstreamID{"a", "b"}, Domains: []model.DomainID{"east"}}
	time.AfterFunc(50*time.Millisecond, func() { p.NoErr(p.poller.SendSuspicion(p.ctx, p.readerAddr, suspicion)) })
	start := time.Now()
	poll(5 * time.Second)
	p.True(time.Since(start) < 3*time.Second)
	p.Equal(<-p.suspicions["reader"], suspicion)
	p.Equal(<-p.suspicions["asker"], suspicion)

	// Suspicions without a waiting poll come with the next poll, which does not wait.
	for range 3 {
		p.reader.BroadcastSuspicion(model.Suspicion{Upstreams: []model.UpstreamID{"c"}})
	}
	poll(5 * time.Second)
	p.Equal(<-p.suspicions["asker"], model.Suspicion{Upstreams: []model.UpstreamID{"c", "c", "c"}})
	poll(0)
	p.Equal(len(p.suspicions["asker"]), 0)

	// The broadcast rate is limited.
	for range 1000 {
		p.reader.BroadcastSuspicion(suspicion)
	}
	poll(0)
	p.True(len((<-p.suspicions["asker"]).Domains) <= 20)
}

// TestPollAsReader checks that the reader of another failure domain gets the reader records with every reply, and no ordinal and no suspicions.
func TestPollAsReader(t *testing.T) {
	p := newPair(t)
	records := []model.ReaderRecord{{Domain: "east", Holder: "reader", Control: netip.MustParseAddrPort("10.0.0.1:8166"), Revision: 4}}
	snap := newSnapshot(10, 5, 1)
	snap.Readers = records
	p.reader.Publish(snap)
	have := model.Snapshot{}
	for range 2 {
		got, err := p.poller.PollAsReader(p.ctx, p.readerAddr, have, 0)
		p.NoErr(err)
		p.Equal(got.Readers, records)
		p.Equal(got.Ordinal, model.Ordinal{})
		p.Equal(len(got.Upstreams.Items), 5)
		p.reader.BroadcastSuspicion(model.Suspicion{Upstreams: []model.UpstreamID{"a"}})
		have = got
	}
	p.Equal(len(p.suspicions["asker"]), 0)
	plain, err := p.poller.Poll(p.ctx, p.readerAddr, have, 0)
	p.NoErr(err)
	p.Equal(len(plain.Readers), 0)
}
