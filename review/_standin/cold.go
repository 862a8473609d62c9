package main

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"hawthorncourse/internal/core/model"
	"hawthorncourse/platform/stand"
)

const (
	// coldRate is warmup-per-s of the configuration; coldFactor and coldSlack are cold-over and cold-slack of the site.
	coldRate   = 2.0
	coldFactor = 1.5
	coldSlack  = 5
	// coldWindow is the span in which the rule counts requests.
	coldWindow = time.Second
	// openInterval is the time between two new flows of one failure domain's callers.
	openInterval = 10 * time.Millisecond
	// darkTime is how long a failure domain is without power, and maxReturn the time within which its upstreams are back after that. A registration
	// is then silent for less than three heartbeats, after which it would be removed.
	darkTime  = 1500 * time.Millisecond
	maxReturn = 800 * time.Millisecond
	// roundTime is the time between two losses of power.
	roundTime = 12 * time.Second
	rounds    = 5
)

// runZoneLoss takes the power of one failure domain after the other, with its instances and upstreams. The upstreams start again under their IDs.
func runZoneLoss(s *scenario) ([]string, error) {
	if err := s.start(); err != nil {
		return nil, err
	}
	s.writeColdConfig(2)
	sleep(s.ctx, settleTime)
	load := s.startOpening(orderRoute.Address)
	sleep(s.ctx, settleTime)
	for n := range rounds {
		if s.trouble {
			if err := s.loseZone(domains[n%len(domains)]); err != nil {
				return nil, err
			}
		}
		sleep(s.ctx, roundTime)
	}
	load.finish()
	return s.checkColdLimit(load), nil
}

// loseZone takes the power of a failure domain for darkTime: its instances are killed and its upstreams are silent. All start again after that.
func (s *scenario) loseZone(domain string) error {
	dark := map[*stand.Upstream]*silence{}
	for _, p := range s.env.Processes {
		if p.Settings.Domain == domain {
			p.Kill()
		}
	}
	for _, u := range s.upstreams {
		if u.Domain() != domain {
			continue
		}
		u.Close()
		var err error
		if dark[u], err = newSilence(u.Address()); err != nil {
			return err
		}
	}
	s.rec.Printf("%s has lost power, with its instances and %d upstreams", domain, len(dark))
	sleep(s.ctx, darkTime)
	for _, p := range s.env.Processes {
		if p.Settings.Domain == domain {
			if err := p.Start(); err != nil {
				return err
			}
		}
	}
	var g errgroup.Group
	for u, silent := range dark {
		g.Go(func() error {
			sleep(s.ctx, rand.N(maxReturn))
			silent.Close()
			if err := u.Start(); err != nil {
				return err
			}
			s.rec.Printf("%s has started again and is cold for %s", u.Name(), coldFor)
			return nil
		})
	}
	return g.Wait()
}

// writeColdConfig writes a configuration that states coldRate.
func (s *scenario) writeColdConfig(version int) {
	var routes, services []map[string]any
	for _, r := range []stand.Route{feedRoute, orderRoute, claimRoute} {
		kind := "unsafe"
		if r.Idempotent {
			kind = "safe"
		}
		routes = append(routes, map[string]any{
			"name": r.Name, "hostname": r.Address.Addr().String(), "path-prefix": fmt.Sprintf("/%d/", r.Address.Port()), "route-type": kind,
			"timeout-ms": 2500, "target-latency-ms": 150, "priority": 1, "service": r.Service, "attempts": 2,
		})
	}
	for _, name := range []string{orderService, claimService} {
		services = append(services, map[string]any{
			"name": name, "health-path": "/health", "max-conns": 2000, "protocol": "h1", "tls": false, "warmup-s": coldFor.Seconds(), "warmup-per-s": coldRate,
		})
	}
	s.put("config", "main", map[string]any{"version": version, "routes": routes, "services": services, "limits": map[string]any{"idle-timeout-ms": 15000}})
	s.rec.Printf("configuration %d is written: warmup-s %.0f, warmup-per-s %.0f", version, coldFor.Seconds(), coldRate)
}

// openLoad opens flows at a constant rate and sends one request on each.
type openLoad struct {
	stop chan struct{}
	wg   sync.WaitGroup

	mu sync.Mutex
	// sent holds the time at which the first SYN of each flow was sent.
	sent map[model.FlowKey]time.Time
}

func (s *scenario) startOpening(service netip.AddrPort) *openLoad {
	l := &openLoad{stop: make(chan struct{}), sent: map[model.FlowKey]time.Time{}}
	for _, caller := range s.env.Callers {
		l.wg.Go(func() {
			ticker := time.NewTicker(openInterval)
			defer ticker.Stop()
			for {
				select {
				case <-ticker.C:
					l.wg.Go(func() { s.openOnce(l, caller, service) })
				case <-l.stop:
					return
				}
			}
		})
	}
	return l
}

// openOnce opens a flow, sends a request and closes the flow. A flow that does not open is not counted.
func (s *scenario) openOnce(l *openLoad, caller *stand.Caller, service netip.AddrPort) {
	at := time.Now()
	f, err := caller.Open(s.ctx, service)
	if err != nil {
		var reset *stand.ResetError
		s.rec.Printf("a flow to %s did not open (by an instance: %t): %v", service, errors.As(err, &reset) && reset.By.IsValid(), err)
		return
	}
	l.mu.Lock()
	l.sent[f.Key()] = at
	l.mu.Unlock()
	if s.request(f, requestTimeout) == nil {
		f.Close()
	}
}

func (l *openLoad) finish() {
	close(l.stop)
	l.wg.Wait()
}

// checkColdLimit checks FAILBACK: in no second of a cold start does an upstream get more flows than the limit. It counts flows that were sent and
// arrived inside the second.
func (s *scenario) checkColdLimit(l *openLoad) (violations []string) {
	limit := int(coldRate*coldFactor + coldSlack)
	for _, u := range s.upstreams {
		openings := u.Openings()
		for n, run := range u.Runs() {
			if n == 0 {
				// This start was before the traffic.
				continue
			}
			most, from, by := l.mostInWindow(openings, run)
			s.rec.Printf("%s, started at %.3f: at most %d flows in one second of its cold start, limit %d; by instance: %v", u.Name(), s.rec.at(run.Started), most, limit, by)
			if most > limit {
				violations = append(violations, fmt.Sprintf("FAILBACK: cold upstream %s, started at %.3f, got %d flows in the second from %.3f, limit %d",
					u.Name(), s.rec.at(run.Started), most, s.rec.at(from), limit))
			}
		}
	}
	return violations
}

// mostInWindow returns the largest number of flows in one window of the cold start of a run, the start of that window, and the number of flows in it by
// the instance that forwarded them.
func (l *openLoad) mostInWindow(openings []stand.Opening, run stand.Run) (most int, from time.Time, by map[netip.Addr]int) {
	type arrival struct {
		sent, at time.Time
		from     netip.Addr
	}
	var list []arrival
	for _, o := range openings {
		if sent, ok := l.sent[o.Flow]; ok && o.At.After(run.Started) && o.At.Before(run.WarmAt) {
			list = append(list, arrival{sent: sent, at: o.At, from: o.From})
		}
	}
	slices.SortFunc(list, func(a, b arrival) int { return a.sent.Compare(b.sent) })
	for i, first := range list {
		count, senders := 0, map[netip.Addr]int{}
		for _, a := range list[i:] {
			if a.at.Sub(first.sent) < coldWindow {
				count++
				senders[a.from]++
			}
		}
		if count > most {
			most, from, by = count, first.sent, senders
		}
	}
	return most, from, by
}
