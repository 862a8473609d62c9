package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"math/rand/v2"
	"net"
	"net/netip"
	"slices"
	"sync/atomic"
	"syscall"
	"time"

	"hawthorncourse/internal/stand/stage"
	"hawthorncourse/platform/stand"
)

const (
	// heartbeat is the interval at which upstreams write their registrations (heartbeat-ms of the site).
	heartbeat = 1200 * time.Millisecond
	// changeBound is drain-ms and config-apply-ms of the site.
	changeBound = 3 * time.Second
	// coldFor is the duration of a cold start (warmup-s of the site).
	coldFor = 2 * time.Second
	// packetPort is the port at which instances of the test environment receive packets.
	packetPort = 7172
	// startAttempts is how often the start is tried with other addresses, if another process takes the same ones.
	startAttempts = 3
	firstSubnet   = 231
	lastSubnet    = 255
)

// requestTime is how long an upstream works on one request.
const requestTime = 20 * time.Millisecond

const (
	orderService = "order-desk"
	claimService = "field-claims"
)

var (
	domains = []string{"musanze", "gakenke", "burera"}

	feedRoute  = stand.Route{Name: "stock-feed", Address: netip.MustParseAddrPort("198.18.0.1:8443"), Idempotent: true, Service: orderService}
	orderRoute = stand.Route{Name: "tray-order", Address: netip.MustParseAddrPort("198.18.0.1:8080"), Service: orderService}
	claimRoute = stand.Route{Name: "yield-photo", Address: netip.MustParseAddrPort("198.18.0.2:8443"), Service: claimService}
)

// scenario is one run of a case.
type scenario struct {
	ctx         context.Context
	binary, dir string
	rec         *record
	trouble     bool

	env       *stage.Environment
	upstreams []*stand.Upstream
	nextID    atomic.Int64
}

// start starts an installation of the size of ikirere-lb: 7 instances in 3 failure domains, 14 upstreams of one service and 4 of another.
func (s *scenario) start() error {
	return s.startWith(func(*stage.Config) {})
}

// startWith is start with a changed configuration of the environment.
func (s *scenario) startWith(edit func(*stage.Config)) (err error) {
	var services []string
	for range 14 {
		services = append(services, orderService)
	}
	for range 4 {
		services = append(services, claimService)
	}
	cfg := stage.Config{
		Binary: s.binary, Dir: s.dir, Domains: domains, Instances: 7, Services: services,
		Routes: []stand.Route{feedRoute, orderRoute, claimRoute}, RequestTime: requestTime, ColdFor: coldFor, MaxStaleness: changeBound, LinkMbps: 1000,
	}
	edit(&cfg)
	for range startAttempts {
		if cfg.Subnet, err = freeSubnet(); err != nil {
			return err
		}
		if s.env, err = stage.New(s.ctx, cfg); !errors.Is(err, syscall.EADDRINUSE) {
			break
		}
	}
	if err != nil {
		return err
	}
	s.upstreams = s.env.Upstreams()
	for _, u := range s.upstreams {
		go s.sendHeartbeats(u)
	}
	s.rec.Printf("%d instances and %d upstreams are ready", len(s.env.Processes), len(s.upstreams))
	return nil
}

// close stops all processes and stand-ins.
func (s *scenario) close() {
	if s.env == nil {
		return
	}
	for _, p := range s.env.Processes {
		for _, err := range p.UnexpectedExits() {
			s.rec.Printf("%v", err)
		}
	}
	s.env.Close()
}

// recordExecutions records which request ran at which upstream, and how often.
func (s *scenario) recordExecutions() {
	for _, u := range s.upstreams {
		executions := u.Executions()
		for _, id := range slices.Sorted(maps.Keys(executions)) {
			s.rec.Printf("%s ran %s, times: %d", u.Name(), id, executions[id])
		}
	}
}

// freeSubnet returns the second byte of loopback addresses that nothing else uses.
func freeSubnet() (int, error) {
	for range 50 {
		subnet := firstSubnet + rand.IntN(lastSubnet-firstSubnet)
		addr := net.UDPAddrFromAddrPort(netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, byte(subnet), 3, 1}), packetPort))
		conn, err := net.ListenUDP("udp", addr)
		if err == nil {
			return subnet, conn.Close()
		}
	}
	return 0, errors.New("no free loopback addresses")
}

// sendHeartbeats writes the registration of an upstream at each heartbeat while it runs; seq increases with each write.
func (s *scenario) sendHeartbeats(u *stand.Upstream) {
	sleep(s.ctx, rand.N(heartbeat))
	for seq := 2; s.ctx.Err() == nil; seq++ {
		s.writeRegistration(u, seq)
		sleep(s.ctx, heartbeat)
	}
}

func (s *scenario) writeRegistration(u *stand.Upstream, seq int) {
	runs := u.Runs()
	run := runs[len(runs)-1]
	if !run.Stopped.IsZero() {
		return
	}
	spec := registration(u)
	spec["seq"] = seq
	spec["born"] = run.Started.UnixMilli()
	spec["warmup-left-ms"] = max(time.Until(run.WarmAt), 0).Milliseconds()
	s.put("servers", u.Name(), spec)
}

// registration returns the fields of an upstream's registration that do not change.
func registration(u *stand.Upstream) map[string]any {
	return map[string]any{
		"service": u.Service(), "address": u.Address().String(), "zone": u.Domain(), "version": "v1", "slots": 3, "state": "ready",
		"warmup-left-ms": 0, "seq": 1,
	}
}

func (s *scenario) put(kind, name string, spec map[string]any) {
	text, err := json.Marshal(spec)
	if err != nil {
		panic(err)
	}
	s.env.Store.Put(kind, name, text)
}

// request sends one request on a flow and records its outcome.
func (s *scenario) request(f *stand.Flow, timeout time.Duration) error {
	id := fmt.Sprintf("q%d for %s", s.nextID.Add(1), f.Key().Service)
	ctx, cancel := context.WithTimeout(s.ctx, timeout)
	defer cancel()
	s.rec.Printf("sent %s on flow %s", id, f.Key().Caller)
	answer, err := f.Request(ctx, id)
	if err != nil {
		s.rec.Printf("failed %s on flow %s: %v", id, f.Key().Caller, err)
		return err
	}
	s.rec.Printf("answered %s on flow %s: %s", id, f.Key().Caller, answer)
	return nil
}

// holder returns the upstream at which a flow is open, or nil.
func (s *scenario) holder(f *stand.Flow) *stand.Upstream {
	for _, u := range s.upstreams {
		if u.HasFlow(f.Key()) {
			return u
		}
	}
	return nil
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-time.After(d):
	case <-ctx.Done():
	}
}
