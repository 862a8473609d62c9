package share_test

import (
	"fmt"
	"math"
	"net"
	"net/netip"
	"net/rpc"
	"testing"
	"time"

	"github.com/matryer/is"

	"hawthorncourse/internal/base/count"
	"hawthorncourse/internal/core/model"
	"hawthorncourse/internal/peer/share"
)

const (
	// longWait is the wait of a poll that must end early, and shortWait that of one that need not.
	longWait  = 5 * time.Second
	shortWait = 50 * time.Millisecond
)

func endedRuns(n int) (list []model.EndedRun) {
	for i := range n {
		list = append(list, model.EndedRun{Era: 3, Age: time.Duration(n-i) * time.Second, Replaced: i%2 == 0, Registration: model.Registration{
			ID: model.UpstreamID(fmt.Sprintf("i-%010x", i+1)), Number: model.EndpointNumber(i + 1), Revision: 9, Service: "desk", Domain: "east",
			Address: netip.MustParseAddrPort("10.0.0.1:80"), Boot: 5, Slots: 2, ColdFor: time.Second, Draining: true,
		}})
	}
	return list
}

// sameRuns checks that two lists are equal but for the time that one has been under way.
func sameRuns(is *is.I, got, want []model.EndedRun) {
	is.Helper()
	is.Equal(len(got), len(want))
	for n := range got {
		is.True(got[n].Age >= want[n].Age && got[n].Age < want[n].Age+time.Second)
		age := got[n].Age
		got[n].Age = want[n].Age
		is.Equal(got[n], want[n])
		got[n].Age = age
	}
}

// total closes the counters of the reader and returns the value of one.
func (p *pair) total(name string) int64 {
	p.Helper()
	p.NoErr(p.counts.Close())
	for _, t := range p.counts.Totals() {
		if t.Name == name {
			return t.Value
		}
	}
	return 0
}

// TestEndedRunsReachFollowers checks that ended runs reach a follower of the instance that knows them and, over the reader of another failure domain, a
// follower there, once and with their ages.
func TestEndedRunsReachFollowers(t *testing.T) {
	p := newPair(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	p.NoErr(err)
	follower := share.New(share.Config{Self: "follower", Listener: l, Ordinals: ordinals{}, Counts: count.New(), OnSuspicion: func(model.Suspicion) {}})
	go func() { _ = follower.Run(p.ctx) }()
	middle, middleAddr := p.poller, p.pollerAddr
	middle.SetWantEnded(true)
	follower.SetWantEnded(true)
	list := endedRuns(3)
	p.reader.Publish(newSnapshot(3, 2, 2))
	p.reader.PublishEnded(list)

	snap, err := middle.PollAsReader(p.ctx, p.readerAddr, model.Snapshot{}, longWait)
	p.NoErr(err)
	received := middle.TakeEnded()
	sameRuns(p.I, received, list)
	p.Equal(len(middle.TakeEnded()), 0)
	middle.Publish(snap)
	middle.PublishEnded(received)
	_, err = follower.Poll(p.ctx, middleAddr, model.Snapshot{}, longWait)
	p.NoErr(err)
	sameRuns(p.I, follower.TakeEnded(), list)

	sent := p.sent.Load()
	_, err = middle.PollAsReader(p.ctx, p.readerAddr, snap, shortWait)
	p.NoErr(err)
	p.Equal(len(middle.TakeEnded()), 0)
	p.True(p.sent.Load()-sent < 400)
	_, err = follower.Poll(p.ctx, middleAddr, snap, shortWait)
	p.NoErr(err)
	p.Equal(len(follower.TakeEnded()), 0)
}

// TestEndedRunsEndPolls checks that a change of the ended runs ends the polls that want it, and no others: it is of no use to instances that have seen the
// runs end.
func TestEndedRunsEndPolls(t *testing.T) {
	const wait = 400 * time.Millisecond
	cases := map[string]struct {
		want bool
		poll func(*pair, model.Snapshot) error
	}{
		"a follower that wants them": {want: true, poll: func(p *pair, have model.Snapshot) error {
			_, err := p.poller.Poll(p.ctx, p.readerAddr, have, wait)
			return err
		}},
		"a follower that does not": {poll: func(p *pair, have model.Snapshot) error {
			_, err := p.poller.Poll(p.ctx, p.readerAddr, have, wait)
			return err
		}},
		"a reader that wants them": {want: true, poll: func(p *pair, have model.Snapshot) error {
			_, err := p.poller.PollAsReader(p.ctx, p.readerAddr, have, wait)
			return err
		}},
		"a request": {want: true, poll: func(p *pair, _ model.Snapshot) error { return p.poller.RequestEnded(p.ctx, p.readerAddr, wait) }},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			p := newPair(t)
			p.reader.Publish(newSnapshot(3, 2, 2))
			p.poller.SetWantEnded(tc.want)
			have, err := p.poller.Poll(p.ctx, p.readerAddr, model.Snapshot{}, 0)
			p.NoErr(err)
			start := time.Now()
			time.AfterFunc(wait/4, func() { p.reader.PublishEnded(endedRuns(2)) })
			p.NoErr(tc.poll(p, have))
			p.Equal(time.Since(start) < wait, tc.want)
			p.Equal(len(p.poller.TakeEnded()) == 2, tc.want)
			start = time.Now()
			p.NoErr(tc.poll(p, have))
			p.True(time.Since(start) >= wait)
			p.Equal(len(p.poller.TakeEnded()), 0)
		})
	}
}

