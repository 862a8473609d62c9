package share_test

import (
	"math"
	"net"
	"net/netip"
	"net/rpc"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"hawthorncourse/internal/core/model"
	"hawthorncourse/internal/peer/share"
)

// oddServer replies to every poll with the same reply.
type oddServer struct {
	reply share.NextReply
}

// Next has the signature of the RPC.
func (s *oddServer) Next(_ share.NextArgs, reply *share.NextReply) error {
	*reply = s.reply
	return nil
}

// TestOddReplies checks that a reply with an odd part fails, or passes on what it holds, but never ends the process that polls, and that the next poll of
// a sound peer works.
func TestOddReplies(t *testing.T) {
	huge := strings.Repeat("x", 1_000_000)
	upstream := func(address string) share.NextReply {
		return share.NextReply{Revision: 4, Scope: 3, Upstreams: []share.Upstream{{ID: "i-1", Address: address}}}
	}
	route := func(address string) share.NextReply {
		return share.NextReply{Revision: 4, Scope: 3, Routes: share.Routes{Routes: []share.Route{{Name: "a", Address: address}}}}
	}
	reader := func(address string) share.NextReply {
		return share.NextReply{Revision: 4, Scope: 1, Readers: []share.Reader{{Domain: "east", Control: address}}}
	}
	cases := map[string]struct {
		reply share.NextReply
		fails bool
	}{
		"nothing":                             {fails: true},
		"upstream without an address":         {reply: upstream(""), fails: true},
		"upstream with text for an address":   {reply: upstream("nowhere"), fails: true},
		"upstream with port 65536":            {reply: upstream("10.0.0.1:65536"), fails: true},
		"upstream with a negative port":       {reply: upstream("10.0.0.1:-1"), fails: true},
		"upstream with a megabyte for a port": {reply: upstream("10.0.0.1:" + huge), fails: true},
		"route without an address":            {reply: route(""), fails: true},
		"route with a port of eleven digits":  {reply: route("198.18.0.1:99999999999"), fails: true},
		"reader record without an address":    {reply: reader(""), fails: true},
		"reader record with an invalid one":   {reply: reader(netip.AddrPort{}.String()), fails: true},
		"unknown scope":                       {reply: share.NextReply{Revision: 4, Scope: 250}},
		"changes of nothing":                  {reply: share.NextReply{Revision: 4, Scope: 2, GoneUpstreams: []string{"", huge}, GoneRoutes: []string{""}}},
		"names of a megabyte":                 {reply: share.NextReply{Revision: 4, Scope: 3, Unreadable: []string{huge, "", "\x00\xff"}, Out: []string{huge}}},
		"numbers out of range": {reply: share.NextReply{
			Revision: math.MaxUint64, Era: math.MaxUint64, Age: math.MinInt64, Unsure: math.MaxInt64, Scope: 1, Spread: math.MaxUint64, ListedAt: math.MaxUint64,
			OutAt: math.MaxUint64,
		}},
		"suspicions without names": {reply: share.NextReply{Revision: 4, Scope: 1, Doubts: share.DoubtArgs{Upstreams: []string{""}, Domains: []string{"\xff"}}}},
		"weights that are no numbers": {reply: share.NextReply{
			Revision: 4, Scope: 3,
			Routes: share.Routes{Routes: []share.Route{{Address: "198.18.0.1:443", Targets: []share.Target{{Weight: math.NaN()}, {Weight: math.Inf(-1)}}}}},
		}},
		"the same upstream and route repeated": {reply: share.NextReply{
			Revision: 4, Scope: 2, Upstreams: []share.Upstream{{ID: "i-1", Address: "10.0.0.1:80"}, {ID: "i-1", Address: "10.0.0.2:80"}}, GoneUpstreams: []string{"i-1"},
		}},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			p := newPair(t)
			p.reader.Publish(newSnapshot(3, 2, 2))
			have, err := p.poller.Poll(p.ctx, p.readerAddr, model.Snapshot{}, 0)
			p.NoErr(err)
			srv := rpc.NewServer()
			p.NoErr(srv.RegisterName("Share", &oddServer{reply: tc.reply}))
			l, err := net.Listen("tcp", "127.0.0.1:0")
			p.NoErr(err)
			defer l.Close()
			go srv.Accept(l)
			odd := netip.MustParseAddrPort(l.Addr().String())
			_, err = p.poller.Poll(p.ctx, odd, have, 0)
			p.Equal(err != nil, tc.fails)
			_, err = p.poller.PollAsReader(p.ctx, odd, have, 0)
			p.Equal(err != nil, tc.fails)
			again, err := p.poller.Poll(p.ctx, p.readerAddr, have, 0)
			p.NoErr(err)
			p.Equal(len(again.Upstreams.Items), 2)
		})
	}
}

// TestOddArguments checks that calls with odd arguments leave the called instance working.
func TestOddArguments(t *testing.T) {
	p := newPair(t)
	p.reader.Publish(newSnapshot(3, 2, 2))
	huge := strings.Repeat("x", 1_000_000)
	polls := map[string]share.NextArgs{
		"nothing":             {},
		"negative wait":       {Wait: math.MinInt64},
		"unknown state":       {Have: math.MaxUint64, Heard: math.MaxUint64},
		"name of a megabyte":  {From: huge},
		"bytes for a name":    {From: "\x00\xff", Readers: true},
		"suspicions in debt":  {Heard: 1},
		"wait of a moment":    {Wait: 1},
		"suspicions and wait": {Wait: math.MinInt64, Heard: math.MaxUint64},
	}
	client, err := rpc.Dial("tcp", p.readerAddr.String())
	p.NoErr(err)
	defer client.Close()
	for name, args := range polls {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var reply share.NextReply
			is.NoErr(client.Call("Share.Next", args, &reply))
			is.Equal(reply.Revision, uint64(3))
		})
	}
	for _, doubts := range []share.DoubtArgs{{}, {Upstreams: []string{"", huge}}, {Domains: []string{"\xff"}}} {
		p.NoErr(client.Call("Share.Doubt", doubts, &share.Done{}))
	}
	// Arguments of another type fail by themselves.
	p.True(client.Call("Share.Next", "text", &share.NextReply{}) != nil)
	p.True(client.Call("Share.Next", struct{ Wait string }{"long"}, &share.NextReply{}) != nil)
	p.True(client.Call("Share.None", 7, &share.NextReply{}) != nil)
	start := time.Now()
	snap, err := p.poller.Poll(p.ctx, p.readerAddr, model.Snapshot{}, 0)
	p.NoErr(err)
	p.Equal(len(snap.Upstreams.Items), 2)
	p.True(time.Since(start) < time.Second)
}
