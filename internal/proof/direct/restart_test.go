package direct

import (
	"bytes"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"testing"
	"time"

	"hawthorncourse/internal/stand/stage"
	"hawthorncourse/platform/stand"
)

// restartAll kills all instances at the same time and starts them again.
func (s *system) restartAll() {
	s.t.Helper()
	var g sync.WaitGroup
	for _, p := range s.Processes {
		g.Go(p.Kill)
	}
	g.Wait()
	for _, p := range s.Processes {
		s.check(p.Start())
	}
	s.check(s.AwaitReady(startTimeout))
}

// TestRestartWithOldReads guards against the return of what was withdrawn before a restart: starting instances read lists that may be seconds old, here
// from before an upstream drained, a failure domain was taken out of service or a route was removed. No reader is left to correct them.
func TestRestartWithOldReads(t *testing.T) {
	cases := map[string]struct {
		withdraw func(*system)
		// used reports whether what was withdrawn has been used since an instant.
		used func(s *system, since time.Time) bool
	}{
		"an upstream drains": {
			withdraw: func(s *system) { s.upstreams[0].Drain() },
			used:     func(s *system, since time.Time) bool { return s.upstreams[0].LastOpening().After(since) },
		},
		"a failure domain is taken out of service": {
			withdraw: func(s *system) { s.Store.EvacuateDomain("east") },
			used: func(s *system, since time.Time) bool {
				for _, u := range s.upstreams {
					if u.Domain() == "east" && u.LastOpening().After(since) {
						return true
					}
				}
				return false
			},
		},
		"a route is removed": {
			withdraw: func(s *system) { s.Store.Configure(5, feed, order, photo) },
			used: func(s *system, _ time.Time) bool {
				f, err := s.Callers[0].Open(s.ctx, extraAddress)
				if err == nil {
					f.Close()
				}
				return err == nil
			},
		},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := newSystem(t)
			s.Store.Configure(2, feed, order, photo, stand.Route{Name: "new", Address: extraAddress, Service: "desk"})
			time.Sleep(changeLimit)
			s.Store.FreezeReplica(true)
			tc.withdraw(s)
			time.Sleep(changeLimit)
			from := time.Now()
			s.restartAll()
			time.Sleep(time.Second)
			s.load.ResetCounts()
			time.Sleep(steadyTime)
			if tc.used(s, from) {
				t.Error("what was withdrawn before the restart is in use again")
			}
			if s.Store.Calls().StaleReads == 0 {
				t.Error("no instance read an old state, so the test shows nothing")
			}
			s.checkServed()
			s.checkInvariants()
		})
	}
}

// TestStopOnSlowLink guards against accepted requests that a planned stop cuts off while packets wait for the instance's own link, which the load
// nearly fills.
func TestStopOnSlowLink(t *testing.T) {
	t.Parallel()
	const linkMbps = 0.3
	s := newSystem(t, func(cfg *stage.Config) { cfg.LinkMbps = linkMbps })
	time.Sleep(steadyTime)
	for _, p := range s.Processes[:2] {
		s.stopAndStart(p)
		s.check(s.AwaitReady(startTimeout))
	}
	time.Sleep(steadyTime)
	s.checkServed()
	s.checkInvariants()
}

// TestMalformedInput guards against a process that a single malformed message takes down. It sends bytes that no peer sends to every port of an
// instance, and checks that the process and the load go on.
func TestMalformedInput(t *testing.T) {
	t.Parallel()
	s := newSystem(t)
	rng := rand.New(rand.NewPCG(1, 1))
	p := s.Processes[0]
	garbage := func(n int) []byte {
		out := make([]byte, n)
		for i := range out {
			out[i] = byte(rng.Uint32())
		}
		return out
	}
	streams := [][]byte{
		{}, {0}, garbage(1), garbage(100), garbage(100_000), []byte("GET / HTTP/1.1\r\nContent-Length: -1\r\n\r\n"), []byte("PUT /loglevel HTTP/1.1\r\n\r\n"),
		// The length of a gob message of 2 GB, and a type definition that ends early.
		{0xf8, 0x7f, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff}, {0x03, 0xff, 0x81, 0x03}, bytes.Repeat([]byte{0xff}, 1000),
	}
	metrics, err := netip.ParseAddrPort(p.MetricsAddress())
	s.check(err)
	for _, addr := range []netip.AddrPort{p.Settings.Ready, p.Settings.Control, metrics} {
		for _, text := range streams {
			conn, err := net.Dial("tcp", addr.String())
			s.check(err)
			_, _ = conn.Write(text) // The instance may close the connection before it has read everything.
			s.check(conn.Close())
		}
	}
	conn, err := net.Dial("udp", p.Settings.Packets.String())
	s.check(err)
	defer conn.Close()
	for n := range 3000 {
		raw := garbage(n % 1300)
		if len(raw) > 31 && n%2 == 0 {
			// A plausible header: the length fits, and the destination is a route.
			raw[0], raw[1] = byte((len(raw)-31)>>8), byte(len(raw)-31)
			copy(raw[15:], feedAddress.Addr().AsSlice())
			raw[19], raw[20] = byte(feedAddress.Port()>>8), byte(feedAddress.Port()&0xff)
		}
		if len(raw) > 0 {
			_, err = conn.Write(raw)
			s.check(err)
		}
	}
	time.Sleep(steadyTime)
	s.checkServed()
	// Forged packets of plausible form reach upstreams, which alone can check them, so only the processes are checked here.
	for _, p := range s.Processes {
		for _, err := range p.UnexpectedExits() {
			t.Error(err)
		}
	}
}