// TestManyEndedRuns checks that the list is bounded, that its newest runs are sent, that a poll for a first snapshot gets none, and that a list beyond the
// rate limit is not sent.
func TestManyEndedRuns(t *testing.T) {
	const limit = 2000
	p := newPair(t)
	p.poller.SetWantEnded(true)
	p.reader.Publish(newSnapshot(3, 2, 2))
	list := endedRuns(limit + 7)
	p.reader.PublishEnded(list)
	have, err := p.poller.Poll(p.ctx, p.readerAddr, model.Snapshot{}, 0)
	p.NoErr(err)
	p.Equal(len(p.poller.TakeEnded()), 0)
	sent := p.sent.Load()
	_, err = p.poller.Poll(p.ctx, p.readerAddr, have, shortWait)
	p.NoErr(err)
	t.Logf("%d bytes for %d runs", p.sent.Load()-sent, limit)
	sameRuns(p.I, p.poller.TakeEnded(), list[7:])
	p.reader.SetLinkMbps(0.001)
	p.reader.PublishEnded(list[:limit])
	_, err = p.poller.Poll(p.ctx, p.readerAddr, have, shortWait)
	p.NoErr(err)
	p.reader.PublishEnded(list[:limit-1])
	start := time.Now()
	_, err = p.poller.Poll(p.ctx, p.readerAddr, have, 300*time.Millisecond)
	p.NoErr(err)
	p.True(time.Since(start) >= 300*time.Millisecond)
	p.True(p.total("share.ended_refused") > 0)
	p.Equal(p.total("share.ended_omitted"), int64(7))
}

// OldArgs and OldReply are the arguments and the reply of a build that knows of no ended runs.
type OldArgs struct {
	From  string
	Have  uint64
	Wait  int64
	Heard uint64
}

type OldReply struct {
	Revision uint64
	Era      uint64
	Age      int64
	Scope    uint8
}

// oldServer is an instance of such a build.
type oldServer struct{}

// Next has the signature of the RPC.
func (oldServer) Next(_ OldArgs, reply *OldReply) error {
	*reply = OldReply{Revision: 4, Scope: 1}
	return nil
}

