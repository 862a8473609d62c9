// Package stage provides a test environment in which relay instances run as real processes. The platform around them is fake: its store,
// upstreams, callers and routers run in the test's own process.
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

// The ports of the loopback addresses. Callers receive packets at packetPort too.
const (
	packetPort   = 7172
	readyPort    = 7167
	controlPort  = 7166
	upstreamPort = 7080
	storePort    = 7400
)

// The groups of loopback addresses. An address is 127.subnet.group.host.
const (
	groupStore = 1 + iota
	groupUpstreams
	groupInstances
	groupCallers
	// groupProxies is the first of the groups of fault proxies between instances. There is one group for each client instance, in which the
	// host byte selects the server instance.
	groupProxies
)

// Config configures an Environment.
type Config struct {
	// Binary is the path of the program that instances run.
	Binary string
	// Dir is the directory of the settings files and log files.
	Dir string
	// Subnet is the second byte of every loopback address. Environments that run concurrently must have different ones.
	Subnet int
	// Domains holds the names of the failure domains.
	Domains []string
	// Instances is the number of instances, which are assigned to the failure domains in round-robin order.
	Instances int
	// Services holds the service of each upstream. Upstreams are assigned to the failure domains in round-robin order.
	Services []string
	// Routes is the initial configuration.
	Routes []stand.Route
	// RequestTime is how long an upstream takes for one request.
	RequestTime time.Duration
	// ColdFor is the duration of an upstream's cold start.
	ColdFor time.Duration
	// MaxStaleness is the time within which a change in the store must take effect at every instance.
	MaxStaleness time.Duration
	// LinkMbps is the speed of each instance's own link in Mbit/s according to its settings; zero if they do not state it.
	LinkMbps float64
	// Links injects faults into the connections between instances. If it is nil, instances connect to each other directly.
	Links tunnel.Links
}

// Environment is a set of running instances and the fake platform around them.
type Environment struct {
	cfg    Config
	ctx    context.Context
	cancel context.CancelFunc

	Store *stand.Store
	// Processes holds every instance, those that were stopped included.
	Processes []*Process
	// Callers holds one caller for each failure domain, in the order of Config.Domains.
	Callers []*stand.Caller

	mu sync.Mutex
	// All below is guarded by mu.
	upstreams []*stand.Upstream
	proxies   map[link]*tunnel.Proxy
	// closers close the listeners of the store proxies.
	closers []func()
	// lossRate is the share of the callers' packets that the routers drop, from 0 to 1.
	lossRate float64
}

// link identifies the connections that one instance opens to another; both are given by Process.Index.
type link struct {
	from, to int
}

// New starts an environment and waits until all instances are ready. If it fails, it closes what it has started.
func New(ctx context.Context, cfg Config) (e *Environment, err error) {
	defer func() {
		if err != nil {
			err = eris.Wrap(err, "start test environment")
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

// Close kills every process and closes the fake platform.
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

// Upstreams returns every upstream that was ever added, those that were closed included.
func (e *Environment) Upstreams() []*stand.Upstream {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]*stand.Upstream(nil), e.upstreams...)
}

// AddUpstream starts another upstream. If addr is invalid, the address is derived from the number.
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

// AddInstance starts another instance in a failure domain. It does not wait until the instance is ready.
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
			Control: e.addr(groupInstances, n+1, controlPort), Seeds: e.seeds(), Store: addr, MaxStaleness: e.cfg.MaxStaleness, LinkMbps: e.cfg.LinkMbps,
		},
	}
	p.readyAddress = p.Settings.Ready
	e.mu.Lock()
	e.Processes = append(e.Processes, p)
	e.mu.Unlock()
	return p.Start()
}

// seeds returns the control addresses of the first two instances, which every settings file lists. As on the real platform, the list may be
// stale: those instances may have stopped.
func (e *Environment) seeds() (list []netip.AddrPort) {
	for n := range min(2, e.cfg.Instances) {
		list = append(list, e.addr(groupInstances, n+1, controlPort))
	}
	return list
}

func instanceName(n int) string {
	return fmt.Sprintf("instance-%d", n)
}

// openStoreProxy starts the proxy through which one instance reaches the store and returns the proxy and its address.
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

// rewriteAddresses replaces the control addresses of all other instances in a store response by the addresses of the fault proxies, so that
// the reading instance connects to the others through them.
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

// proxyAddress returns the address of the fault proxy on a link, and starts the proxy on first use.
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

// ResetConnections resets all connections that an instance has opened to other instances through fault proxies.
func (e *Environment) ResetConnections(from int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for k, proxy := range e.proxies {
		if k.from == from {
			proxy.Reset("")
		}
	}
}
