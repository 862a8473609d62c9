package share_test

import (
	"context"
	"net"
	"net/netip"
	"net/rpc"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"hawthorncourse/internal/base/count"
	"hawthorncourse/internal/core/model"
	"hawthorncourse/internal/load/gauge"
	"hawthorncourse/internal/peer/share"
)

// loadSink collects the loads that an instance receives.
type loadSink struct {
	mu    sync.Mutex
	calls []model.LoadReport
}

func (s *loadSink) add(r model.LoadReport) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls = append(s.calls, r)
}

// take returns the loads received since the last call by upstream.
func (s *loadSink) take() map[model.UpstreamID]model.UpstreamLoad {
	s.mu.Lock()
	defer s.mu.Unlock()
	loads := map[model.UpstreamID]model.UpstreamLoad{}
	for _, r := range s.calls {
		for _, l := range r.Loads {
			loads[l.ID] = l
		}
	}
	s.calls = nil
	return loads
}

// loadPeer is an instance that receives loads.
type loadPeer struct {
	*share.Share
	loadSink
	addr   netip.AddrPort
	counts *count.Set
	// stop ends the instance like a crash.
	stop context.CancelFunc
}

func newLoadPeer(t *testing.T, id model.InstanceID) *loadPeer {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	p := &loadPeer{addr: netip.MustParseAddrPort(l.Addr().String()), counts: count.New(), stop: cancel}
	p.Share = share.New(share.Config{Self: id, Listener: l, Ordinals: ordinals{}, Counts: p.counts, OnLoads: p.add, OnSuspicion: func(model.Suspicion) {}})
	go func() { _ = p.Run(ctx) }()
	return p
}

// loadsOf returns a report of the loads of a snapshot's upstreams; the load of each follows from its position. It omits those for which skip returns true.
func loadsOf(snap *model.Snapshot, age time.Duration, skip func(n int) bool) model.LoadReport {
	r := model.LoadReport{Digest: snap.Digest()}
	for n, u := range snap.Upstreams.Items {
		if !skip(n) {
			r.Loads = append(r.Loads, model.UpstreamLoad{ID: u.ID, Boot: u.Boot, Work: 3 * n, Known: true, Age: age})
		}
	}
	return r
}

func none(int) bool   { return false }
func odd(n int) bool  { return n%2 != 0 }
func even(n int) bool { return n%2 == 0 }

// TestFollowersGetLoads checks that a poll returns the published loads with their ages, in whatever order the poller has the upstreams.
func TestFollowersGetLoads(t *testing.T) {
	is := is.New(t)
	reader, follower := newLoadPeer(t, "reader"), newLoadPeer(t, "follower")
	snap := newSnapshot(10, 20, 2)
	reader.Publish(snap)
	r := loadsOf(&snap, 300*time.Millisecond, none)
	r.Loads[4].Age = 900 * time.Millisecond
	r.Loads[5] = model.UpstreamLoad{ID: r.Loads[5].ID, Boot: 5}
	r.Loads = r.Loads[:10]
	reader.PublishLoads(r)
	have := newSnapshot(9, 21, 2)
	items := have.Upstreams.Items
	items[0], items[7] = items[7], items[0]
	reader.Publish(have)
	reader.Publish(snap)
	start := time.Now()
	got, err := follower.Poll(t.Context(), reader.addr, have, 0)
	is.NoErr(err)
	is.Equal(got.Digest(), snap.Digest())
	took := time.Since(start)
	loads := follower.take()
	is.Equal(len(loads), 10)
	for n, sent := range r.Loads {
		got := loads[sent.ID]
		t.Logf("%d: %+v", n, got)
		is.Equal([]any{got.Work, got.Known, got.Boot}, []any{sent.Work, sent.Known, model.BootID(5)})
		is.True(got.Age >= sent.Age && got.Age <= sent.Age+took+100*time.Millisecond)
	}
	_, err = follower.Poll(t.Context(), reader.addr, got, 0)
	is.NoErr(err)
	is.Equal(len(follower.take()), 0) // The same loads are no news.
}