// TestEndedRunsAndEarlierBuild checks that instances of an earlier build and of this one poll each other.
func TestEndedRunsAndEarlierBuild(t *testing.T) {
	p := newPair(t)
	p.reader.Publish(newSnapshot(3, 2, 2))
	p.reader.PublishEnded(endedRuns(3))
	client, err := rpc.Dial("tcp", p.readerAddr.String())
	p.NoErr(err)
	defer client.Close()
	var reply OldReply
	p.NoErr(client.Call("Share.Next", OldArgs{From: "old"}, &reply))
	p.Equal(reply.Revision, uint64(3))

	srv := rpc.NewServer()
	p.NoErr(srv.RegisterName("Share", oldServer{}))
	l, err := net.Listen("tcp", "127.0.0.1:0")
	p.NoErr(err)
	defer l.Close()
	go srv.Accept(l)
	old := netip.MustParseAddrPort(l.Addr().String())
	p.poller.SetWantEnded(true)
	snap, err := p.poller.Poll(p.ctx, old, newSnapshot(4, 1, 1), shortWait)
	p.NoErr(err)
	p.Equal(snap.Revision, model.Revision(4))
	p.Equal(len(p.poller.TakeEnded()), 0)
	p.True(p.poller.RequestEnded(p.ctx, old, 0) != nil)
	_, err = p.poller.Poll(p.ctx, old, snap, 0)
	p.NoErr(err)
}

// slowOldServer is an instance of such a build that holds polls for as long as they ask.
type slowOldServer struct{}

// Next has the signature of the RPC.
func (slowOldServer) Next(args OldArgs, reply *OldReply) error {
	time.Sleep(time.Duration(args.Wait))
	*reply = OldReply{Revision: 4, Scope: 1}
	return nil
}

// TestEarlierBuildIsAskedOnce guards against polls that fail because a request for ended runs to the same peer, of an earlier build, closes their connection.
func TestEarlierBuildIsAskedOnce(t *testing.T) {
	p := newPair(t)
	srv := rpc.NewServer()
	p.NoErr(srv.RegisterName("Share", slowOldServer{}))
	l, err := net.Listen("tcp", "127.0.0.1:0")
	p.NoErr(err)
	defer l.Close()
	go srv.Accept(l)
	old := netip.MustParseAddrPort(l.Addr().String())
	p.poller.SetWantEnded(true)
	p.True(p.poller.RequestEnded(p.ctx, old, 0) != nil)
	polled := make(chan error, 1)
	go func() {
		_, err := p.poller.Poll(p.ctx, old, newSnapshot(4, 1, 1), 4*shortWait)
		polled <- err
	}()
	time.Sleep(shortWait)
	p.NoErr(p.poller.RequestEnded(p.ctx, old, 0))
	p.NoErr(<-polled)

	// Another failure says nothing about the build: the peer is asked again.
	p.NoErr(l.Close())
	gone := netip.MustParseAddrPort("127.0.0.1:1")
	for range 2 {
		p.True(p.poller.RequestEnded(p.ctx, gone, 0) != nil)
	}
}

// oddEndedServer replies to every poll and request with the same ended runs.
type oddEndedServer struct {
	list []share.EndedRun
}

// Next has the signature of the RPC.
func (s *oddEndedServer) Next(_ share.NextArgs, reply *share.NextReply) error {
	*reply = share.NextReply{Revision: 4, Scope: 1, Ended: s.list, EndedDigest: 7}
	return nil
}

// TestOddEndedRuns checks that ended runs which cannot be decoded are left out, and that those with odd numbers do no harm.
func TestOddEndedRuns(t *testing.T) {
	p := newPair(t)
	p.poller.SetWantEnded(true)
	srv := rpc.NewServer()
	p.NoErr(srv.RegisterName("Share", &oddEndedServer{list: []share.EndedRun{
		{}, {Upstream: share.Upstream{ID: "i-1", Address: "nowhere"}}, {Upstream: share.Upstream{ID: "i-2", Address: "10.0.0.1:80"}, Age: math.MinInt64},
		{Upstream: share.Upstream{ID: "i-3", Address: "10.0.0.1:80", Boot: math.MaxUint64}, Age: math.MaxInt64, Era: math.MaxUint64},
	}}))
	l, err := net.Listen("tcp", "127.0.0.1:0")
	p.NoErr(err)
	defer l.Close()
	go srv.Accept(l)
	_, err = p.poller.Poll(p.ctx, netip.MustParseAddrPort(l.Addr().String()), newSnapshot(4, 1, 1), shortWait)
	p.NoErr(err)
	p.Equal(len(p.poller.TakeEnded()), 2)
}
