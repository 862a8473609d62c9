// Package soak runs relay instances as separate processes while it injects random faults from outside: killed and paused processes, network
// partitions, store outages, crashed upstreams, changed routes. It checks the users' guarantees by what callers and upstreams observe.
package soak

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"os"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"hawthorncourse/internal/bench/build"
	"hawthorncourse/internal/stand/crowd"
	"hawthorncourse/internal/stand/stage"
	"hawthorncourse/platform/stand"
)

var (
	firstSeed = flag.Uint64("soak.seed", 1, "first seed")
	seedCount = flag.Int("soak.seeds", 2, "number of seeds")
	length    = flag.Duration("soak.length", 10*time.Second, "period in which faults are started")
	instances = flag.Int("soak.instances", 6, "number of relay instances")
	keepLogs  = flag.String("soak.keep", "", "directory for the instance logs of failed runs")

	binary  string
	subnets atomic.Int32
)

// The bounds of the users' specification, and the tolerances of the checks.
const (
	// stabilityWindow is how long an instance and the store must have been free of faults before the bounds apply.
	stabilityWindow = 4 * time.Second
	// drainLimit, applyLimit and domainOutLimit are how long an upstream that drains, a changed route and a failure domain that is out of
	// service may still be treated as before; stopLimit is how long a graceful shutdown may take.
	drainLimit     = 3 * time.Second
	applyLimit     = 3 * time.Second
	domainOutLimit = 5 * time.Second
	stopLimit      = 6 * time.Second
	// rollbackSlack is how long an instance may still act on the previous version of the configuration after a newer one, and
	// disturbedRollbackSlack if a fault affected it in between, such as a pause of its process.
	rollbackSlack          = 250 * time.Millisecond
	disturbedRollbackSlack = 8 * rollbackSlack
	// recoveryTime is how long the recovery from the last fault may take; after it, every request must be served.
	recoveryTime = 12 * time.Second
	// coldFlowLimit is the number of new flows that a cold upstream may receive within one second: the fake platform's settings for cold starts
	// have a rate of zero flows per second and a slack of five.
	coldFlowLimit = 5
	// coldStartTime is how long an upstream is cold after its start.
	coldStartTime = 2 * time.Second
	// memoryLimitKB is the limit on the peak resident memory of a process.
	memoryLimitKB = 64 << 10
)

const (
	requestTimeout = 2500 * time.Millisecond
	requestTime    = 20 * time.Millisecond
	thinkTime      = 30 * time.Millisecond
	concurrency    = 6
	// linkMbps is the speed of the instances' links according to their settings. The load nearly fills it while other instances are down, so that
	// packets queue.
	linkMbps = 0.5
	// steadyTime is how long requests are counted after recovery.
	steadyTime = 3 * time.Second
	// meanFaultInterval is the mean of the exponential distribution from which the time between the starts of two faults is drawn; the time is
	// capped at four times the mean.
	meanFaultInterval = 500 * time.Millisecond
	// meanRestoreInterval is the mean time between the end of a restore of the store and the start of the next.
	meanRestoreInterval = 4 * time.Second
	// firstSubnet is the lowest second byte of the loopback addresses that environments of this package use; other tests use lower values.
	firstSubnet = 130
)

var (
	feedAddress  = netip.MustParseAddrPort("198.18.0.1:443")
	orderAddress = netip.MustParseAddrPort("198.18.0.1:444")
	photoAddress = netip.MustParseAddrPort("198.18.0.2:443")

	routes = []stand.Route{
		{Name: "feed", Address: feedAddress, Idempotent: true, Service: "desk"},
		{Name: "order", Address: orderAddress, Service: "desk"},
		{Name: "photo", Address: photoAddress, Service: "claims"},
	}
	domains = []string{"east", "west", "north"}
	// services lists the service of each initial upstream.
	services = []string{"desk", "desk", "desk", "desk", "desk", "desk", "desk", "desk", "desk", "claims", "claims", "claims"}
)

func TestMain(m *testing.M) {
	flag.Parse()
	os.Exit(build.WithProgram(func(path string) int {
		binary = path
		return m.Run()
	}))
}

// TestSoak injects one random series of faults per seed. It guards against failures that only appear when faults overlap: requests that run
// twice or reach another service, flows that are reset while their upstream is up, missed time bounds, configurations that roll back,
// and instances that don't recover or whose memory grows.
func TestSoak(t *testing.T) {
	for n := range *seedCount {
		seed := *firstSeed + uint64(n)
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			soak(t, seed, *length)
		})
	}
}