// TestLoadsOfAnotherSnapshot guards against loads that are taken for those of other upstreams: they are in the order of the upstreams of one snapshot.
func TestLoadsOfAnotherSnapshot(t *testing.T) {
	is := is.New(t)
	reader := newLoadPeer(t, "reader")
	snap := newSnapshot(10, 20, 2)
	reader.Publish(snap)
	other := newSnapshot(10, 19, 2)
	reader.PublishLoads(loadsOf(&other, 0, none))
	follower := newLoadPeer(t, "follower")
	_, err := follower.Poll(t.Context(), reader.addr, model.Snapshot{}, 0)
	is.NoErr(err)
	is.Equal(len(follower.take()), 0)

	reader.PublishLoads(loadsOf(&snap, 0, none))
	restarted := newSnapshot(11, 20, 2)
	restarted.Upstreams.Items[3].Boot, restarted.Upstreams.Items[3].Revision = 6, 11
	reader.Publish(restarted)
	_, err = follower.Poll(t.Context(), reader.addr, snap, 0)
	is.NoErr(err)
	loads := follower.take()
	is.Equal(len(loads), 19)
	_, ok := loads[snap.Upstreams.Items[3].ID]
	is.True(!ok) // The load of the previous run.
}

// TestInvalidLoads checks replies of earlier builds and with invalid loads: they are dropped, and the poll succeeds.
func TestInvalidLoads(t *testing.T) {
	snap := newSnapshot(10, 2, 1)
	two := gauge.Pack([]gauge.Report{{Running: 1, Slots: 1}, {Running: 2, Slots: 1}})
	cases := map[string]struct {
		reply share.NextReply
		want  int
	}{
		"earlier build":                  {},
		"loads with one age":             {reply: share.NextReply{Loads: two, LoadsOf: snap.Digest()}, want: 2},
		"loads of another snapshot":      {reply: share.NextReply{Loads: two, LoadsOf: snap.Digest() + 1}},
		"loads of no snapshot":           {reply: share.NextReply{Loads: two}},
		"too few":                        {reply: share.NextReply{Loads: two[:2], LoadsOf: snap.Digest()}},
		"half a load":                    {reply: share.NextReply{Loads: two[:3], LoadsOf: snap.Digest()}},
		"too many":                       {reply: share.NextReply{Loads: append(two[:4:4], 0, 1), LoadsOf: snap.Digest()}},
		"too few ages":                   {reply: share.NextReply{Loads: two, LoadsOf: snap.Digest(), LoadAges: []byte{1}}},
		"unknown":                        {reply: share.NextReply{Loads: []byte{255, 255, 255, 255}, LoadsOf: snap.Digest()}},
		"old":                            {reply: share.NextReply{Loads: two, LoadsOf: snap.Digest(), LoadAge: int64(gauge.MaxAge)}},
		"one is old":                     {reply: share.NextReply{Loads: two, LoadsOf: snap.Digest(), LoadAge: int64(time.Second), LoadAges: []byte{0, 200}}, want: 1},
		"an age below zero":              {reply: share.NextReply{Loads: two, LoadsOf: snap.Digest(), LoadAge: -1}},
		"an age that exceeds its number": {reply: share.NextReply{Loads: two, LoadsOf: snap.Digest(), LoadAge: 1<<63 - 1}},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			p := newPair(t)
			follower := newLoadPeer(t, "follower")
			tc.reply.Revision, tc.reply.Scope = 10, 1
			peer := serveNext(p, &oddServer{reply: tc.reply})
			_, err := follower.Poll(t.Context(), peer, snap, 0)
			p.NoErr(err)
			p.Equal(len(follower.take()), tc.want)
		})
	}
}

// earlierLoadsReply is the reply as a build without loads reads it.
type earlierLoadsReply struct {
	Revision uint64
	Index    int
}

