// Package stage runs relay instances as processes between stand-ins of the platform: its store, upstreams, callers and routers.
package stage

import (
	"bytes"
	"context"
	"fmt"
	"net"
	"net/netip"
	"path/filepath"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"hawthorncourse/internal/stand/tunnel"
	"hawthorncourse/platform/stand"
)

const (
	packetPort  = 7172
	readyPort   = 7167
	controlPort = 7166
	upPort      = 7080
	storePort   = 7400
)

// The groups of loopback addresses, by the third byte.
const (
	groupStore = 1 + iota
	groupUpstreams
	groupInstances
	groupCallers
	// groupTunnels is the first of those that stand in the place of control addresses, one for each calling instance.
	groupTunnels
)

// Config is what a Stage is built from.
type Config struct {
	// Binary is the program that instances run.
	Binary string
	// Dir holds settings and logs.
	Dir string
	// Subnet is the second byte of every loopback address; stages that run at once have different ones.
	Subnet int
	// Domains holds the failure domains.
	Domains []string
	// Instances is the number of instances; they are in the failure domains in turn.
	Instances int
	// Services names the service of each upstream; upstreams are in the failure domains in turn.
	Services []string
	// Routes holds the first configuration.
	Routes []stand.Route
	// Work is how long one request takes.
	Work time.Duration
	// ColdFor is how long an upstream is cold after its start.
	ColdFor time.Duration
	// ChangeBy is the time in which every change must be in force.
	ChangeBy time.Duration
	// Tunnels puts a tunnel between any two instances.
	Tunnels tunnel.Links
}

// Stage is a platform of stand-ins with instances.
type Stage struct {
	cfg Config
	ctx context.Context
	end context.CancelFunc

	Store     *stand.Store
	Processes []*Process
	// Callers holds one caller in each failure domain.
	Callers []*stand.Caller

	mu sync.Mutex
	// All below is guarded by mu.
	upstreams []*stand.Upstream
	tunnels   map[pair]*tunnel.Tunnel
	closers   []func()
	// lossy is the share of callers' packets that never reach an instance.
	lossy float64
}

// pair names two instances, by their numbers.
type pair struct {
	from, to int
}

// New starts a stage; the instances are ready when it returns.
func New(ctx context.Context, cfg Config) (s *Stage, err error) {
	defer func() {
		if err != nil {
			err = eris.Wrap(err, "start stage")
			s.Close()
		}
	}()
	s = &Stage{cfg: cfg, Store: stand.NewStore(), tunnels: map[pair]*tunnel.Tunnel{}}
	s.ctx, s.end = context.WithCancel(ctx)
	s.Store.Configure(1, cfg.Routes...)
	for n, service := range cfg.Services {
		if _, err = s.AddUpstream(uint64(n+1), service, cfg.Domains[n%len(cfg.Domains)], s.upstreamAddress(n+1)); err != nil {
			return s, err
		}
	}
	for n := range cfg.Instances {
		if err = s.AddInstance(cfg.Domains[n%len(cfg.Domains)]); err != nil {
			return s, err
		}
	}
	for n := range cfg.Domains {
		caller, err := stand.NewCaller(s.addr(groupCallers, n+1, packetPort), s.router(n))
		if err != nil {
			return s, err
		}
		s.Callers = append(s.Callers, caller)
	}
	go s.checkReady()
	return s, s.AwaitReady(startLimit)
}

// Close ends every process and stand-in.
func (s *Stage) Close() {
	s.end()
	for _, p := range s.Processes {
		p.Kill()
	}
	for _, c := range s.Callers {
		c.Close()
	}
	for _, u := range s.Upstreams() {
		u.Close()
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, t := range s.tunnels {
		t.Close()
	}
	for _, c := range s.closers {
		c()
	}
}

// Upstreams returns every upstream that ever was, those that have ended included.
func (s *Stage) Upstreams() []*stand.Upstream {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]*stand.Upstream(nil), s.upstreams...)
}

