package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"hawthorncourse/platform/stand"
)

// The ports of the deployment; they are the same on all machines.
const (
	dataPort     = 8172
	readyPort    = 8167
	controlPort  = 8166
	storePort    = 8169
	endpointPort = 8080
)

// The groups of addresses: 127.subnet.group.number.
const (
	groupStore = 1 + iota
	groupEndpoints
	groupMachines
	groupRequesters
)

// requesterDelay is the time that a packet takes between a requester and the deployment.
const requesterDelay = 3 * time.Millisecond

var zoneNames = []string{"zone-a", "zone-b"}

// world is a small deployment.
type world struct {
	subnet    byte
	dir       string
	store     *stand.Store
	machines  []*machine
	endpoints []*endpoint
	hashMod   bool
	version   int
	loss      float64
	began     time.Time

	stopped atomic.Bool

	mu     sync.Mutex
	record *bufio.Writer
	// runs counts how often each request has run.
	runs                          map[string]int
	results                       map[string]int
	sentCount, violations, twoRan int
}

func must(err error) {
	if err != nil {
		fmt.Fprintln(os.Stderr, "cannot run:", err)
		cleanUp()
		os.Exit(2)
	}
}

// cleanUp ends the processes that were started.
var cleanUp = func() {}

func newWorld(record string) *world {
	file, err := os.Create(record)
	must(err)
	dir, err := os.MkdirTemp("", "case")
	must(err)
	w := &world{dir: dir, store: stand.NewStore(), began: time.Now(), record: bufio.NewWriter(file), version: 7, runs: map[string]int{}, results: map[string]int{}}
	cleanUp = func() {
		for _, m := range w.machines {
			m.kill()
		}
		_ = os.RemoveAll(dir)
	}
	for s := 101; ; s++ {
		if s == 250 {
			must(fmt.Errorf("no free subnet"))
		}
		w.subnet = byte(s)
		l, err := net.Listen("tcp4", w.addr(groupStore, 1, storePort).String())
		if err != nil {
			continue
		}
		go func() { _ = http.Serve(l, w.store.Handler()) }()
		return w
	}
}

func (w *world) addr(group, n int, port uint16) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, w.subnet, byte(group), byte(n)}), port)
}

// configure writes the configuration: one route to each service.
func (w *world) configure(version int, routes ...map[string]any) {
	services, seen := []map[string]any{}, map[any]bool{}
	for _, r := range routes {
		if !seen[r["service"]] {
			seen[r["service"]] = true
			services = append(services, map[string]any{
				"name": r["service"], "health-path": "/health", "max-conns": 2000, "protocol": "h1", "tls": false, "warmup-s": 2.0, "warmup-per-s": 0.0,
			})
		}
	}
	spec, err := json.Marshal(map[string]any{
		"version": version, "routes": routes, "services": services,
		"limits": map[string]any{"max-header-bytes": 16384, "max-body-bytes": 262144, "header-timeout-ms": 3000, "idle-timeout-ms": 15000},
	})
	must(err)
	w.store.Put("config", "main", spec)
}

// route returns a route of the configuration.
func route(name, host string, port int, kind, service string) map[string]any {
	return map[string]any{
		"name": name, "hostname": host, "path-prefix": fmt.Sprintf("/%d/", port), "route-type": kind, "timeout-ms": 2500, "target-latency-ms": 1000,
		"priority": 1, "service": service, "attempts": 2,
	}
}

// lost reports whether a datagram is lost.
func (w *world) lost() bool { return w.loss > 0 && rand.Float64() < w.loss }

// at returns the seconds since the start.
func (w *world) at() string { return fmt.Sprintf("%8.3f", time.Since(w.began).Seconds()) }

func (w *world) note(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.stopped.Load() {
		fmt.Fprintf(w.record, "%s "+format+"\n", append([]any{w.at()}, args...)...)
	}
}

func (w *world) violate(rule, format string, args ...any) {
	w.mu.Lock()
	w.violations++
	w.mu.Unlock()
	w.note("BROKEN "+rule+" "+format, args...)
}

func (w *world) sent(id string) {
	w.note("sent %s", id)
	w.mu.Lock()
	w.sentCount++
	w.mu.Unlock()
}

func (w *world) answered(id, result string) {
	w.note("ended %s: %s", id, result)
	w.mu.Lock()
	w.results[result]++
	w.mu.Unlock()
}

func (w *world) ran(id, by string) {
	w.note("run %s at %s", id, by)
	w.mu.Lock()
	w.runs[id]++
	n := w.runs[id]
	w.mu.Unlock()
	if n > 1 {
		w.violate("TWICE", "%s ran %d times", id, n)
	}
}

// holder returns the endpoint at which a flow is open, or nil.
func (w *world) holder(key flowKey) *endpoint {
	for _, e := range w.endpoints {
		if e.holds(key) {
			return e
		}
	}
	return nil
}

// who names the owner of an address.
func (w *world) who(a netip.Addr) string {
	for _, e := range w.endpoints {
		if e.address.Addr() == a {
			return "endpoint " + e.name()
		}
	}
	for _, m := range w.machines {
		if m.ip == a {
			return "machine " + m.name
		}
	}
	return a.String()
}

// route returns the machine that the router of a zone selects for a flow.
func (w *world) route(zone int, key flowKey) (netip.AddrPort, bool) {
	var own, in []*machine
	for _, m := range w.machines {
		if m.zone == zone {
			own = append(own, m)
			if m.inRotation.Load() {
				in = append(in, m)
			}
		}
	}
	if 2*len(in) < len(own) {
		in = own
	}
	if len(in) == 0 {
		return netip.AddrPort{}, false
	}
	if w.hashMod {
		return in[hashOf(key, "")%uint64(len(in))].data(), true
	}
	best, top := in[0], uint64(0)
	for _, m := range in {
		if h := hashOf(key, m.name); h >= top {
			best, top = m, h
		}
	}
	return best.data(), true
}

func hashOf(key flowKey, salt string) uint64 {
	h := fnv.New64a()
	fmt.Fprint(h, key.requester, key.route, salt)
	x := h.Sum64()
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	return x
}

// finish writes the summary and exits: 1 if a rule was broken, 0 if not.
func (w *world) finish() {
	cleanUp()
	w.note("summary: %d sent, ended %v, %d violations", w.sentCount, w.results, w.violations)
	w.stopped.Store(true)
	w.mu.Lock()
	_ = w.record.Flush()
	broken := w.violations
	fmt.Printf("%d sent, ended %v, %d violations\n", w.sentCount, w.results, broken)
	if w.results["ok"] == 0 {
		os.Exit(2)
	}
	if broken > 0 {
		os.Exit(1)
	}
	os.Exit(0)
}
