// Package direct proves flows that upstreams answer directly, by processes that run as programs between stand-ins of the platform.
package direct

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"hawthorncourse/internal/bench/build"
	"hawthorncourse/internal/core/model"
	"hawthorncourse/platform"
	"hawthorncourse/platform/stand"
)

const (
	packetPort  = 7172
	readyPort   = 7167
	controlPort = 7166
	upPort      = 7080
	startLimit  = 15 * time.Second
	// changeBy is the users' bound for every change.
	changeBy = 3 * time.Second
	// deadline and work are those of the users' smaller requests.
	deadline = 2500 * time.Millisecond
	work     = 20 * time.Millisecond
	checkGap = 500 * time.Millisecond
	// thinkTime is a caller's pause between two requests.
	thinkTime = 30 * time.Millisecond
)

var (
	binary string
	// subnets numbers the stages, so that those that run at once do not meet.
	subnets atomic.Int32

	feedAddress  = netip.MustParseAddrPort("198.18.0.1:443")
	orderAddress = netip.MustParseAddrPort("198.18.0.1:444")
	photoAddress = netip.MustParseAddrPort("198.18.0.2:443")
	newAddress   = netip.MustParseAddrPort("198.18.0.3:443")

	feed  = stand.Route{Name: "feed", Address: feedAddress, Idempotent: true, Service: "desk"}
	order = stand.Route{Name: "order", Address: orderAddress, Service: "desk"}
	photo = stand.Route{Name: "photo", Address: photoAddress, Service: "claims"}
)

func TestMain(m *testing.M) {
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

// process is one instance.
type process struct {
	settings stand.Settings
	path     string
	log      string
	cmd      *exec.Cmd
	ended    chan error
	// ready is set while routers send to it.
	ready atomic.Bool
}

// stage is a platform of stand-ins with instances in two failure domains.
type stage struct {
	t         *testing.T
	ctx       context.Context
	store     *stand.Store
	upstreams []*stand.Upstream
	processes []*process
	caller    *stand.Caller
	subnet    int
	load      *load
}

// newStage starts two instances and three upstreams in each of two failure domains, and callers.
func newStage(t *testing.T) *stage {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	s := &stage{t: t, ctx: ctx, store: stand.NewStore(), subnet: int(subnets.Add(1)) + 40}
	listener, err := net.Listen("tcp", s.addr(1, 1, 0).String())
	s.check(err)
	srv := &http.Server{Handler: s.store.Handler(), ReadHeaderTimeout: time.Minute}
	go func() { _ = srv.Serve(listener) }()
	store := netip.MustParseAddrPort(listener.Addr().String())
	s.store.Configure(1, feed, order, photo)
	for n := range 6 {
		service := "desk"
		if n >= 4 {
			service = "claims"
		}
		u, err := stand.StartUpstream(stand.UpstreamConfig{
			Number: uint64(n + 1), Service: service, Domain: domainOf(n), Address: s.addr(2, n+1, upPort), CallerPort: packetPort, Work: work, Store: s.store,
		})
		s.check(err)
		s.upstreams = append(s.upstreams, u)
	}
	dir := t.TempDir()
	for n := range 4 {
		p := &process{
			path: filepath.Join(dir, fmt.Sprintf("%d.toml", n)), log: filepath.Join(dir, fmt.Sprintf("%d.log", n)),
			settings: stand.Settings{
				Name: fmt.Sprintf("instance-%d", n), Domain: domainOf(n), Packets: s.addr(3, n+1, packetPort), Ready: s.addr(3, n+1, readyPort),
				Control: s.addr(3, n+1, controlPort), Seeds: []netip.AddrPort{s.addr(3, 1, controlPort), s.addr(3, 2, controlPort)}, Store: store, ChangeBy: changeBy,
			},
		}
		s.processes = append(s.processes, p)
		s.start(p)
	}
	s.caller, err = stand.NewCaller(s.addr(4, 1, packetPort), s.route)
	s.check(err)
	go s.checkReady()
	t.Cleanup(func() {
		s.load.stop()
		cancel()
		for _, p := range s.processes {
			p.kill()
		}
		s.caller.Close()
		for _, u := range s.upstreams {
			u.Close()
		}
		_ = srv.Close()
		if t.Failed() {
			s.printLogs()
		}
	})
	for _, p := range s.processes {
		s.await(startLimit, "instance ready", p.ready.Load)
	}
	s.load = startLoad(s)
	return s
}

func domainOf(n int) string {
	return []string{"east", "west"}[n%2]
}

func (s *stage) addr(group, host int, port uint16) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, byte(s.subnet), byte(group), byte(host)}), port)
}