// TestEarlierBuildPolls checks that an instance of a build without loads can read a reply with loads.
func TestEarlierBuildPolls(t *testing.T) {
	is := is.New(t)
	reader := newLoadPeer(t, "reader")
	snap := newSnapshot(10, 20, 2)
	reader.Publish(snap)
	reader.PublishLoads(loadsOf(&snap, 0, none))
	client, err := rpc.Dial("tcp", reader.addr.String())
	is.NoErr(err)
	defer client.Close()
	var reply earlierLoadsReply
	is.NoErr(client.Call("Share.Next", struct{ From string }{"old"}, &reply))
	is.Equal(reply.Revision, uint64(10))
}

// TestLoadsAgeOut checks that the loads of a reader that has died are not passed on for longer than they are valid.
func TestLoadsAgeOut(t *testing.T) {
	is := is.New(t)
	reader, next, follower := newLoadPeer(t, "reader"), newLoadPeer(t, "next"), newLoadPeer(t, "follower")
	snap := newSnapshot(10, 20, 2)
	reader.Publish(snap)
	reader.PublishLoads(loadsOf(&snap, gauge.MaxAge-500*time.Millisecond, none))
	next.Publish(snap)
	_, err := next.Poll(t.Context(), reader.addr, snap, 0)
	is.NoErr(err)
	is.Equal(len(next.take()), 20)
	reader.stop()
	_, err = follower.Poll(t.Context(), next.addr, snap, 0)
	is.NoErr(err)
	for _, l := range follower.take() {
		is.True(l.Age >= gauge.MaxAge-500*time.Millisecond)
	}
	time.Sleep(600 * time.Millisecond)
	late := newLoadPeer(t, "late")
	_, err = late.Poll(t.Context(), next.addr, snap, 0)
	is.NoErr(err)
	is.Equal(len(late.take()), 0)
}

// TestReadersExchangeLoads checks that the readers of other failure domains send the loads of their upstreams to the lead reader and get those of all,
// and that each knows its own loads after the lead reader has died.
func TestReadersExchangeLoads(t *testing.T) {
	is := is.New(t)
	lead, west, follower := newLoadPeer(t, "lead"), newLoadPeer(t, "west"), newLoadPeer(t, "follower")
	snap := newSnapshot(10, 20, 2)
	poll := func() {
		got, err := west.PollAsReader(t.Context(), lead.addr, snap, 0)
		is.NoErr(err)
		is.Equal(got.Digest(), snap.Digest())
	}
	lead.Publish(snap)
	west.Publish(snap)
	lead.PublishLoads(loadsOf(&snap, 0, odd))
	west.PublishLoads(loadsOf(&snap, 100*time.Millisecond, even))
	poll()
	is.Equal(len(west.take()), 10)
	is.Equal(len(lead.take()), 0) // A first poll cannot state how old its loads are at their arrival.
	poll()
	loads := lead.take()
	is.Equal(len(loads), 10)
	for _, l := range loads {
		t.Logf("%+v", l)
		is.True(l.Age >= 100*time.Millisecond && l.Age < time.Second)
	}
	_, err := follower.Poll(t.Context(), lead.addr, snap, 0)
	is.NoErr(err)
	is.Equal(len(follower.take()), 20)

	// The snapshot of the lead reader may be one ahead.
	next := newSnapshot(11, 21, 2)
	lead.Publish(next)
	west.PublishLoads(loadsOf(&snap, 0, even))
	poll2 := func() { _, err = west.PollAsReader(t.Context(), lead.addr, snap, 0) }
	time.Sleep(250 * time.Millisecond)
	west.PublishLoads(loadsOf(&snap, 0, even))
	poll2()
	is.NoErr(err)
	is.Equal(len(lead.take()), 10)

	lead.stop()
	// The connection is closed a moment after the stop.
	for end := time.Now().Add(time.Second); err == nil && time.Now().Before(end); poll2() {
		time.Sleep(10 * time.Millisecond)
	}
	is.True(err != nil)
	other := newLoadPeer(t, "other")
	_, err = other.Poll(t.Context(), west.addr, snap, 0)
	is.NoErr(err)
	is.Equal(len(other.take()), 20)
}

