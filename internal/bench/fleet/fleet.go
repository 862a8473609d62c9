// Package fleet runs a complete set-up on one machine: real entry processes with a fake platform, fake fabric and fake upstreams.
package fleet

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"os"
	"path/filepath"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"golang.org/x/sync/errgroup"

	"hawthorncourse/internal/core/model"
	"hawthorncourse/internal/plat/object"
	"hawthorncourse/internal/stand/spray"
	"hawthorncourse/internal/stand/upnode"
	"hawthorncourse/platform/stand"
)

// Ports of a fleet. Each process and fake has its own loopback address, so that all instances use the same ports.
const (
	portFront    = 7000
	portBack     = 7001
	portHandOff  = 7002
	portControl  = 7003
	portAdmin    = 7004
	portUpstream = 7100
	portService  = 5683
	portFabric   = 7300
	portPlatform = 7400
	portLock     = 7999

	// firstBlock and lastBlock bound the second byte of the loopback addresses of a fleet.
	firstBlock = 20
	lastBlock  = 250
	// endpointDelay is the time until the fabric and the platform's instance list follow a start or stop of an instance.
	endpointDelay = time.Second
)

// LinkKind is the type of the server at the end of a link.
type LinkKind uint8

// The kinds of links.
const (
	// LinkUpstream leads to an upstream.
	LinkUpstream LinkKind = iota + 1
	// LinkControl leads to the control address of an instance.
	LinkControl
	// LinkHandOff leads to the hand-off address of an instance.
	LinkHandOff
	// LinkPlatform leads to the platform.
	LinkPlatform
)

// Interposer may place a proxy in front of a server, for example to inject faults. It returns the address that clients use instead of target,
// which is the real address of the server.
type Interposer func(kind LinkKind, server string, target netip.AddrPort) (netip.AddrPort, error)

// Config holds the parameters of a Fleet.
type Config struct {
	Setup Setup
	// Binary is the path of the program that the entry processes run.
	Binary string
	// Dir is the folder for the settings and logs of the instances.
	Dir string
	// Interposer is called for each link; nil for direct links.
	Interposer Interposer
	// Seed initializes all random number generators.
	Seed uint64
	// LogLevel is the log level of the entry processes; empty for info.
	LogLevel string
	// Policy is the balancing policy of the entry processes; empty for the default.
	Policy string
}

// Fleet is a running set-up. Its addresses are in one /16 block of the loopback network.
type Fleet struct {
	cfg Config
	// block is the second byte of the fleet's IP addresses.
	block int
	// lockListener reserves the block while it is open.
	lockListener net.Listener

	// Store is the fake platform's object store.
	Store *stand.Store
	// Fabric is the fake fabric, which distributes callers' packets over the instances.
	Fabric *spray.Fabric
	// Upstreams holds the fake upstreams of all services, in the order of the set-up.
	Upstreams []*upnode.Node
	Instances []*Instance
	// Services maps service IDs to the addresses that callers use.
	Services map[model.ServiceID]netip.AddrPort

	platform *http.Server
	// platformAddr is the address of the platform that instances use.
	platformAddr netip.AddrPort
	group        *errgroup.Group
	cancel       context.CancelFunc

	mu sync.Mutex
	// excluded holds the instances that receive no packets from the fabric; guarded by mu.
	excluded map[model.InstanceID]bool
	// listed holds the instances in the platform's instance list; guarded by mu.
	listed []model.InstanceID
}

// Start starts the fakes, submits the document and starts the instances. It does not wait until they are ready: see AwaitVersion and AwaitUsableSlots.
func Start(ctx context.Context, cfg Config) (f *Fleet, err error) {
	defer func() {
		if err != nil {
			err = eris.Wrapf(err, "start fleet %s", cfg.Setup.Name)
			if f != nil {
				f.Close()
			}
		}
	}()
	f = &Fleet{cfg: cfg, Store: stand.NewStore(), Services: map[model.ServiceID]netip.AddrPort{}, excluded: map[model.InstanceID]bool{}}
	if err := f.reserveBlock(); err != nil {
		return f, err
	}
	ctx, f.cancel = context.WithCancel(ctx)
	f.group, ctx = errgroup.WithContext(ctx)
	if err := f.startPlatform(); err != nil {
		return f, err
	}
	if err := f.startFabric(ctx); err != nil {
		return f, err
	}
	if err := f.startUpstreams(ctx); err != nil {
		return f, err
	}
	if err := f.defineInstances(); err != nil {
		return f, err
	}
	if _, err := f.Apply(ctx, f.document()); err != nil {
		return f, err
	}
	f.publishInstances()
	for _, in := range f.Instances {
		if err := f.StartInstance(in); err != nil {
			return f, err
		}
	}
	return f, nil
}

// reserveBlock selects a /16 block of loopback addresses that no other fleet uses, and keeps a listener open in it as a lock.
func (f *Fleet) reserveBlock() error {
	for n := firstBlock + int(f.cfg.Seed)%100; n <= lastBlock; n++ {
		l, err := net.Listen("tcp", fmt.Sprintf("127.%d.0.1:%d", n, portLock))
		if err == nil {
			f.block, f.lockListener = n, l
			return nil
		}
	}
	return eris.New("all blocks of loopback addresses are in use")
}

// addr returns an address in the fleet's block; subnet and host are the third and fourth byte of the IP address.
// Subnet 0 holds the fabric, the platform, the callers and the services, the subnets from 20 on hold the upstreams by service,
// and those from firstInstanceSubnet and firstAbsentSubnet on the instances and the absent upstreams.
func (f *Fleet) addr(subnet, host, port int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, byte(f.block), byte(subnet), byte(host)}), uint16(port))
}

