// Package direct tests direct server return end to end: relay instances run as separate processes, and upstreams answer callers directly. The
// platform's store, the upstreams and the callers are fakes.
package direct

import (
	"context"
	"net/netip"
	"os"
	"sync/atomic"
	"testing"
	"time"

	"hawthorncourse/internal/bench/build"
	"hawthorncourse/internal/stand/crowd"
	"hawthorncourse/internal/stand/stage"
	"hawthorncourse/platform/stand"
)

const (
	startTimeout = 15 * time.Second
	// changeLimit is the users' time bound within which every change must take effect.
	changeLimit = 3 * time.Second
	// stopLimit is the users' grace period, after which the platform would kill a stopping process.
	stopLimit = 6 * time.Second
	// requestTimeout and requestTime are the time limit and the duration of the users' smaller requests.
	requestTimeout = 2500 * time.Millisecond
	requestTime    = 20 * time.Millisecond
	// thinkTime is a caller's pause between two requests.
	thinkTime   = 30 * time.Millisecond
	concurrency = 6
	// firstSubnet plus an environment's number is the second byte of the environment's loopback addresses.
	firstSubnet = 40
)

var (
	binary string
	// subnets numbers the environments, so that those of parallel tests use separate addresses.
	subnets atomic.Int32

	feedAddress  = netip.MustParseAddrPort("198.18.0.1:443")
	orderAddress = netip.MustParseAddrPort("198.18.0.1:444")
	photoAddress = netip.MustParseAddrPort("198.18.0.2:443")
	extraAddress = netip.MustParseAddrPort("198.18.0.3:443")

	feed  = stand.Route{Name: "feed", Address: feedAddress, Idempotent: true, Service: "desk"}
	order = stand.Route{Name: "order", Address: orderAddress, Service: "desk"}
	photo = stand.Route{Name: "photo", Address: photoAddress, Service: "claims"}
)

func TestMain(m *testing.M) {
	os.Exit(build.WithProgram(func(path string) int {
		binary = path
		return m.Run()
	}))
}

// system is an environment of processes and fakes under load.
type system struct {
	*stage.Environment
	t         *testing.T
	ctx       context.Context
	upstreams []*stand.Upstream
	load      *crowd.Generator
	// requests counts the requests that the test itself has sent, to number them.
	requests atomic.Int64
}

// newSystem starts two instances and three upstreams in each of two failure domains, and the load. It stops them when the test ends. The edits
// change the configuration of the environment.
func newSystem(t *testing.T, edits ...func(*stage.Config)) *system {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	s := &system{t: t, ctx: ctx}
	cfg := stage.Config{
		Binary: binary, Dir: t.TempDir(), Subnet: firstSubnet + int(subnets.Add(1)), Domains: []string{"east", "west"}, Instances: 4,
		Services: []string{"desk", "desk", "desk", "desk", "claims", "claims"}, Routes: []stand.Route{feed, order, photo}, RequestTime: requestTime, MaxStaleness: changeLimit,
	}
	for _, edit := range edits {
		edit(&cfg)
	}
	var err error
	s.Environment, err = stage.New(ctx, cfg)
	s.check(err)
	s.upstreams = s.Upstreams()
	s.load = crowd.Start(ctx, crowd.Config{
		Callers: s.Callers, Concurrency: concurrency, Deadline: requestTimeout, ThinkTime: thinkTime,
		Workloads: []crowd.Workload{
			{Name: "feed", Address: feedAddress, Service: "desk", Idempotent: true},
			{Name: "desk", Address: orderAddress, Service: "desk"},
			{Name: "claims", Address: photoAddress, Service: "claims"},
		},
	})
	t.Cleanup(func() {
		s.load.Stop()
		cancel()
		s.Close()
		if t.Failed() {
			for _, p := range s.Processes {
				t.Logf("%s:\n%s", p.Settings.Name, p.Log())
			}
		}
	})
	return s
}

// check fails the test immediately on an error.
func (s *system) check(err error) {
	s.t.Helper()
	if err != nil {
		s.t.Fatal(err)
	}
}

// await waits until the condition holds and fails the test after the timeout; what describes the condition.
func (s *system) await(timeout time.Duration, what string, condition func() bool) {
	s.t.Helper()
	for deadline := time.Now().Add(timeout); time.Now().Before(deadline); time.Sleep(10 * time.Millisecond) {
		if condition() {
			return
		}
	}
	s.t.Fatalf("waiting for %s: timed out after %s", what, timeout)
}

// checkServed checks that every request since the counts were last reset was served and no flow broke.
func (s *system) checkServed() {
	s.t.Helper()
	if c := s.load.Counts(); c.Failed > 0 || c.BrokenFlows > 0 || c.Served == 0 {
		s.t.Errorf("%d requests served, %d failed, %d flows broken", c.Served, c.Failed, c.BrokenFlows)
	}
}

// checkInvariants checks what must hold in every run: no request runs twice or reaches another service, no packet is altered, and no process
// exits unexpectedly.
func (s *system) checkInvariants() {
	s.t.Helper()
	s.load.Stop()
	executions := map[string]int{}
	for _, u := range s.upstreams {
		for _, violation := range u.Violations() {
			s.t.Errorf("upstream %s: %s", u.Name(), violation)
		}
		for id, n := range u.Executions() {
			executions[id] += n
		}
	}
	for id, n := range executions {
		if n > 1 {
			s.t.Errorf("request %s ran %d times", id, n)
		}
	}
	for _, violation := range s.load.WrongResponses() {
		s.t.Error(violation)
	}
	for _, c := range s.Callers {
		if n := c.CorruptPackets(); n > 0 {
			s.t.Errorf("%d corrupt packets reached a caller", n)
		}
	}
	for _, p := range s.Processes {
		for _, err := range p.UnexpectedExits() {
			s.t.Error(err)
		}
	}
}

// stopAndStart shuts an instance down gracefully and starts it again.
func (s *system) stopAndStart(p *stage.Process) {
	s.t.Helper()
	code, err := p.Stop(stopLimit)
	s.check(err)
	if code != 0 {
		s.t.Errorf("graceful shutdown: exit code %d", code)
	}
	s.check(p.Start())
}

// killAndStart kills an instance and starts it again.
func (s *system) killAndStart(p *stage.Process) {
	s.t.Helper()
	p.Kill()
	s.check(p.Start())
}
