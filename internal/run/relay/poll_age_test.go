package relay

import (
	"context"
	"net"
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"

	"hawthorncourse/internal/core/direct"
	"hawthorncourse/internal/core/model"
	"hawthorncourse/internal/stand/tunnel"
)

// slowReplies delays what a server sends.
type slowReplies time.Duration

// Blocked implements tunnel.Links.
func (slowReplies) Blocked(_, _ string) bool { return false }

// Delay implements tunnel.Links.
func (d slowReplies) Delay(from, _ string) time.Duration {
	if from == "reader" {
		return time.Duration(d)
	}
	return 0
}

// TestAgeOfDelayedPoll guards against flows that are reset by a confirmation that is older than it claims: the reply of the reader was under way for a
// while, in which a flow was opened by a newer state of the registry or the routes.
func TestAgeOfDelayedPoll(t *testing.T) {
	const delay = 120 * time.Millisecond
	routed, unrouted := netip.MustParseAddrPort("198.18.0.1:443"), netip.MustParseAddrPort("198.18.0.2:443")
	for name, service := range map[string]netip.AddrPort{"upstream that is not known yet": routed, "route that is not known yet": unrouted} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			ctx := t.Context()
			reader, readerAddr := newShare(t, "reader")
			poller, _ := newShare(t, "poller")
			l, err := net.Listen("tcp", "127.0.0.1:0")
			is.NoErr(err)
			p := tunnel.New(tunnel.Config{
				Listener: l, Target: readerAddr, ServerName: "reader", ClientName: func(netip.Addr) string { return "poller" }, Links: slowReplies(delay),
			})
			defer p.Close()
			proxy := netip.MustParseAddrPort(l.Addr().String())

			start := time.Now()
			now := func() model.Instant { return model.Instant(time.Hour + time.Since(start)) }
			e := direct.New(direct.Config{Limits: direct.Limits{FlowLife: time.Minute}})
			snap := snapshotAt(0, 7)
			snap.Routes = model.RouteTable{Version: 1, Revision: 7, Routes: []model.Route{{Name: "feed", Address: routed, Targets: []model.Target{{Service: "desk", Weight: 1}}}}}
			is.True(e.SetRoutes(snap.Routes))
			e.Roster().Sync(now(), snap.Upstreams)
			e.SetReady(now())

			// The store confirms the snapshot; then another instance opens a flow at an upstream that has registered since, or by a new route.
			reader.Publish(snap)
			var resets int
			polled := make(chan model.Snapshot, 1)
			go func() {
				got, err := poller.Poll(context.WithoutCancel(ctx), proxy, model.Snapshot{}, 0)
				if err == nil {
					polled <- got
				}
				close(polled)
			}()
			time.Sleep(delay / 2)
			count := func(actions []direct.Action) {
				for _, a := range actions {
					if a.Verb == model.VerbReset {
						resets++
					}
				}
			}
			seg := model.Segment{Flow: model.FlowKey{Caller: netip.MustParseAddrPort("100.64.0.7:1"), Service: service}, HasAck: true, Tag: 77, Seq: 1, AckSeq: 1, Size: 9, Raw: []byte{1}}
			count(e.Packet(now(), &seg))
			got, ok := <-polled
			is.True(ok)
			arrived := now()
			t.Logf("the snapshot was confirmed %v ago, its age is %v", time.Since(start).Round(time.Millisecond), got.Age.Round(time.Millisecond))
			e.Roster().Confirm(arrived, arrived.Add(-got.Age))
			count(e.ReleaseHeld(arrived))
			is.Equal(resets, 0)
		})
	}
}
