package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cespare/xxhash/v2"

	"hawthorncourse/internal/core/model"
	"hawthorncourse/platform/stand"
)

// The ports of the loopback addresses. They are the same on all machines.
const (
	dataPort     = 8172
	readyPort    = 8167
	controlPort  = 8166
	endpointPort = 8140
	storePort    = 8169
	metricsPort  = 9464
)

// The third byte of a loopback address tells what has it.
const (
	groupStore = 1 + iota
	groupRelays
	groupEndpoints
	groupRequesters
)

// delayLine runs functions in order, each a fixed time after it was added: a link with a delay, on which packets do not overtake each other.
type delayLine struct {
	delay time.Duration
	queue chan delayed
}

type delayed struct {
	at time.Time
	f  func()
}

func newDelayLine(delay time.Duration) *delayLine {
	l := &delayLine{delay: delay, queue: make(chan delayed, 1<<16)}
	go func() {
		for d := range l.queue {
			time.Sleep(time.Until(d.at))
			d.f()
		}
	}()
	return l
}

// add queues a function; it drops it if the link is full.
func (l *delayLine) add(f func()) {
	select {
	case l.queue <- delayed{at: time.Now().Add(l.delay), f: f}:
	default:
	}
}

// worldConfig configures a world.
type worldConfig struct {
	zones []string
	// relays holds the zone of each relay instance, endpoints those of the endpoints.
	relays    []int
	endpoints []endpointSpec
	routes    []routeSpec
	// warmupS and warmupPerS are the warm-up time and the rate of a cold endpoint in the configuration of every service.
	warmupS, warmupPerS float64
	// clientDelay is the one-way delay between requesters and the platform.
	clientDelay time.Duration
}

type endpointSpec struct {
	zone    int
	service string
}

// routeSpec is one route of the configuration.
type routeSpec struct {
	name, kind, service string
	address             netip.AddrPort
	priority            int
}

// world is a small deployment: relay processes and stand-ins for the platform, the endpoints and the requesters.
type world struct {
	cfg    worldConfig
	dir    string
	rec    *record
	store  *stand.Store
	subnet byte
	// stop is closed at the end of the run.
	stop chan struct{}

	relays     []*relayProcess
	endpoints  []*endpoint
	requesters []*requester

	mu sync.Mutex
	// everRouted holds what any configuration has allowed.
	everRouted map[routeTarget]bool
}

// withoutEra removes a header that the project's stand-in sends and the pages do not describe.
func withoutEra(h http.Handler) http.Handler {
	return http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) { h.ServeHTTP(eraFilter{rw}, r) })
}

type eraFilter struct{ http.ResponseWriter }

// WriteHeader implements http.ResponseWriter.
func (f eraFilter) WriteHeader(status int) {
	f.Header().Del("Store-Era")
	f.ResponseWriter.WriteHeader(status)
}

func newWorld(cfg worldConfig, rec *record) (*world, error) {
	dir, err := os.MkdirTemp("", "review-case-")
	if err != nil {
		return &world{stop: make(chan struct{})}, err
	}
	w := &world{cfg: cfg, dir: dir, rec: rec, store: stand.NewStore(), stop: make(chan struct{}), everRouted: map[routeTarget]bool{}}
	l, subnet, err := listenStore()
	if err != nil {
		return w, err
	}
	w.subnet = subnet
	go func() { _ = http.Serve(l, withoutEra(w.store.Handler())) }()
	w.configure(1, cfg.routes)
	for n, spec := range cfg.endpoints {
		e := &endpoint{w: w, index: n, spec: spec, number: uint64(0xe0000000 + n + 1)}
		w.endpoints = append(w.endpoints, e)
		if err := e.start(0); err != nil {
			return w, err
		}
	}
	for n, zone := range cfg.relays {
		p := &relayProcess{w: w, index: n, zone: zone}
		w.relays = append(w.relays, p)
		if err := p.start(); err != nil {
			return w, err
		}
	}
	for n := range cfg.zones {
		r, err := newRequester(w, n)
		if err != nil {
			return w, err
		}
		w.requesters = append(w.requesters, r)
	}
	go w.checkReadiness()
	for deadline := time.Now().Add(15 * time.Second); !w.allReady(); time.Sleep(20 * time.Millisecond) {
		if time.Now().After(deadline) {
			return w, fmt.Errorf("the relay instances did not become ready within 15 s")
		}
	}
	return w, nil
}

// close ends all processes that the world has started.
func (w *world) close() {
	select {
	case <-w.stop:
	default:
		close(w.stop)
	}
	for _, p := range w.relays {
		p.kill()
	}
	_ = os.RemoveAll(w.dir)
}