// TestDelayedArguments guards against loads that count as younger than they are because the poll that carried them was under way for a while.
func TestDelayedArguments(t *testing.T) {
	is := is.New(t)
	lead := newLoadPeer(t, "lead")
	snap := newSnapshot(10, 1, 2)
	lead.Publish(snap)
	client, err := rpc.Dial("tcp", lead.addr.String())
	is.NoErr(err)
	defer client.Close()
	var reply share.NextReply
	is.NoErr(client.Call("Share.Next", share.NextArgs{From: "west", Readers: true}, &reply))
	is.True(reply.LoadStamp != 0)
	time.Sleep(400 * time.Millisecond) // The time that the arguments are under way: the caller sent them 100 ms after the reply.
	args := share.NextArgs{
		From: "west", Readers: true, Have: snap.Digest(), Loads: []byte{0, 7}, LoadsOf: snap.Digest(), LoadAge: int64(50 * time.Millisecond),
		LoadStamp: reply.LoadStamp, LoadSince: int64(100 * time.Millisecond),
	}
	is.NoErr(client.Call("Share.Next", args, &share.NextReply{}))
	loads := lead.take()
	is.Equal(len(loads), 1)
	for _, l := range loads {
		is.True(l.Age >= 350*time.Millisecond)
	}
	// A time since the reply that is longer than the time since it was sent, and a stamp that this instance did not write, date nothing.
	for _, invalid := range []share.NextArgs{{LoadStamp: reply.LoadStamp, LoadSince: int64(time.Hour)}, {LoadStamp: 1 << 62}, {LoadStamp: -1 << 63, LoadSince: -1 << 63}, {}} {
		args.Loads, args.LoadStamp, args.LoadSince = []byte{0, 9}, invalid.LoadStamp, invalid.LoadSince
		is.NoErr(client.Call("Share.Next", args, &share.NextReply{}))
	}
	is.Equal(len(lead.take()), 0)
}

// TestLoadsAnswerPolls checks that loads answer a waiting poll only while they are urgent, and not more often than every quarter of a second.
func TestLoadsAnswerPolls(t *testing.T) {
	const wait = 700 * time.Millisecond
	cases := map[string]struct {
		urgent   bool
		min, max int
	}{
		"nothing is overloaded": {min: 2, max: 2},
		"overloaded":            {urgent: true, min: 4, max: 8},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			reader, follower := newLoadPeer(t, "reader"), newLoadPeer(t, "follower")
			snap := newSnapshot(10, 20, 2)
			reader.Publish(snap)
			ctx, cancel := context.WithTimeout(t.Context(), 2*wait)
			defer cancel()
			go func() {
				for ctx.Err() == nil {
					r := loadsOf(&snap, 0, none)
					r.Urgent = tc.urgent
					reader.PublishLoads(r)
					time.Sleep(10 * time.Millisecond)
				}
			}()
			polls := 0
			for start := time.Now(); time.Since(start) < 2*wait-100*time.Millisecond; polls++ {
				_, err := follower.Poll(t.Context(), reader.addr, snap, wait)
				is.NoErr(err)
			}
			t.Logf("%d polls", polls)
			is.True(polls >= tc.min && polls <= tc.max)
		})
	}
}

// TestLoadBytes checks the cost of loads: three bytes for each upstream.
func TestLoadBytes(t *testing.T) {
	p := newPair(t)
	snap := newSnapshot(10, 150, 4)
	p.publishAndPoll(snap)
	without := p.publishAndPoll(snap)
	p.reader.PublishLoads(loadsOf(&snap, 0, none))
	with := p.publishAndPoll(snap)
	t.Logf("%d bytes without loads, %d with", without, with)
	p.True(with-without <= 3*150+40)
}

