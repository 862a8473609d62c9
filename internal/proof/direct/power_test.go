package direct

import (
	"errors"
	"net/netip"
	"slices"
	"sync"
	"testing"
	"time"

	"hawthorncourse/internal/stand/stage"
	"hawthorncourse/platform/stand"
)

const (
	// powerLossTime is how long a failure domain is without power: registrations expire, and the other instances have noticed.
	powerLossTime = 3 * time.Second
	// resetLimit is within what callers are told after the start of an instance that their flows have ended.
	resetLimit = 3 * time.Second
	// flowsPerRoute is the number of flows that each instance of the failure domain holds on each route.
	flowsPerRoute = 3
)

// TestFlowsAfterPowerLoss guards against callers that wait for their deadlines on flows of upstreams that have ended: a failure domain has lost power with
// its instances and its upstreams, and the instances that start do not know the runs that the flows belong to.
func TestFlowsAfterPowerLoss(t *testing.T) {
	returns := map[string]func(*system, []*stand.Upstream){
		"upstreams return under other IDs": func(s *system, lost []*stand.Upstream) {
			for _, u := range lost {
				next, err := s.AddUpstream(uint64(len(s.upstreams)+1), u.Service(), u.Domain(), u.Address())
				s.check(err)
				s.upstreams = append(s.upstreams, next)
			}
		},
		"upstreams return under their IDs": func(s *system, lost []*stand.Upstream) {
			for _, u := range lost {
				s.check(u.Start())
			}
		},
		"upstreams do not return": func(*system, []*stand.Upstream) {},
	}
	// The reader of the first failure domain reads the store for the readers of the others.
	for _, domain := range []string{"east", "west"} {
		for name, powerUp := range returns {
			t.Run(domain+"/"+name, func(t *testing.T) {
				t.Parallel()
				s := newSystem(t, func(cfg *stage.Config) { cfg.Routes = append(cfg.Routes, loan, claim) })
				lost := s.addBooks(domain)
				time.Sleep(steadyTime)
				instances, flows := s.openThrough(domain)
				s.losePower(instances, lost)
				time.Sleep(powerLossTime)
				powerUp(s, lost)
				for _, p := range instances {
					s.check(p.Start())
				}
				s.check(s.AwaitReady(startTimeout))
				s.checkReset(flows)
				s.load.ResetCounts()
				time.Sleep(steadyTime)
				s.checkServed()
				s.checkInvariants()
			})
		}
	}
}

// addBooks starts two upstreams of the service "books" in a failure domain.
func (s *system) addBooks(domain string) (added []*stand.Upstream) {
	s.t.Helper()
	for range 2 {
		u, err := s.AddUpstream(uint64(len(s.upstreams)+1), "books", domain, netip.AddrPort{})
		s.check(err)
		s.upstreams, added = append(s.upstreams, u), append(added, u)
	}
	return added
}

// openThrough opens flows at upstreams of the service "books" through each instance of a failure domain.
func (s *system) openThrough(domain string) (instances []*stage.Process, flows []*stand.Flow) {
	s.t.Helper()
	for _, p := range s.Processes {
		if p.Settings.Domain != domain {
			continue
		}
		instances = append(instances, p)
		for n := range 2 * flowsPerRoute {
			f, err := s.Callers[0].OpenVia(s.ctx, []netip.AddrPort{loanAddress, claimAddress}[n%2], p.Settings.Packets)
			s.check(err)
			s.check(s.request(f))
			flows = append(flows, f)
		}
	}
	return instances, flows
}

// losePower kills instances and crashes upstreams, whose registrations expire later.
func (s *system) losePower(instances []*stage.Process, upstreams []*stand.Upstream) {
	var kills sync.WaitGroup
	for _, p := range instances {
		kills.Go(p.Kill)
	}
	for _, u := range upstreams {
		u.Close()
	}
	kills.Wait()
	time.Sleep(heartbeatTime)
	for _, u := range upstreams {
		u.ExpireRegistration()
	}
}

// checkReset sends a request on each flow, and checks that its caller gets a reset within resetLimit.
func (s *system) checkReset(flows []*stand.Flow) {
	s.t.Helper()
	errs := make([]error, len(flows))
	var requests sync.WaitGroup
	for n, f := range flows {
		requests.Go(func() { errs[n] = s.requestWithin(f, resetLimit) })
	}
	requests.Wait()
	failed := slices.DeleteFunc(errs, func(err error) bool {
		var reset *stand.ResetError
		return errors.As(err, &reset)
	})
	if len(failed) > 0 {
		s.t.Errorf("%d of %d flows at upstreams that have ended were not reset within %s: %v", len(failed), len(flows), resetLimit, failed)
	}
}
