package main

import (
	"math/rand/v2"
	"time"

	"hawthorncourse/platform/stand"
)

const (
	// lateTime is how long after the call the store executes a write that it has not answered: 1 to 6 s.
	lateTime = 6 * time.Second
	// restartTime is how long the upstream is down.
	restartTime = 500 * time.Millisecond
	lateRounds  = 3
	// reopenDelay is the pause before a caller opens another flow in place of one that has ended.
	reopenDelay = 100 * time.Millisecond
	// minLifetime and maxLifetime bound how long a flow stays open, so that a restarted upstream gets new ones.
	minLifetime = 3 * time.Second
	maxLifetime = 9 * time.Second
)

// runLateWrite lets the store execute a heartbeat of an upstream late, after the upstream has crashed and started again under its ID.
func runLateWrite(s *scenario) ([]string, error) {
	if err := s.start(); err != nil {
		return nil, err
	}
	sleep(s.ctx, settleTime)
	l := &longFlows{s: s, stop: make(chan struct{})}
	for _, caller := range s.env.Callers {
		for _, route := range []stand.Route{feedRoute, orderRoute} {
			for range flowsPerDomain {
				l.wg.Go(func() { l.keepOpen(caller, route) })
			}
		}
	}
	sleep(s.ctx, settleTime)
	for n := range lateRounds {
		s.restartBeforeWrite(s.upstreams[n])
		sleep(s.ctx, watchTime)
	}
	return l.finish(), nil
}

// restartBeforeWrite crashes an upstream just after a heartbeat that the store executes after lateTime. Without trouble, the heartbeat is lost.
func (s *scenario) restartBeforeWrite(u *stand.Upstream) {
	late := registration(u)
	late["seq"] = 1000
	late["born"] = u.Runs()[len(u.Runs())-1].Started.UnixMilli()
	called := time.Now()
	s.rec.Printf("%s writes its registration; the store does not answer", u.Name())
	u.Close()
	s.rec.Printf("%s has crashed", u.Name())
	sleep(s.ctx, restartTime)
	if err := u.Start(); err != nil {
		s.rec.Printf("start %s: %v", u.Name(), err)
		return
	}
	s.rec.Printf("%s has started again under its ID", u.Name())
	sleep(s.ctx, time.Until(called.Add(lateTime)))
	if s.trouble {
		s.put("servers", u.Name(), late)
		s.rec.Printf("the store executes the write of %s from before its crash", u.Name())
	}
}

// keepOpen opens a flow, uses it, and opens another when it has ended.
func (l *longFlows) keepOpen(caller *stand.Caller, route stand.Route) {
	for {
		select {
		case <-l.stop:
			return
		default:
		}
		f, err := caller.Open(l.s.ctx, route.Address)
		if err != nil {
			l.s.rec.Printf("a flow on %s did not open: %v", route.Name, err)
		} else {
			l.use(f, route.Name, minLifetime+rand.N(maxLifetime-minLifetime))
		}
		sleep(l.s.ctx, reopenDelay)
	}
}
