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
	packetPort   = 7172
	readyPort    = 7167
	controlPort  = 7166
	upstreamPort = 7080
	storePort    = 7400
)

// The groups of loopback addresses, by the third byte.
const (
	groupStore = 1 + iota
	groupUpstreams
	groupInstances
	groupCallers
	// groupProxies is the first of those that stand in the place of control addresses, one for each calling instance.
	groupProxies
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
	// RequestTime is how long one request takes.
	RequestTime time.Duration
	// ColdFor is how long an upstream is cold after its start.
	ColdFor time.Duration
	// MaxStaleness is the time in which every change must be in force.
	MaxStaleness time.Duration
	// Links puts a tunnel between any two instances.
	Links tunnel.Links
}

// Environment is a platform of stand-ins with instances.
type Environment struct {
	cfg    Config
	ctx    context.Context
	cancel context.CancelFunc

	Store     *stand.Store
	Processes []*Process
	// Callers holds one caller in each failure domain.
	Callers []*stand.Caller

	mu sync.Mutex
	// All below is guarded by mu.
	upstreams []*stand.Upstream
	proxies   map[link]*tunnel.Proxy
	closers   []func()
	// lossRate is the share of callers' packets that never reach an instance.
	lossRate float64
}

// link names two instances, by their numbers.
type link struct {
	from, to int
}

// New starts a stage; the instances are ready when it returns.
func New(ctx context.Context, cfg Config) (e *Environment, err error) {
	defer func() {
		if err != nil {
			err = eris.Wrap(err, "start stage")
			e.Close()
		}
	}()
	e = &Environment{cfg: cfg, Store: stand.NewStore(), proxies: map[link]*tunnel.Proxy{}}
	e.ctx, e.cancel = context.WithCancel(ctx)
	e.Store.Configure(1, cfg.Routes...)
	for n, service := range cfg.Services {
		if _, err = e.AddUpstream(uint64(n+1), service, cfg.Domains[n%len(cfg.Domains)], e.upstreamAddress(n+1)); err != nil {
			return e, err
		}
	}
	for n := range cfg.Instances {
		if err = e.AddInstance(cfg.Domains[n%len(cfg.Domains)]); err != nil {
			return e, err
		}
	}
	for n := range cfg.Domains {
		caller, err := stand.NewCaller(e.addr(groupCallers, n+1, packetPort), e.router(n))
		if err != nil {
			return e, err
		}
		e.Callers = append(e.Callers, caller)
	}
	go e.checkReadiness()
	return e, e.AwaitReady(startTimeout)
}

// Close ends every process and stand-in.
func (e *Environment) Close() {
	e.cancel()
	for _, p := range e.Processes {
		p.Kill()
	}
	for _, c := range e.Callers {
		c.Close()
	}
	for _, u := range e.Upstreams() {
		u.Close()
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, proxy := range e.proxies {
		proxy.Close()
	}
	for _, c := range e.closers {
		c()
	}
}

// Upstreams returns every upstream that ever was, those that have ended included.
func (e *Environment) Upstreams() []*stand.Upstream {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]*stand.Upstream(nil), e.upstreams...)
}

// AddUpstream starts one more upstream, at an address of its own if none is given.
func (e *Environment) AddUpstream(number uint64, service, domain string, addr netip.AddrPort) (*stand.Upstream, error) {
	if !addr.IsValid() {
		addr = e.upstreamAddress(int(number))
	}
	u, err := stand.StartUpstream(stand.UpstreamConfig{
		Number: number, Service: service, Domain: domain, Address: addr, CallerPort: packetPort,
		RequestTime: e.cfg.RequestTime, ColdFor: e.cfg.ColdFor, Store: e.Store,
	})
	if err != nil {
		return nil, err
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.upstreams = append(e.upstreams, u)
	return u, nil
}

func (e *Environment) upstreamAddress(n int) netip.AddrPort {
	return e.addr(groupUpstreams, n, upstreamPort)
}

func (e *Environment) addr(group, host int, port uint16) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, byte(e.cfg.Subnet), byte(group), byte(host)}), port)
}

