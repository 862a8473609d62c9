package main

import (
	"errors"
	"fmt"
	"sync"
	"time"

	"hawthorncourse/platform/stand"
)

const (
	// flowsPerDomain is the number of open flows of each failure domain's callers on each route.
	flowsPerDomain = 12
	// requestTimeout is the deadline of an order.
	requestTimeout = 1500 * time.Millisecond
	// openAttempts is the number of attempts for one request: the first and two retries.
	openAttempts = 3
	// thinkTime is the pause between two requests on a flow.
	thinkTime = 400 * time.Millisecond
	// settleTime passes before the disruption; it exceeds stability-window-ms of the site (4 s).
	settleTime = 6 * time.Second
	// watchTime is how long the flows are watched after the disruption.
	watchTime = 12 * time.Second
)

// longFlows keeps flows open and records those that an instance resets although their upstream lives.
type longFlows struct {
	s    *scenario
	stop chan struct{}
	wg   sync.WaitGroup

	mu         sync.Mutex
	opened     int
	violations []string
}

// openLongFlows opens flows on the routes of both kinds and sends requests on them.
func (s *scenario) openLongFlows() (*longFlows, error) {
	l := &longFlows{s: s, stop: make(chan struct{})}
	for _, caller := range s.env.Callers {
		for _, route := range []stand.Route{feedRoute, orderRoute} {
			for range flowsPerDomain {
				f, err := s.open(caller, route)
				if err != nil {
					return nil, fmt.Errorf("open a flow on %s: %w", route.Name, err)
				}
				l.opened++
				l.wg.Go(func() { l.use(f, route.Name, watchTime+2*settleTime) })
			}
		}
	}
	s.rec.Printf("%d flows are open", l.opened)
	return l, nil
}

// open opens a flow. Like the callers of the platform, it tries three times.
func (s *scenario) open(caller *stand.Caller, route stand.Route) (f *stand.Flow, err error) {
	for range openAttempts {
		if f, err = caller.Open(s.ctx, route.Address); err == nil {
			break
		}
	}
	return f, err
}

// use sends requests on a flow for a time, and then closes it.
func (l *longFlows) use(f *stand.Flow, route string, lifetime time.Duration) {
	end := time.After(lifetime)
	for {
		err := l.s.request(f, requestTimeout)
		var reset *stand.ResetError
		switch {
		case errors.As(err, &reset) && reset.By.IsValid():
			l.addReset(f, route, reset)
			return
		case err != nil:
			return
		}
		select {
		case <-l.stop:
			f.Close()
			return
		case <-end:
			f.Close()
			return
		case <-time.After(thinkTime):
		}
	}
}

// addReset records a reset by an instance, which breaks FLOW if the flow is open at a running upstream.
func (l *longFlows) addReset(f *stand.Flow, route string, reset *stand.ResetError) {
	u := l.s.holder(f)
	if u == nil {
		l.s.rec.Printf("flow %s was reset by %s; no upstream holds it", f.Key().Caller, reset.By)
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.violations = append(l.violations, fmt.Sprintf("FLOW: open flow %s on %s was reset by the instance at %s, while its upstream %s runs and holds the flow",
		f.Key().Caller, route, reset.By, u.Name()))
}

// finish closes the flows and returns the violations.
func (l *longFlows) finish() []string {
	close(l.stop)
	l.wg.Wait()
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.violations
}

// runForeignService adds a registration that names an unknown service and the address of a running upstream.
func runForeignService(s *scenario) ([]string, error) {
	return s.runForeignEntry(func(u *stand.Upstream) {
		spec := registration(u)
		spec["service"] = "tray-monitoring"
		spec["born"] = time.Now().UnixMilli()
		s.put("servers", "i-00c0ffee01", spec)
		s.rec.Printf("another writer added servers/i-00c0ffee01 with service tray-monitoring at %s, the address of %s", u.Address(), u.Name())
	})
}

// runForeignEntry opens flows, lets another writer change the registry and watches the flows.
func (s *scenario) runForeignEntry(write func(*stand.Upstream)) ([]string, error) {
	if err := s.start(); err != nil {
		return nil, err
	}
	sleep(s.ctx, settleTime)
	l, err := s.openLongFlows()
	if err != nil {
		return nil, err
	}
	sleep(s.ctx, settleTime)
	if s.trouble {
		write(s.upstreams[0])
	}
	sleep(s.ctx, watchTime)
	return l.finish(), nil
}