// AddUpstream starts one more upstream, at an address of its own if none is given.
func (s *Stage) AddUpstream(number uint64, service, domain string, at netip.AddrPort) (*stand.Upstream, error) {
	if !at.IsValid() {
		at = s.upstreamAddress(int(number))
	}
	u, err := stand.StartUpstream(stand.UpstreamConfig{
		Number: number, Service: service, Domain: domain, Address: at, CallerPort: packetPort,
		RequestTime: s.cfg.Work, ColdFor: s.cfg.ColdFor, Store: s.Store,
	})
	if err != nil {
		return nil, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.upstreams = append(s.upstreams, u)
	return u, nil
}

func (s *Stage) upstreamAddress(n int) netip.AddrPort {
	return s.addr(groupUpstreams, n, upPort)
}

func (s *Stage) addr(group, host int, port uint16) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, byte(s.cfg.Subnet), byte(group), byte(host)}), port)
}

// AddInstance starts one more instance in a failure domain.
func (s *Stage) AddInstance(domain string) error {
	n := len(s.Processes)
	door, store, err := s.openDoor(n)
	if err != nil {
		return err
	}
	p := &Process{
		Door: door, Number: n,
		path: filepath.Join(s.cfg.Dir, fmt.Sprintf("%d.toml", n)), log: filepath.Join(s.cfg.Dir, fmt.Sprintf("%d.log", n)), binary: s.cfg.Binary,
		Settings: stand.Settings{
			Name: instanceName(n), Domain: domain, Domains: s.cfg.Domains, Packets: s.addr(groupInstances, n+1, packetPort), Ready: s.addr(groupInstances, n+1, readyPort),
			Control: s.addr(groupInstances, n+1, controlPort), Seeds: s.seeds(), Store: store, MaxStaleness: s.cfg.ChangeBy,
		},
	}
	s.mu.Lock()
	s.Processes = append(s.Processes, p)
	s.mu.Unlock()
	return p.Start()
}

// seeds returns the control addresses of the first instances, as the platform names them: they may be gone.
func (s *Stage) seeds() (list []netip.AddrPort) {
	for n := range min(2, s.cfg.Instances) {
		list = append(list, s.addr(groupInstances, n+1, controlPort))
	}
	return list
}

func instanceName(n int) string {
	return fmt.Sprintf("instance-%d", n)
}

// openDoor opens the way of one instance to the store.
func (s *Stage) openDoor(n int) (*stand.FaultProxy, netip.AddrPort, error) {
	l, err := net.Listen("tcp", s.addr(groupStore, n+1, storePort).String())
	if err != nil {
		return nil, netip.AddrPort{}, err
	}
	s.mu.Lock()
	s.closers = append(s.closers, func() { _ = l.Close() })
	s.mu.Unlock()
	door := s.Store.FaultProxy()
	if s.cfg.Tunnels != nil {
		door.Rewrite = func(body []byte) []byte { return s.redirect(n, body) }
	}
	go door.Serve(l)
	return door, netip.MustParseAddrPort(l.Addr().String()), nil
}

// redirect names tunnels in the place of the control addresses of all other instances.
func (s *Stage) redirect(from int, body []byte) []byte {
	s.mu.Lock()
	count := len(s.Processes)
	s.mu.Unlock()
	for to := range count {
		real := s.addr(groupInstances, to+1, controlPort)
		if to == from || !bytes.Contains(body, []byte(real.String())) {
			continue
		}
		if at, err := s.tunnel(pair{from: from, to: to}); err == nil {
			body = bytes.ReplaceAll(body, []byte(real.String()), []byte(at.String()))
		}
	}
	return body
}

// tunnel returns the address of the tunnel between two instances, which is opened at its first use.
func (s *Stage) tunnel(p pair) (netip.AddrPort, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	at := s.addr(groupTunnels+p.from, p.to+1, controlPort)
	if s.tunnels[p] != nil {
		return at, nil
	}
	l, err := net.Listen("tcp", at.String())
	if err != nil {
		return at, err
	}
	s.tunnels[p] = tunnel.New(tunnel.Config{
		Listener: l, Real: s.addr(groupInstances, p.to+1, controlPort), Owner: instanceName(p.to),
		Caller: func(netip.Addr) string { return instanceName(p.from) }, Links: s.cfg.Tunnels,
	})
	return at, nil
}

// ResetLinks closes the connections of all calls that an instance makes to others.
func (s *Stage) ResetLinks(from int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for p, t := range s.tunnels {
		if p.from == from {
			t.Reset("")
		}
	}
}