// AddInstance starts one more instance in a failure domain.
func (e *Environment) AddInstance(domain string) error {
	n := len(e.Processes)
	proxy, addr, err := e.openStoreProxy(n)
	if err != nil {
		return err
	}
	p := &Process{
		StoreProxy: proxy, Index: n,
		settingsPath: filepath.Join(e.cfg.Dir, fmt.Sprintf("%d.toml", n)), logPath: filepath.Join(e.cfg.Dir, fmt.Sprintf("%d.log", n)), binary: e.cfg.Binary,
		Settings: stand.Settings{
			Name: instanceName(n), Domain: domain, Domains: e.cfg.Domains, Packets: e.addr(groupInstances, n+1, packetPort), Ready: e.addr(groupInstances, n+1, readyPort),
			Control: e.addr(groupInstances, n+1, controlPort), Seeds: e.seeds(), Store: addr, MaxStaleness: e.cfg.MaxStaleness,
		},
	}
	e.mu.Lock()
	e.Processes = append(e.Processes, p)
	e.mu.Unlock()
	return p.Start()
}

// seeds returns the control addresses of the first instances, as the platform names them: they may be gone.
func (e *Environment) seeds() (list []netip.AddrPort) {
	for n := range min(2, e.cfg.Instances) {
		list = append(list, e.addr(groupInstances, n+1, controlPort))
	}
	return list
}

func instanceName(n int) string {
	return fmt.Sprintf("instance-%d", n)
}

// openStoreProxy opens the way of one instance to the store.
func (e *Environment) openStoreProxy(n int) (*stand.FaultProxy, netip.AddrPort, error) {
	l, err := net.Listen("tcp", e.addr(groupStore, n+1, storePort).String())
	if err != nil {
		return nil, netip.AddrPort{}, err
	}
	e.mu.Lock()
	e.closers = append(e.closers, func() { _ = l.Close() })
	e.mu.Unlock()
	proxy := e.Store.FaultProxy()
	if e.cfg.Links != nil {
		proxy.Rewrite = func(body []byte) []byte { return e.rewriteAddresses(n, body) }
	}
	go proxy.Serve(l)
	return proxy, netip.MustParseAddrPort(l.Addr().String()), nil
}

// rewriteAddresses names tunnels in the place of the control addresses of all other instances.
func (e *Environment) rewriteAddresses(from int, body []byte) []byte {
	e.mu.Lock()
	count := len(e.Processes)
	e.mu.Unlock()
	for to := range count {
		target := e.addr(groupInstances, to+1, controlPort)
		if to == from || !bytes.Contains(body, []byte(target.String())) {
			continue
		}
		if addr, err := e.proxyAddress(link{from: from, to: to}); err == nil {
			body = bytes.ReplaceAll(body, []byte(target.String()), []byte(addr.String()))
		}
	}
	return body
}

// proxyAddress returns the address of the tunnel between two instances, which is opened at its first use.
func (e *Environment) proxyAddress(k link) (netip.AddrPort, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	addr := e.addr(groupProxies+k.from, k.to+1, controlPort)
	if e.proxies[k] != nil {
		return addr, nil
	}
	l, err := net.Listen("tcp", addr.String())
	if err != nil {
		return addr, err
	}
	e.proxies[k] = tunnel.New(tunnel.Config{
		Listener: l, Target: e.addr(groupInstances, k.to+1, controlPort), ServerName: instanceName(k.to),
		ClientName: func(netip.Addr) string { return instanceName(k.from) }, Links: e.cfg.Links,
	})
	return addr, nil
}

// ResetConnections closes the connections of all calls that an instance makes to others.
func (e *Environment) ResetConnections(from int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for k, proxy := range e.proxies {
		if k.from == from {
			proxy.Reset("")
		}
	}
}