// TestUrgentLoadsOfAnotherDomain guards against an overloaded failure domain whose loads reach the others a second late: its reader polls the lead reader
// more often, and what it sends answers the polls that wait there.
func TestUrgentLoadsOfAnotherDomain(t *testing.T) {
	const wait = 5 * time.Second
	cases := map[string]struct {
		urgent bool
		// poll is the longest time that the polls may take.
		poll time.Duration
	}{
		"overloaded":            {urgent: true, poll: time.Second},
		"nothing is overloaded": {poll: wait},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			lead, west, follower := newLoadPeer(t, "lead"), newLoadPeer(t, "west"), newLoadPeer(t, "follower")
			snap := newSnapshot(10, 20, 2)
			lead.Publish(snap)
			west.Publish(snap)
			_, err := west.PollAsReader(t.Context(), lead.addr, snap, 0)
			is.NoErr(err)
			start, waited := time.Now(), make(chan time.Duration)
			go func() {
				_, _ = follower.Poll(t.Context(), lead.addr, snap, wait-time.Second)
				waited <- time.Since(start)
			}()
			time.Sleep(100 * time.Millisecond)
			r := loadsOf(&snap, 0, none)
			r.Urgent = tc.urgent
			west.PublishLoads(r)
			_, err = west.PollAsReader(t.Context(), lead.addr, snap, wait-time.Second)
			is.NoErr(err)
			took, followerTook := time.Since(start), <-waited
			t.Logf("the reader polled for %v, the follower for %v", took, followerTook)
			is.True(took < tc.poll && followerTook < tc.poll)
			is.Equal(took < time.Second, tc.urgent)
			is.Equal(followerTook < time.Second, tc.urgent)
			is.Equal(len(follower.take()) == 20, tc.urgent) // Loads that waited for the whole poll are too old.
		})
	}
}

// TestInvalidSentLoads checks that the arguments of a poll with invalid loads leave the called instance working, and its loads as they are.
func TestInvalidSentLoads(t *testing.T) {
	lead := newLoadPeer(t, "lead")
	snap := newSnapshot(10, 2, 2)
	lead.Publish(snap)
	client, err := rpc.Dial("tcp", lead.addr.String())
	if err != nil {
		t.Fatal(err)
	}
	defer client.Close()
	cases := map[string]share.NextArgs{
		"too few":           {Loads: []byte{0, 1}, LoadsOf: snap.Digest()},
		"half a load":       {Loads: []byte{0, 1, 0}, LoadsOf: snap.Digest()},
		"a megabyte":        {Loads: make([]byte, 1_000_000), LoadsOf: snap.Digest()},
		"another snapshot":  {Loads: []byte{0, 1, 0, 1}, LoadsOf: snap.Digest() + 1},
		"no snapshot":       {Loads: []byte{0, 1, 0, 1}},
		"an age below zero": {Loads: []byte{0, 1, 0, 1}, LoadsOf: snap.Digest(), LoadAge: -1 << 63},
		"an immense age":    {Loads: []byte{0, 1, 0, 1}, LoadsOf: snap.Digest(), LoadAge: 1<<63 - 1},
		"too many ages":     {Loads: []byte{0, 1, 0, 1}, LoadsOf: snap.Digest(), LoadAges: make([]byte, 3)},
		"from a follower":   {Loads: []byte{0, 1, 0, 1}, LoadsOf: snap.Digest(), From: "follower"},
	}
	for name, args := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			args.Readers = args.From == ""
			var reply share.NextReply
			is.NoErr(client.Call("Share.Next", share.NextArgs{Readers: true}, &reply))
			args.LoadStamp, args.LoadUrgent = reply.LoadStamp, true
			is.NoErr(client.Call("Share.Next", args, &reply))
			is.Equal(reply.Revision, uint64(10))
			is.Equal(len(reply.Loads), 0)
			is.Equal(len(lead.take()), 0)
		})
	}
}
