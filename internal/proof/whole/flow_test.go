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

// opaqueSetup returns a setup with one service of opaque datagrams, whose flows carry no binding.
func opaqueSetup() fleet.Setup {
	setup := fleet.Ikirere()
	setup.Services = []fleet.Service{{ID: opaqueService, Kind: "datagram", Upstreams: 14, Slots: 3, Connections: 2000}}
	return setup
}

// TestOpaqueFlow guards against flows of opaque datagrams that move to another upstream during planned changes. Such flows carry no binding, so
// the instances must agree on their assignments. If an instance is killed, moved flows are logged but allowed.
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

// startFlows starts callers with one opaque flow each. The reports are complete once stop has returned.
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

// checkFlows checks that every flow still receives replies, and only its own, that none moved to another upstream if the change was planned, and
// that no upstream received packets of other services or more flows than allowed during its cold start.
func (s *system) checkFlows(reports []caller.FlowReport, planned bool) {
	s.t.Helper()
	sent, answered, moved := 0, 0, 0
	for _, r := range reports {
		sent, answered = sent+r.Sent, answered+r.Replies
		if r.UpstreamChanges > 0 {
			moved++
		}
		if sinceReply := time.Since(r.LastReply); sinceReply > shortLimit {
			s.t.Errorf("a flow has received no reply for %s", sinceReply)
		}
		if r.Misdelivered > 0 {
			s.t.Errorf("a flow received %d replies that belong to other flows", r.Misdelivered)
		}
	}
	s.t.Logf("%d flows, replies to %d of %d datagrams, %d flows moved to another upstream", len(reports), answered, sent, moved)
	if planned && moved > 0 {
		s.t.Errorf("%d flows moved to another upstream during a planned change", moved)
	}
	for name, st := range s.stats() {
		if st.Misrouted != 0 {
			s.t.Errorf("upstream %s received %d packets of another service", name, st.Misrouted)
		}
		if st.MaxColdOpened > coldConnections {
			s.t.Errorf("upstream %s had %d flows opened during its cold start", name, st.MaxColdOpened)
		}
	}
}
