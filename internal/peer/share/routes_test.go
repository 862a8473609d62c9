package share_test

import (
	"net"
	"net/netip"
	"net/rpc"
	"reflect"
	"testing"
	"time"

	"github.com/matryer/is"

	"hawthorncourse/internal/core/model"
	"hawthorncourse/internal/peer/share"
)

// TestChangedRouteField guards against a field that the comparison of routes leaves out: followers would keep its old value.
func TestChangedRouteField(t *testing.T) {
	cases := map[string]func(*model.Route){
		"Address":  func(r *model.Route) { r.Address = netip.MustParseAddrPort("198.18.9.9:443") },
		"Kind":     func(r *model.Route) { r.Kind = model.RouteDownload },
		"Timeout":  func(r *model.Route) { r.Timeout = time.Minute },
		"Priority": func(r *model.Route) { r.Priority = 4 },
		"Target":   func(r *model.Route) { r.Target = 250 * time.Millisecond },
		"Targets":  func(r *model.Route) { r.Targets = []model.Target{{Service: "desk", Weight: 2}} },
	}
	for n := range reflect.TypeFor[model.Route]().NumField() {
		field := reflect.TypeFor[model.Route]().Field(n).Name
		if field == "Name" {
			continue
		}
		t.Run(field, func(t *testing.T) {
			p := newPair(t)
			p.publishAndPoll(newSnapshot(10, 150, 40))
			next := newSnapshot(11, 150, 40)
			next.Routes.Revision, next.Routes.Version = 11, 4
			p.True(cases[field] != nil)
			cases[field](&next.Routes.Routes[3])
			p.publishAndPoll(next)
		})
	}
}

// TestChangedHealthPath checks that a configuration that differs only in the health path of a service reaches a follower.
func TestChangedHealthPath(t *testing.T) {
	p := newPair(t)
	p.publishAndPoll(newSnapshot(10, 150, 40))
	next := newSnapshot(11, 150, 40)
	next.Routes.Revision, next.Routes.Version = 11, 4
	next.Routes.Services[0].HealthPath = "/health"
	p.publishAndPoll(next)
}

// TestPriorities checks that every priority arrives as it was sent.
func TestPriorities(t *testing.T) {
	p := newPair(t)
	snap := newSnapshot(10, 1, int(model.LowestPriority)+1)
	for n := range snap.Routes.Routes {
		snap.Routes.Routes[n].Priority = model.Priority(n)
	}
	p.publishAndPoll(snap)
}

// The types of an earlier build, whose routes have neither a priority nor a target latency and whose services have no health path.
type (
	EarlierRoutesReply struct {
		Revision uint64
		Scope    uint8
		Routes   earlierRoutes
	}
	earlierRoutes struct {
		Version  uint64
		Revision uint64
		Routes   []earlierRoute
		Services []earlierService
	}
	earlierRoute struct {
		Name    string
		Address string
		Kind    uint8
		Timeout int64
	}
	earlierService struct {
		ID          string
		Connections int
	}
	// earlierRoutesServer replies to every poll with the same reply.
	earlierRoutesServer struct {
		reply EarlierRoutesReply
	}
)

// Next has the signature of the RPC.
func (s *earlierRoutesServer) Next(_ share.NextArgs, reply *EarlierRoutesReply) error {
	*reply = s.reply
	return nil
}

// TestReplyOfEarlierBuild guards against routes from an instance of an earlier build that get the highest priority because the reply lacks the field.
func TestReplyOfEarlierBuild(t *testing.T) {
	p := newPair(t)
	address := serveReplies(t, &earlierRoutesServer{reply: EarlierRoutesReply{Revision: 4, Scope: 3, Routes: earlierRoutes{
		Version: 3, Revision: 1,
		Routes:   []earlierRoute{{Name: "a", Address: "198.18.0.1:443", Kind: uint8(model.RouteIdempotent), Timeout: int64(time.Second)}},
		Services: []earlierService{{ID: "desk", Connections: 9}},
	}}})
	got, err := p.poller.Poll(p.ctx, address, model.Snapshot{}, 0)
	p.NoErr(err)
	p.Equal(got.Routes.Routes, []model.Route{{
		Name: "a", Address: netip.MustParseAddrPort("198.18.0.1:443"), Kind: model.RouteIdempotent, Timeout: time.Second, Priority: model.LowestPriority,
	}})
	p.Equal(got.Routes.Services, []model.ServiceLimits{{ID: "desk", Connections: 9}})
}

// TestReplyToEarlierBuild checks that an instance of an earlier build reads a reply that has the new fields.
func TestReplyToEarlierBuild(t *testing.T) {
	p := newPair(t)
	snap := newSnapshot(10, 1, 1)
	r := &snap.Routes.Routes[0]
	r.Priority, r.Target, r.Kind, snap.Routes.Services[0].HealthPath = 2, time.Second, model.RouteDownload, "/health"
	p.reader.Publish(snap)
	client, err := rpc.Dial("tcp", p.readerAddr.String())
	p.NoErr(err)
	defer client.Close()
	var got EarlierRoutesReply
	p.NoErr(client.Call("Share.Next", share.NextArgs{From: "asker"}, &got))
	p.Equal(got.Routes.Routes, []earlierRoute{{Name: r.Name, Address: r.Address.String(), Kind: uint8(model.RouteDownload), Timeout: int64(time.Second)}})
	p.Equal(got.Routes.Services, []earlierService{{ID: "desk", Connections: 9}})
}

// TestOddRouteFields checks that values out of range count as not stated.
func TestOddRouteFields(t *testing.T) {
	cases := map[string]struct {
		route share.Route
		want  model.Route
	}{
		"priority below the range": {route: share.Route{Priority: -1}, want: model.Route{Priority: model.LowestPriority}},
		"priority above the range": {route: share.Route{Priority: 1 << 40}, want: model.Route{Priority: model.LowestPriority}},
		"first above the range":    {route: share.Route{Priority: int(model.LowestPriority) + 2}, want: model.Route{Priority: model.LowestPriority}},
		"negative target latency":  {route: share.Route{Priority: 1, Target: -1}, want: model.Route{}},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			p := newPair(t)
			tc.route.Address, tc.want.Address = "198.18.0.1:443", netip.MustParseAddrPort("198.18.0.1:443")
			address := serveReplies(t, &oddServer{reply: share.NextReply{Revision: 4, Scope: 3, Routes: share.Routes{Routes: []share.Route{tc.route}}}})
			got, err := p.poller.Poll(p.ctx, address, model.Snapshot{}, 0)
			p.NoErr(err)
			p.Equal(got.Routes.Routes, []model.Route{tc.want})
		})
	}
}

// serveReplies serves an RPC receiver until the end of the test and returns its address.
func serveReplies(t *testing.T, receiver any) netip.AddrPort {
	t.Helper()
	is := is.New(t)
	srv := rpc.NewServer()
	is.NoErr(srv.RegisterName("Share", receiver))
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	t.Cleanup(func() { _ = l.Close() })
	go srv.Accept(l)
	return netip.MustParseAddrPort(l.Addr().String())
}