// listenStore opens the store's port on the first subnet of loopback addresses that no other run uses, and returns the subnet's second byte.
func listenStore() (l net.Listener, subnet byte, err error) {
	for n := 90; n < 250; n++ {
		if l, err = net.Listen("tcp", fmt.Sprintf("127.%d.%d.1:%d", n, groupStore, storePort)); err == nil {
			return l, byte(n), nil
		}
	}
	return nil, 0, err
}

func (w *world) addr(group, host int, port uint16) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, w.subnet, byte(group), byte(host)}), port)
}

// allowed reports whether a configuration has ever allowed the requests of a route to go to a service.
func (w *world) allowed(route netip.AddrPort, service string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.everRouted[routeTarget{route, service}]
}

// routeTarget is a service that a configuration lets the requests of a route go to.
type routeTarget struct {
	route   netip.AddrPort
	service string
}

// configure writes a version of the configuration.
func (w *world) configure(version int, routes []routeSpec) {
	w.mu.Lock()
	for _, r := range routes {
		w.everRouted[routeTarget{r.address, r.service}] = true
	}
	w.mu.Unlock()
	list, services, seen := []map[string]any{}, []map[string]any{}, map[string]bool{}
	for _, r := range routes {
		list = append(list, map[string]any{
			"name": r.name, "hostname": r.address.Addr().String(), "path-prefix": fmt.Sprintf("/%d/", r.address.Port()), "route-type": r.kind,
			"timeout-ms": 2000, "target-latency-ms": 400, "priority": r.priority, "service": r.service, "attempts": 2,
		})
		if !seen[r.service] {
			seen[r.service] = true
			services = append(services, map[string]any{
				"name": r.service, "health-path": "/health", "max-conns": 2000, "protocol": "h1", "tls": false,
				"warmup-s": w.cfg.warmupS, "warmup-per-s": w.cfg.warmupPerS,
			})
		}
	}
	spec, _ := json.Marshal(map[string]any{
		"version": version, "routes": list, "services": services,
		"limits": map[string]any{"max-header-bytes": 16384, "max-body-bytes": 262144, "header-timeout-ms": 3000, "idle-timeout-ms": 15000},
	})
	w.store.Put("config", "main", spec)
}

// checkReadiness does what the platform's routers do: two checks a second, out of rotation after two misses, back after one answer.
func (w *world) checkReadiness() {
	client := &http.Client{Timeout: 400 * time.Millisecond, Transport: &http.Transport{DisableKeepAlives: true}}
	for {
		for _, p := range w.relays {
			go func() {
				res, err := client.Get("http://" + w.addr(groupRelays, p.index+1, readyPort).String() + "/api/ready")
				if err == nil {
					_ = res.Body.Close()
				}
				if err == nil && res.StatusCode == http.StatusOK {
					p.misses.Store(0)
					p.rotate(true)
				} else if p.misses.Add(1) >= 2 {
					p.rotate(false)
				}
			}()
		}
		select {
		case <-time.After(500 * time.Millisecond):
		case <-w.stop:
			return
		}
	}
}

func (w *world) allReady() bool {
	for _, p := range w.relays {
		if !p.inRotation.Load() {
			return false
		}
	}
	return true
}

// route returns the relay that the routers send a flow's packet to: by a steady hash over the nodes of the requester's zone that are in rotation, over all
// nodes of the zone if fewer than half are, and over those of the other zones if none is.
func (w *world) route(key model.FlowKey, zone int) *relayProcess {
	var in, zoneAll, others []*relayProcess
	for _, p := range w.relays {
		switch {
		case p.zone == zone:
			zoneAll = append(zoneAll, p)
			if p.inRotation.Load() {
				in = append(in, p)
			}
		case p.inRotation.Load():
			others = append(others, p)
		}
	}
	switch {
	case len(in) == 0 && len(others) > 0:
		in = others
	case 2*len(in) < len(zoneAll):
		in = zoneAll
	}
	var best *relayProcess
	var bestHash uint64
	for _, p := range in {
		if h := xxhash.Sum64String(key.Caller.String() + key.Service.String() + strconv.Itoa(p.index)); best == nil || h > bestHash {
			best, bestHash = p, h
		}
	}
	return best
}

// relayProcess is one relay instance, started by the command of the deploy file.
type relayProcess struct {
	w           *world
	index, zone int
	inRotation  atomic.Bool
	misses      atomic.Int32

	mu     sync.Mutex
	cmd    *exec.Cmd
	exited chan struct{}
}

func (p *relayProcess) name() string {
	return fmt.Sprintf("frontend-%s-%d", p.w.cfg.zones[p.zone], p.index+1)
}

func (p *relayProcess) rotate(in bool) {
	if p.inRotation.Swap(in) != in {
		p.w.rec.event("routers: %s in rotation: %t", p.name(), in)
	}
}

