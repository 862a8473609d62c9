package whole

import (
	"context"
	"sync"
	"testing"
	"time"

	"hawthorncourse/internal/bench/fleet"
	"hawthorncourse/internal/core/model"
	"hawthorncourse/internal/stand/caller"
)

const (
	opaqueFlows    = 150
	opaqueInterval = 200 * time.Millisecond
	opaqueService  = "stock-feed"
)

// opaqueSetup returns a set-up with one service of opaque datagrams.
func opaqueSetup() fleet.Setup {
	setup := fleet.Ikirere()
	setup.Services = []fleet.Service{{ID: opaqueService, Kind: "datagram", Upstreams: 14, Slots: 3, Connections: 2000}}
	return setup
}

// TestOpaqueFlow proves that flows without a binding stay on their upstream through planned changes, and measures a kill.
func TestOpaqueFlow(t *testing.T) {
	cases := map[string]struct {
		planned bool
		change  func(*system)
	}{
		"upstream leaves and instance stops": {planned: true, change: func(s *system) {
			s.setLeaving("stock-feed-2", true)
			time.Sleep(2 * time.Second)
			s.Stop(s.Instances[1])
			time.Sleep(8 * time.Second)
		}},
		"instance joins": {planned: true, change: func(s *system) {
			if _, err := s.AddInstance("gakenke"); err != nil {
				s.t.Fatal(err)
			}
			time.Sleep(10 * time.Second)
		}},
		"upstream leaves and instance is killed": {change: func(s *system) {
			s.setLeaving("stock-feed-2", true)
			time.Sleep(2 * time.Second)
			s.Kill(s.Instances[1])
			time.Sleep(8 * time.Second)
		}},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := newSystem(t, opaqueSetup())
			reports, stop := s.startFlows()
			time.Sleep(5 * time.Second)
			tc.change(s)
			stop()
			s.checkFlows(*reports, tc.planned)
		})
	}
}

// startFlows sets callers with opaque flows to work.
func (s *system) startFlows() (reports *[]caller.FlowReport, stop func()) {
	ctx, cancel := context.WithCancel(context.Background())
	var mu sync.Mutex
	var wg sync.WaitGroup
	reports = new([]caller.FlowReport)
	for n := range opaqueFlows {
		wg.Go(func() {
			r, err := caller.RunFlow(ctx, s.CallerIP(), s.Services[model.ServiceID(opaqueService)], opaqueInterval, uint32(n+1))
			if err != nil {
				s.t.Error(err)
			}
			mu.Lock()
			defer mu.Unlock()
			*reports = append(*reports, r)
		})
	}
	s.t.Cleanup(cancel)
	return reports, func() {
		cancel()
		wg.Wait()
	}
}

func (s *system) checkFlows(reports []caller.FlowReport, planned bool) {
	s.t.Helper()
	sent, answered, moved := 0, 0, 0
	for _, r := range reports {
		sent, answered = sent+r.Sent, answered+r.Replies
		if r.UpstreamChanges > 0 {
			moved++
		}
		if silence := time.Since(r.LastReply); silence > shortLimit {
			s.t.Errorf("a flow has had no answer for %s", silence)
		}
		if r.Misdelivered > 0 {
			s.t.Errorf("a flow got %d answers of others", r.Misdelivered)
		}
	}
	s.t.Logf("%d flows, %d of %d datagrams answered, %d flows moved", len(reports), answered, sent, moved)
	if planned && moved > 0 {
		s.t.Errorf("%d flows moved", moved)
	}
	for name, st := range s.stats() {
		if st.Misrouted != 0 {
			s.t.Errorf("%s got %d packets of another service", name, st.Misrouted)
		}
		if st.MaxColdOpened > coldConnections {
			s.t.Errorf("%s had %d flows opened in cold start", name, st.MaxColdOpened)
		}
	}
}
