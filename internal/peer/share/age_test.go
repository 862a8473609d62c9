package share_test

import (
	"context"
	"net"
	"net/netip"
	"net/rpc"
	"testing"
	"time"

	"github.com/matryer/is"

	"hawthorncourse/internal/core/model"
	"hawthorncourse/internal/peer/share"
)

// EarlierReply is the reply of a build that does not state how long it held the poll.
type EarlierReply struct {
	Revision uint64
	Age      int64
	Scope    uint8
}

// earlierServer replies after a delay like such a build.
type earlierServer struct {
	delay time.Duration
	reply EarlierReply
}

// Next has the signature of the RPC.
func (s *earlierServer) Next(_ share.NextArgs, reply *EarlierReply) error {
	time.Sleep(s.delay)
	*reply = s.reply
	return nil
}

// statingServer replies after a delay and states how long it held the poll.
type statingServer struct {
	delay time.Duration
	reply share.NextReply
}

// Next has the signature of the RPC.
func (s *statingServer) Next(_ share.NextArgs, reply *share.NextReply) error {
	time.Sleep(s.delay)
	*reply = s.reply
	return nil
}

// TestAgeAtArrival guards against snapshots that count as younger than they are, and against a peer of an earlier build that counts as outdated because its
// replies do not say how long it held the poll.
func TestAgeAtArrival(t *testing.T) {
	const age, delay, wait = 300 * time.Millisecond, 120 * time.Millisecond, 80 * time.Millisecond
	states := func(held time.Duration) any {
		return &statingServer{delay: delay, reply: share.NextReply{Revision: 4, Age: int64(age), Held: int64(held), Scope: 1}}
	}
	earlier := &earlierServer{delay: delay, reply: EarlierReply{Revision: 4, Age: int64(age), Scope: 1}}
	cases := map[string]struct {
		server any
		wait   time.Duration
		// added is what the caller adds to the age in the reply if the call takes no longer than delay.
		added time.Duration
	}{
		"not held":                               {server: states(1), wait: wait, added: delay},
		"held for a part":                        {server: states(wait / 2), wait: wait, added: delay - wait/2},
		"held for longer than the call":          {server: states(time.Hour), wait: wait},
		"earlier build, no wait":                 {server: earlier, added: delay},
		"earlier build, longer than the wait":    {server: earlier, wait: wait, added: delay - wait},
		"earlier build, answers within the wait": {server: earlier, wait: time.Second},
	}
	polls := map[string]func(*share.Share, context.Context, netip.AddrPort, model.Snapshot, time.Duration) (model.Snapshot, error){
		"poll": (*share.Share).Poll, "poll as a reader": (*share.Share).PollAsReader,
	}
	for name, tc := range cases {
		for kind, poll := range polls {
			t.Run(name+", "+kind, func(t *testing.T) {
				p := newPair(t)
				peer, start := serveNext(p, tc.server), time.Now()
				snap, err := poll(p.poller, p.ctx, peer, model.Snapshot{}, tc.wait)
				took := time.Since(start)
				p.NoErr(err)
				t.Logf("age %v, the call took %v", snap.Age, took)
				p.True(snap.Age >= age+tc.added)
				p.True(snap.Age <= age+tc.added+took-delay)
			})
		}
	}
}

// serveNext serves polls with the given receiver.
func serveNext(p *pair, receiver any) netip.AddrPort {
	p.Helper()
	srv := rpc.NewServer()
	p.NoErr(srv.RegisterName("Share", receiver))
	l, err := net.Listen("tcp", "127.0.0.1:0")
	p.NoErr(err)
	context.AfterFunc(p.ctx, func() { _ = l.Close() })
	go func() {
		if conn, err := l.Accept(); err == nil {
			srv.ServeConn(conn)
		}
	}()
	return netip.MustParseAddrPort(l.Addr().String())
}

// TestReplyStatesTimeHeld checks that a reply states how long the poll was held, and that a caller of an earlier build can read it.
func TestReplyStatesTimeHeld(t *testing.T) {
	const wait = 100 * time.Millisecond
	is := is.New(t)
	p := newPair(t)
	p.reader.Publish(newSnapshot(10, 2, 2))
	client, err := rpc.Dial("tcp", p.readerAddr.String())
	is.NoErr(err)
	defer client.Close()
	for _, wait := range []time.Duration{wait, 0} {
		var reply share.NextReply
		start := time.Now()
		is.NoErr(client.Call("Share.Next", share.NextArgs{From: "asker", Wait: int64(wait)}, &reply))
		is.True(time.Duration(reply.Held) >= max(wait, 1))
		is.True(time.Duration(reply.Held) <= time.Since(start))
	}
	var old EarlierReply
	is.NoErr(client.Call("Share.Next", share.NextArgs{From: "asker"}, &old))
	is.Equal(old.Revision, uint64(10))
	is.True(old.Age > 0)
}
