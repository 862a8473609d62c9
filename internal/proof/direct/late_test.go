package direct

import (
	"sync/atomic"
	"testing"
	"time"

	"hawthorncourse/internal/stand/stage"
	"hawthorncourse/platform/stand"
)

// lateTime is how long the packets of a flow reach only an instance whose configuration is late.
const lateTime = 700 * time.Millisecond

// cutLinks blocks the connections between one instance and the others.
type cutLinks struct {
	// instance is the name of the instance that is cut off; nil or empty if none is.
	instance atomic.Pointer[string]
}

// Blocked implements tunnel.Links.
func (l *cutLinks) Blocked(from, to string) bool {
	name := l.instance.Load()
	return name != nil && (from == *name || to == *name)
}

// Delay implements tunnel.Links.
func (*cutLinks) Delay(string, string) time.Duration {
	return 0
}

// cutOff keeps an instance from the store and from the other instances; the result ends that.
func (l *cutLinks) cutOff(p *stage.Process) (heal func()) {
	l.instance.Store(&p.Settings.Name)
	p.StoreProxy.SetOutage(stand.OutageUnavailable)
	return func() {
		p.StoreProxy.SetOutage(stand.OutageNone)
		l.instance.Store(nil)
	}
}

// awaitVersion waits until all instances but one have a version of the configuration.
func (s *system) awaitVersion(version uint64, except *stage.Process) {
	s.t.Helper()
	for _, p := range s.Processes {
		if p != except {
			s.await(changeLimit, "a new version at "+p.Settings.Name, func() bool { return s.report(p).Version == version })
		}
	}
}

// TestFlowOnRouteUnknownToLateInstance guards against flows that are reset because an instance has not heard of their route yet: it is kept from the store
// while the route is added, and a flow that was opened through another instance moves to it. The flow may be silent until the instance has the route.
func TestFlowOnRouteUnknownToLateInstance(t *testing.T) {
	extra := stand.Route{Name: "extra", Address: extraAddress, Service: "desk"}
	cases := map[string]struct {
		// versions are the configurations that every instance has; the one that the late instance lacks adds the route.
		versions [][]stand.Route
	}{
		"the route is new":         {versions: [][]stand.Route{{feed, order, photo}}},
		"the route is added again": {versions: [][]stand.Route{{feed, order, photo, extra}, {feed, order, photo}}},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			links := &cutLinks{}
			s := newSystem(t, func(cfg *stage.Config) { cfg.Links = links })
			version := uint64(1)
			for _, routes := range tc.versions {
				version++
				s.Store.Configure(version, routes...)
				s.awaitVersion(version, nil)
			}
			time.Sleep(steadyTime)
			late, other := s.follower("west"), s.follower("east")
			heal := links.cutOff(late)
			s.Store.Configure(version+1, feed, order, photo, extra)
			s.awaitVersion(version+1, late)
			f, err := s.Callers[0].OpenVia(s.ctx, extraAddress, other.Settings.Packets)
			s.check(err)
			s.check(s.request(f))
			if got := s.report(late).Version; got != version {
				t.Fatalf("%s has version %d, so the test shows nothing", late.Settings.Name, got)
			}
			f.SetVia(late.Settings.Packets)
			time.AfterFunc(lateTime, heal)
			if err := s.requestWithin(f, lateTime+2*changeLimit); err != nil {
				t.Errorf("a flow on a new route failed at %s, which has not heard of the route yet: %v", late.Settings.Name, err)
			}
			s.load.ResetCounts()
			time.Sleep(steadyTime)
			s.checkServed()
			s.checkInvariants()
		})
	}
}