// TestRegressionSeeds replays seeds that exposed a fault, each for as long as the fault took to appear.
func TestRegressionSeeds(t *testing.T) {
	cases := map[string]struct {
		seed   uint64
		length time.Duration
	}{
		// All pooled connections of an instance to the store stalled, and each of its following reads picked another stalled one.
		"silent connections": {seed: 11, length: 20 * time.Second},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			soak(t, tc.seed, tc.length)
		})
	}
}

// run is one soak: an environment, its load, and what is recorded for the checks.
type run struct {
	*stage.Environment
	t        *testing.T
	faultLog *faultLog
	links    *links
	injector *injector
	load     *crowd.Generator
	started  time.Time

	mu sync.Mutex
	// All below is guarded by mu.
	events     []string
	violations []string
	// changes holds when the store acknowledged the changes of operators and upstreams.
	changes changeTimes
	probes  []probe
}

// soak injects the faults of one seed and checks the outcome.
func soak(t *testing.T, seed uint64, length time.Duration) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	r := &run{
		t: t, faultLog: &faultLog{intervals: map[string][]*interval{}}, links: &links{blockCounts: map[[2]string]int{}, delays: map[[2]string]time.Duration{}},
		started: time.Now(), changes: newChangeTimes(),
	}
	var err error
	r.Environment, err = stage.New(ctx, stage.Config{
		Binary: binary, Dir: t.TempDir(), Subnet: firstSubnet + int(subnets.Add(1))%100, Domains: domains, Instances: *instances,
		Services: services, Routes: routes, RequestTime: requestTime, ColdFor: coldStartTime, MaxStaleness: applyLimit, Links: r.links, LinkMbps: linkMbps,
	})
	if err != nil {
		t.Fatal(err)
	}
	defer r.Close()
	// The initial upstreams must be warm before the load starts.
	time.Sleep(coldStartTime)
	r.load = crowd.Start(ctx, crowd.Config{
		Callers: r.Callers, Concurrency: concurrency, Deadline: requestTimeout, ThinkTime: thinkTime, OnReset: r.checkReset,
		Workloads: []crowd.Workload{
			{Name: "feed", Address: feedAddress, Service: "desk", Idempotent: true},
			{Name: "order", Address: orderAddress, Service: "desk"},
			{Name: "photo", Address: photoAddress, Service: "claims"},
		},
	})
	var probing sync.WaitGroup
	probing.Go(func() { r.probeRoutes(ctx, rand.New(rand.NewPCG(seed, 2))) })
	r.injector = newInjector(r, rand.New(rand.NewPCG(seed, 1)), rand.New(rand.NewPCG(seed, 3)))
	r.injector.injectFaults(length)
	r.checkRecovery()
	r.load.Stop()
	cancel()
	probing.Wait()
	r.checkAll()
	r.report(seed)
}

// timestamp formats an instant as seconds since the start of the run.
func (r *run) timestamp(at time.Time) string {
	return fmt.Sprintf("%.3f", at.Sub(r.started).Seconds())
}

// logEvent records an event with its time for the report of a failed run.
func (r *run) logEvent(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.events = append(r.events, r.timestamp(time.Now())+" "+fmt.Sprintf(format, args...))
}

// addViolation records a violated guarantee, which fails the test when the run is reported.
func (r *run) addViolation(format string, args ...any) {
	r.logEvent("VIOLATION: "+format, args...)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.violations = append(r.violations, fmt.Sprintf(format, args...))
}

// report fails the test if there are violations, and then prints all events and writes the logs of the instances to the directory of -soak.keep.
func (r *run) report(seed uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.t.Logf("seed %d: %d faults injected, %d route probes", seed, r.injector.faultCount, len(r.probes))
	if len(r.violations) == 0 && !r.t.Failed() {
		return
	}
	for _, v := range r.violations {
		r.t.Error(v)
	}
	for _, e := range r.events {
		r.t.Log(e)
	}
	if *keepLogs == "" {
		return
	}
	for _, p := range r.Processes {
		name := fmt.Sprintf("%s/%d-%s.log", *keepLogs, seed, p.Settings.Name)
		if err := os.WriteFile(name, []byte(p.Log()), 0o600); err != nil {
			r.t.Error(err)
		}
	}
}
