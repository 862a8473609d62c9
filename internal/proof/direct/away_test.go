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
	// lapseHeartbeats is the number of heartbeats whose loss makes a registration expire.
	lapseHeartbeats = 3
	// cutTime is how long upstreams are cut off before they crash.
	cutTime = 500 * time.Millisecond
	// awayTime exceeds the grace period and the life of a registration together, and returnTime the grace period.
	awayTime   = graceTime + lapseHeartbeats*heartbeatTime
	returnTime = 6 * time.Second
	// openTime is how long a caller opens flows until one is at a certain upstream. An upstream that looks slowest of three is chosen for one flow in 27, so
	// a hundred flows were too few in one run beside load.
	openTime = 10 * time.Second
)

var (
	loanAddress  = netip.MustParseAddrPort("198.18.0.4:443")
	claimAddress = netip.MustParseAddrPort("198.18.0.4:444")

	loan  = stand.Route{Name: "loan", Address: loanAddress, Idempotent: true, Service: "books"}
	claim = stand.Route{Name: "claim", Address: claimAddress, Service: "books"}
)

// heldFlow is a flow of a test that sends requests until the test stops it.
type heldFlow struct {
	*stand.Flow
	// opener is the instance through which the flow was opened.
	opener *stage.Process
	up     *stand.Upstream
	// mu guards err, the error of the request that failed.
	mu  sync.Mutex
	err error
}

func (f *heldFlow) failure() error {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.err
}

// away is an environment in which the registry loses an upstream that serves. All upstreams of its service are in one failure domain, so that every
// instance opens flows at each.
type away struct {
	*system
	// lost serves throughout. reborn and dead are cut off and crash behind the cut; only reborn starts again.
	lost, reborn, dead *stand.Upstream
	// backup lacks the registration of lost.
	backup *stand.Backup
	// flows holds the flows at lost, and ended those at reborn and dead.
	flows, ended []*heldFlow
	// stop ends the requests on all flows, and running counts the flows that send.
	stop    chan struct{}
	running sync.WaitGroup
}

func newAway(t *testing.T) *away {
	t.Helper()
	a := &away{stop: make(chan struct{}), system: newSystem(t, func(cfg *stage.Config) { cfg.Routes = append(cfg.Routes, loan, claim) })}
	a.reborn, a.dead = a.addUpstream(), a.addUpstream()
	a.backup = a.Store.Backup()
	a.lost = a.addUpstream()
	a.awaitState("listed", changeLimit)
	time.Sleep(steadyTime)
	return a
}

func (a *away) addUpstream() *stand.Upstream {
	a.t.Helper()
	u, err := a.AddUpstream(uint64(len(a.upstreams)+1), "books", "east", netip.AddrPort{})
	a.check(err)
	a.upstreams = append(a.upstreams, u)
	return u
}

// state returns the state of an upstream at an instance; it is empty if the instance has given it up, and "unknown" if the instance does not answer.
func (a *away) state(p *stage.Process, u *stand.Upstream) string {
	report := a.report(p)
	if len(report.Upstreams) == 0 {
		return "unknown"
	}
	for _, view := range report.Upstreams {
		if view.ID == u.Name() {
			return view.State
		}
	}
	return ""
}

// awaitState waits until the lost upstream is in a state at every instance.
func (a *away) awaitState(state string, timeout time.Duration) {
	a.t.Helper()
	for _, p := range a.Processes {
		a.await(timeout, "upstream "+a.lost.Name()+" in state '"+state+"' at "+p.Settings.Name, func() bool { return a.state(p, a.lost) == state })
	}
}

// open opens a flow at an upstream through an instance, or returns nil.
func (a *away) open(p *stage.Process, service netip.AddrPort, u *stand.Upstream) *heldFlow {
	for start := time.Now(); time.Since(start) < openTime; {
		f, err := a.Callers[0].OpenVia(a.ctx, service, p.Settings.Packets)
		if err != nil {
			return nil
		}
		if a.request(f) == nil && u.HasFlow(f.Key()) {
			return &heldFlow{Flow: f, opener: p, up: u}
		}
		f.Close()
	}
	return nil
}

// hold opens a flow at an upstream through each instance on each of the routes, and sends requests on them from then on.
func (a *away) hold(u *stand.Upstream, services ...netip.AddrPort) []*heldFlow {
	a.t.Helper()
	flows := make([]*heldFlow, len(a.Processes)*len(services))
	var opening sync.WaitGroup
	for n := range flows {
		opening.Go(func() { flows[n] = a.open(a.Processes[n/len(services)], services[n%len(services)], u) })
	}
	opening.Wait()
	if slices.Contains(flows, nil) {
		a.t.Fatalf("not every instance opens flows at upstream %s", u.Name())
	}
	for _, f := range flows {
		a.running.Go(func() { a.send(f) })
	}
	return flows
}

// send sends requests on a flow until one fails or reaches another upstream, or until the test stops it.
func (a *away) send(f *heldFlow) {
	for {
		err := a.request(f.Flow)
		if err == nil && !f.up.HasFlow(f.Key()) {
			err = errors.New("the flow is not open at its upstream")
		}
		if err != nil {
			f.mu.Lock()
			f.err = err
			f.mu.Unlock()
			return
		}
		select {
		case <-a.stop:
			return
		case <-time.After(thinkTime):
		}
	}
}