func (p *relayProcess) settings() string {
	w := p.w
	var zones, seeds strings.Builder
	for _, z := range w.cfg.zones {
		fmt.Fprintf(&zones, "%s = \"region-1\"\n", z)
	}
	for n := range min(3, len(w.cfg.relays)) {
		fmt.Fprintf(&seeds, "%s%q", strings.Repeat(",", min(n, 1)), w.addr(groupRelays, n+1, controlPort))
	}
	ip := w.addr(groupRelays, p.index+1, 0).Addr()
	return fmt.Sprintf(`node-name = %q
role = "relay"
machine-class = "frontend"
serves = ["frontend","control"]
ip = %q
zone = %q
region = "region-1"
internal-ports = [7720,7735]
seeds = [%s]
bootstrap = true
in-tolerance = false
discovery = "platform"
entry = "announce"
heartbeat-ms = 1200
contracts = ["base","drain","config","cost","recover","flows","places","platform"]
hash = "steady"
topology = "echo"
[zones]
%s[listen]
data-addr = "%s:%d"
ready-addr = "%s:%d"
control = "%s:%d"
[limits]
cpu-share = 0.4
cores = 1
memory-mb = 284
max-fds = 4100
link-mbps = 1000.0
disk-mb = 0
[fault-tolerance]
machines = 1
zones = 1
regions = 0
[bounds]
seed-lag-s = 3
reuse-after-s = 2
stability-window-ms = 4000
ack-ms = 5000
sync-s = 4
drain-ms = 3000
grace-s = 6
lost-ms = 200
config-apply-ms = 3000
rollback-slack-ms = 250
outer-ms = 12000
cold-over = 1.5
cold-slack = 5
evac-ms = 5000
recovery-s = 12
flow-timeout-ms = 2000
max-flow-s = 60
[platform]
address = %q
topology = "objects"
writes-per-s = 400
reads-per-s = 2000
history-s = 20
value-bytes = 1048576
ttl-min-ms = 1000
`, p.name(), ip, w.cfg.zones[p.zone], seeds.String(), zones.String(), ip, dataPort, ip, readyPort, ip, controlPort, w.addr(groupStore, 1, storePort))
}

// start starts the process with the command that deploy/system.toml gives.
func (p *relayProcess) start() error {
	path := filepath.Join(p.w.dir, fmt.Sprintf("settings-%d.toml", p.index))
	if err := os.WriteFile(path, []byte(p.settings()), 0o600); err != nil {
		return err
	}
	logFile, err := os.OpenFile(filepath.Join(p.w.dir, fmt.Sprintf("relay-%d.log", p.index)), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	words := deployCommand()
	cmd := exec.Command(words[0], words[1:]...)
	cmd.Env = append(os.Environ(), "HAWTHORNCOURSE_BOOT="+path)
	cmd.Stdout, cmd.Stderr = logFile, logFile
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	p.mu.Lock()
	p.cmd, p.exited = cmd, exited
	p.mu.Unlock()
	go func() {
		err := cmd.Wait()
		_ = logFile.Close()
		p.w.rec.event("%s has exited: %v", p.name(), err)
		close(exited)
	}()
	return nil
}

// deployCommand returns the words of the run line of deploy/system.toml; the program is started in the repository's root.
func deployCommand() []string {
	text, err := os.ReadFile("deploy/system.toml")
	if err == nil {
		for _, line := range strings.Split(string(text), "\n") {
			if rest, ok := strings.CutPrefix(line, "run = "); ok {
				return strings.Fields(strings.Trim(rest, `" `))
			}
		}
	}
	return []string{"target/hawthorncourse", "relay", "-metrics", strconv.Itoa(metricsPort)}
}

func (p *relayProcess) signal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd != nil {
		_ = p.cmd.Process.Signal(s)
	}
}

func (p *relayProcess) kill() {
	p.mu.Lock()
	exited := p.exited
	p.mu.Unlock()
	if exited == nil {
		return
	}
	p.signal(syscall.SIGKILL)
	<-exited
}

// restart stops the process as the platform does, SIGTERM and SIGKILL after grace-s, and starts it again.
func (p *relayProcess) restart() error {
	p.w.rec.event("operator: SIGTERM to %s", p.name())
	p.signal(syscall.SIGTERM)
	p.mu.Lock()
	exited := p.exited
	p.mu.Unlock()
	select {
	case <-exited:
	case <-time.After(6 * time.Second):
		p.signal(syscall.SIGKILL)
		<-exited
	}
	select {
	case <-p.w.stop:
		return nil
	default:
	}
	time.Sleep(100 * time.Millisecond)
	p.w.rec.event("operator: starts %s", p.name())
	return p.start()
}