func (s *stage) check(err error) {
	s.t.Helper()
	if err != nil {
		s.t.Fatal(err)
	}
}

func (s *stage) await(limit time.Duration, what string, is func() bool) {
	s.t.Helper()
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		if is() {
			return
		}
	}
	s.t.Fatalf("%s: not within %s", what, limit)
}

// start starts an instance's process.
func (s *stage) start(p *process) {
	s.t.Helper()
	s.check(os.WriteFile(p.path, p.settings.File(), 0o600))
	out, err := os.OpenFile(p.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	s.check(err)
	p.cmd = exec.Command(binary, "relay")
	p.cmd.Env = append(os.Environ(), platform.SettingsVariable+"="+p.path)
	p.cmd.Stdout, p.cmd.Stderr = out, out
	s.check(p.cmd.Start())
	p.ended = make(chan error, 1)
	cmd, ended := p.cmd, p.ended
	go func() {
		ended <- cmd.Wait()
		_ = out.Close()
	}()
}

func (p *process) kill() {
	_ = p.cmd.Process.Kill()
	p.ready.Store(false)
}

// checkReady plays the routers' readiness checks; two misses take an instance out.
func (s *stage) checkReady() {
	client := &http.Client{Timeout: checkGap}
	misses := make([]int, len(s.processes))
	for s.ctx.Err() == nil {
		for n, p := range s.processes {
			res, err := client.Get("http://" + p.settings.Ready.String() + platform.ReadyPath)
			if err == nil {
				_ = res.Body.Close()
			}
			if err == nil && res.StatusCode == http.StatusOK {
				misses[n] = 0
				p.ready.Store(true)
			} else if misses[n]++; misses[n] >= 2 {
				p.ready.Store(false)
			}
		}
		time.Sleep(checkGap)
	}
}

// route returns the instance for a packet, by a hash over those that are ready.
func (s *stage) route(key model.FlowKey) netip.AddrPort {
	var pool []netip.AddrPort
	for _, p := range s.processes {
		if p.ready.Load() {
			pool = append(pool, p.settings.Packets)
		}
	}
	if len(pool) == 0 {
		return netip.AddrPort{}
	}
	return pool[key.Hash()%uint64(len(pool))]
}

func (s *stage) printLogs() {
	for _, p := range s.processes {
		text, _ := os.ReadFile(p.log)
		s.t.Logf("%s:\n%s", p.settings.Name, text)
	}
}

// checkPromises checks what must hold in every run: nothing runs twice, nothing crosses services, no packet is changed.
func (s *stage) checkPromises() {
	s.t.Helper()
	s.load.stop()
	ran := map[string]int{}
	for _, u := range s.upstreams {
		for _, fault := range u.Faults() {
			s.t.Errorf("upstream %s: %s", u.Name(), fault)
		}
		for id, n := range u.Ran() {
			ran[id] += n
		}
	}
	for id, n := range ran {
		if n > 1 {
			s.t.Errorf("%s ran %d times", id, n)
		}
	}
	for _, fault := range s.load.faults {
		s.t.Error(fault)
	}
	if n := s.caller.Forged(); n > 0 {
		s.t.Errorf("%d packets reached callers changed", n)
	}
	for _, p := range s.processes {
		select {
		case err := <-p.ended:
			s.t.Errorf("%s ended by itself: %v", p.settings.Name, err)
		default:
		}
	}
}

// restart ends an instance by a signal, if that is not zero, and starts it again; it returns how the process ended.
func (s *stage) restart(p *process, sig syscall.Signal) error {
	s.t.Helper()
	s.check(p.cmd.Process.Signal(sig))
	var err error
	select {
	case err = <-p.ended:
	case <-time.After(startLimit):
		s.t.Fatalf("%s does not end", p.settings.Name)
	}
	p.ready.Store(false)
	s.start(p)
	return err
}