// CallerIP returns the IP address that callers send from.
func (f *Fleet) CallerIP() netip.Addr {
	return f.addr(0, 4, 1).Addr()
}

// Address returns an address in the fleet's block for use by other packages; see addr. They must select a subnet that the fleet does not use.
func (f *Fleet) Address(subnet, host, port int) netip.AddrPort {
	return f.addr(subnet, host, port)
}

// linkAddress returns the address that clients of a server use: target, or that of an interposed proxy.
func (f *Fleet) linkAddress(kind LinkKind, server string, target netip.AddrPort) (netip.AddrPort, error) {
	if f.cfg.Interposer == nil {
		return target, nil
	}
	return f.cfg.Interposer(kind, server, target)
}

// startPlatform serves the fake platform's API over HTTP.
func (f *Fleet) startPlatform() error {
	l, err := net.Listen("tcp", f.addr(0, 3, portPlatform).String())
	if err != nil {
		return err
	}
	f.platform = &http.Server{Handler: f.Store.Handler(), ReadHeaderTimeout: time.Second}
	f.group.Go(func() error {
		if err := f.platform.Serve(l); !errors.Is(err, http.ErrServerClosed) {
			return err
		}
		return nil
	})
	f.platformAddr, err = f.linkAddress(LinkPlatform, "platform", f.addr(0, 3, portPlatform))
	return err
}

// startFabric assigns the service addresses and runs the fake fabric on them.
func (f *Fleet) startFabric(ctx context.Context) (err error) {
	var services []netip.AddrPort
	for n, s := range f.cfg.Setup.Services {
		addr := f.addr(0, 10+n, portService)
		f.Services[s.ID] = addr
		services = append(services, addr)
	}
	f.Fabric, err = spray.New(spray.Config{EgressAddress: f.addr(0, 2, portFabric), Services: services, Seed: f.cfg.Seed, DuplicateRate: f.cfg.Setup.DuplicateRate})
	if err != nil {
		return err
	}
	f.group.Go(func() error { return f.Fabric.Run(ctx) })
	return nil
}

// startUpstreams starts the fake upstreams of all services.
func (f *Fleet) startUpstreams(ctx context.Context) error {
	for s, svc := range f.cfg.Setup.Services {
		for n := range svc.Upstreams {
			node, err := upnode.New(f.cfg.Setup.upstreamConfig(svc, n, f.Services[svc.ID], f.addr(20+s, 1+n, portUpstream), f.cfg.Seed))
			if err != nil {
				return err
			}
			f.Upstreams = append(f.Upstreams, node)
			f.group.Go(func() error { return node.Run(ctx) })
		}
	}
	return nil
}

// Upstream returns the fake upstream with the given name, or nil.
func (f *Fleet) Upstream(name string) *upnode.Node {
	for _, n := range f.Upstreams {
		if n.Name() == name {
			return n
		}
	}
	return nil
}

// publishInstances sets the fabric's targets and the platform's instance list to the instances that are not excluded.
func (f *Fleet) publishInstances() {
	f.mu.Lock()
	defer f.mu.Unlock()
	var targets []netip.AddrPort
	var list []object.Instance
	for _, in := range f.Instances {
		if f.excluded[in.ID] {
			continue
		}
		targets = append(targets, in.Front)
		list = append(list, object.Instance{ID: in.ID, Domain: in.Domain, Control: in.AdvertisedControl, Leaving: in.leaving})
	}
	f.Fabric.SetInstances(targets)
	f.replaceListed(list)
}

// replaceListed replaces the contents of the platform's instance list; mu must be held.
func (f *Fleet) replaceListed(list []object.Instance) {
	kind := string(object.KindInstances)
	for _, id := range f.listed {
		f.Store.Remove(kind, string(id))
	}
	f.listed = nil
	for _, in := range list {
		spec, err := object.FormatInstance(in)
		if err != nil {
			continue
		}
		f.Store.Put(kind, string(in.ID), spec)
		f.listed = append(f.listed, in.ID)
	}
}

// setExcluded excludes an instance from the fabric and the platform's instance list, or includes it again. It takes effect after endpointDelay.
func (f *Fleet) setExcluded(id model.InstanceID, excluded bool) {
	f.mu.Lock()
	f.excluded[id] = excluded
	f.mu.Unlock()
	time.AfterFunc(endpointDelay, f.publishInstances)
}

// Close kills all processes and stops the fakes.
func (f *Fleet) Close() {
	for _, in := range f.Instances {
		in.kill()
	}
	if f.cancel != nil {
		f.cancel()
	}
	if f.platform != nil {
		_ = f.platform.Close()
	}
	if f.group != nil {
		_ = f.group.Wait()
	}
	if f.lockListener != nil {
		_ = f.lockListener.Close()
	}
}

// logPath returns the path of an instance's log file.
func (f *Fleet) logPath(id model.InstanceID) string {
	return filepath.Join(f.cfg.Dir, string(id)+".log")
}

// writeSettings writes the settings file of an instance and returns its path.
func (f *Fleet) writeSettings(in *Instance) (string, error) {
	path := filepath.Join(f.cfg.Dir, string(in.ID)+".json")
	return path, os.WriteFile(path, in.settings(f), 0o600)
}

// UpstreamDomains returns the failure domain of each upstream.
func (f *Fleet) UpstreamDomains() map[string]model.DomainID {
	out := map[string]model.DomainID{}
	for _, svc := range f.cfg.Setup.Services {
		for n := range svc.Upstreams {
			out[upstreamName(svc, n)] = f.cfg.Setup.domainOf(n)
		}
	}
	return out
}

// InstanceCount returns the number of instances in the set-up, without those added later.
func (f *Fleet) InstanceCount() int {
	return f.cfg.Setup.Instances
}