// crashBehindCut cuts off two upstreams from all instances, lets them crash, and starts one of them again. Meanwhile an instance is killed and started;
// its flows go through another one.
func (a *away) crashBehindCut() (killed *stage.Process) {
	a.t.Helper()
	var sources []netip.Addr
	for _, p := range a.Processes {
		sources = append(sources, p.Settings.Packets.Addr())
	}
	a.check(a.reborn.Partition(sources...))
	a.check(a.dead.Partition(sources...))
	time.Sleep(cutTime)
	a.reborn.Close()
	a.dead.Close()
	time.Sleep(restartPause)
	a.check(a.reborn.Start())
	a.check(a.reborn.Partition())
	killed = a.follower("west")
	killed.Kill()
	for _, f := range slices.Concat(a.flows, a.ended) {
		if f.opener == killed {
			f.SetVia(a.follower("east").Settings.Packets)
		}
	}
	a.check(killed.Start())
	a.check(a.AwaitReady(startTimeout))
	return killed
}

// checkFlows stops the requests, and checks that the flows at lost are open and that those at the upstreams that crashed ended: at dead, an instance has
// reset them.
func (a *away) checkFlows() {
	a.t.Helper()
	close(a.stop)
	a.running.Wait()
	for _, f := range a.flows {
		if err := f.failure(); err != nil {
			a.t.Errorf("a flow at the serving upstream %s, opened through %s, failed: %v", f.up.Name(), f.opener.Settings.Name, err)
		}
	}
	for _, f := range a.ended {
		var reset *stand.ResetError
		switch err := f.failure(); {
		case err == nil:
			a.t.Errorf("a flow at upstream %s, which crashed, is still answered", f.up.Name())
		case f.up == a.dead && (!errors.As(err, &reset) || !reset.By.IsValid()):
			a.t.Errorf("no instance has reset a flow at upstream %s, which is down: %v", f.up.Name(), err)
		}
	}
}

// checkThrough sends the next request of each flow that was opened through an instance, which has started again since, through this instance. It
// has not seen the registration of the flow's upstream, but other instances have told it of the run.
func (a *away) checkThrough(p *stage.Process) {
	a.t.Helper()
	var requests sync.WaitGroup
	for _, f := range a.flows {
		if f.opener != p || f.failure() != nil {
			continue
		}
		f.SetVia(p.Settings.Packets)
		requests.Go(func() {
			if err := a.request(f.Flow); err != nil {
				a.t.Errorf("a flow at the serving upstream %s failed at %s, which started later: %v", f.up.Name(), p.Settings.Name, err)
			}
		})
	}
	requests.Wait()
}

// TestFlowsOfLostRegistration guards against flows that are reset because the registry has lost an upstream that serves: the store was restored from a copy
// from before it registered, or the upstream's writes were lost. Other upstreams crash behind a cut, and an instance starts.
func TestFlowsOfLostRegistration(t *testing.T) {
	cases := map[string]struct {
		// lose makes the registry lose the upstream.
		lose func(*away)
		// missing is set if the instances doubt the loss at first and go on to open flows at the upstream.
		missing bool
		// returns is set if the upstream registers again after returnTime.
		returns bool
	}{
		"the store is restored": {lose: func(a *away) { a.restore(a.backup) }, missing: true},
		"writes are lost":       {lose: (*away).loseWrites},
		"the store is restored and the upstream registers again": {lose: func(a *away) { a.restore(a.backup) }, missing: true, returns: true},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			a := newAway(t)
			a.flows = a.hold(a.lost, loanAddress, claimAddress)
			a.ended = slices.Concat(a.hold(a.reborn, loanAddress), a.hold(a.dead, loanAddress))
			tc.lose(a)
			lostAt := time.Now()
			if tc.missing {
				a.awaitState("missing", changeLimit)
				a.flows = slices.Concat(a.flows, a.hold(a.lost, loanAddress, claimAddress))
			}
			killed := a.crashBehindCut()
			if tc.returns {
				time.Sleep(time.Until(lostAt.Add(returnTime)))
				a.awaitState("", changeLimit)
				a.lost.Register()
				a.awaitState("listed", changeLimit)
				a.checkReturned()
			} else {
				a.awaitState("", 2*graceTime)
				time.Sleep(time.Until(lostAt.Add(awayTime)))
			}
			a.checkFlows()
			a.checkThrough(killed)
			a.load.ResetCounts()
			time.Sleep(steadyTime)
			a.checkServed()
			a.checkInvariants()
		})
	}
}

// loseWrites makes the registration expire, as the store executes none of the upstream's heartbeats.
func (a *away) loseWrites() {
	time.Sleep(lapseHeartbeats * heartbeatTime)
	a.lost.ExpireRegistration()
}

// checkReturned checks that every instance opens flows at the upstream again.
func (a *away) checkReturned() {
	a.t.Helper()
	a.flows = slices.Concat(a.flows, a.hold(a.lost, loanAddress))
}
