// Package soak runs relay instances as processes under random series of faults from outside, and checks what callers and upstreams see.
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
	length    = flag.Duration("soak.length", 10*time.Second, "time in which faults begin")
	instances = flag.Int("soak.instances", 6, "instances at the start")
	keepLogs  = flag.String("soak.keep", "", "folder for the logs of runs that fail")

	binary  string
	subnets atomic.Int32
)

// The bounds of the users' pages.
const (
	stabilityWindow = 4 * time.Second
	drainLimit      = 3 * time.Second
	applyLimit      = 3 * time.Second
	evacuationLimit = 5 * time.Second
	stopLimit       = 6 * time.Second
	// rollbackSlack is how long an instance may still act on the version before, and slowedSlack if it stood still.
	rollbackSlack          = 250 * time.Millisecond
	disturbedRollbackSlack = 8 * rollbackSlack
	// recoveryTime is when everything works again after the last fault.
	recoveryTime = 12 * time.Second
	// coldFlowLimit is how many flows a cold upstream bears in a second: none by itself, and a slack of five.
	coldFlowLimit = 5
	coldStartTime = 2 * time.Second
	// memoryLimitKB is what a process may hold, in KB.
	memoryLimitKB = 64 << 10
)

const (
	requestTimeout = 2500 * time.Millisecond
	requestTime    = 20 * time.Millisecond
	thinkTime      = 30 * time.Millisecond
	concurrency    = 6
	// steadyTime is how long the load is watched after recovery.
	steadyTime = 3 * time.Second
	// meanFaultInterval is the mean time between two faults.
	meanFaultInterval = 500 * time.Millisecond
	// firstSubnet is the second byte of the first stage's loopback addresses; other tests use lower ones.
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
	// services are those of the first upstreams.
	services = []string{"desk", "desk", "desk", "desk", "desk", "desk", "desk", "desk", "desk", "claims", "claims", "claims"}
)

func TestMain(m *testing.M) {
	flag.Parse()
	dir, err := os.MkdirTemp("", "hawthorncourse")
	if err != nil {
		panic(err)
	}
	if binary, err = build.Program(context.Background(), dir); err != nil {
		panic(err)
	}
	code := m.Run()
	_ = os.RemoveAll(dir)
	os.Exit(code)
}

// TestSoak runs random series of faults, one for each seed.
func TestSoak(t *testing.T) {
	for n := range *seedCount {
		seed := *firstSeed + uint64(n)
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			soak(t, seed, *length)
		})
	}
}

// TestRegressionSeeds runs seeds that once failed, each for as long as it took.
func TestRegressionSeeds(t *testing.T) {
	cases := map[string]struct {
		seed   uint64
		length time.Duration
	}{
		// All connections of an instance to the store went silent, and each of its next reads took another of them.
		"silent connections": {seed: 11, length: 20 * time.Second},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			soak(t, tc.seed, tc.length)
		})
	}
}

// run is one soak.
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
	// changes are what operators and upstreams had acknowledged, for the checks.
	changes changeTimes
	probes  []probe
}

// soak plays one seed and checks it.
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
		Services: services, Routes: routes, RequestTime: requestTime, ColdFor: coldStartTime, MaxStaleness: applyLimit, Links: r.links,
	})
	if err != nil {
		t.Fatal(err)
	}
	defer r.Close()
	// The first upstreams start before the traffic and are warm then.
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
	r.injector = newInjector(r, rand.New(rand.NewPCG(seed, 1)))
	r.injector.injectFaults(length)
	r.checkRecovery()
	r.load.Stop()
	cancel()
	probing.Wait()
	r.checkAll()
	r.report(seed)
}

// timestamp returns an instant as the notes show it.
func (r *run) timestamp(at time.Time) string {
	return fmt.Sprintf("%.3f", at.Sub(r.started).Seconds())
}

// logEvent keeps what was done, for the report.
func (r *run) logEvent(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.events = append(r.events, r.timestamp(time.Now())+" "+fmt.Sprintf(format, args...))
}

// addViolation keeps a broken promise.
func (r *run) addViolation(format string, args ...any) {
	r.logEvent("BROKEN: "+format, args...)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.violations = append(r.violations, fmt.Sprintf(format, args...))
}

// report fails the test with everything that is needed to trace what happened.
func (r *run) report(seed uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.t.Logf("seed %d: %d faults, %d probes", seed, r.injector.faultCount, len(r.probes))
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
