// Package fleet runs a whole set-up on one machine: entry processes, and stand-ins for everything around them.
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

// The ports of a fleet; each party has its own loopback address.
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

	firstBlock    = 20
	lastBlock     = 250
	endpointDelay = time.Second
)

// LinkKind names what a link leads to.
type LinkKind uint8

// The roles of links.
const (
	LinkUpstream LinkKind = iota + 1
	LinkControl
	LinkHandOff
	LinkPlatform
)

// Interposer may put something in the way of a link: it returns the address to use in place of the real one.
type Interposer func(role LinkKind, owner string, real netip.AddrPort) (netip.AddrPort, error)

// Config is what a Fleet is built from.
type Config struct {
	Setup Setup
	// Binary is the program that the entry processes run.
	Binary string
	// Dir holds settings and logs.
	Dir string
	// Interposer may be nil for direct links.
	Interposer Interposer
	// Seed feeds every random choice.
	Seed uint64
	// LogLevel is that of the entry processes.
	LogLevel string
	// Policy is that of the entry processes; empty for the default.
	Policy string
}

// Fleet is a running set-up.
type Fleet struct {
	cfg          Config
	block        int
	lockListener net.Listener

	Store     *stand.Store
	Fabric    *spray.Fabric
	Upstreams []*upnode.Node
	Instances []*Instance
	// Services holds the service addresses by name.
	Services map[model.ServiceID]netip.AddrPort

	platform     *http.Server
	platformAddr netip.AddrPort
	group        *errgroup.Group
	cancel       context.CancelFunc

	mu sync.Mutex
	// excluded holds the instances that the fabric leaves out, guarded by mu.
	excluded map[model.InstanceID]bool
	// listed holds the instances in the platform's list; guarded by mu.
	listed []model.InstanceID
}

// Start builds a fleet and waits until every instance has the document in force.
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

// reserveBlock finds a block of loopback addresses that no other fleet uses.
func (f *Fleet) reserveBlock() error {
	for n := firstBlock + int(f.cfg.Seed)%100; n <= lastBlock; n++ {
		l, err := net.Listen("tcp", fmt.Sprintf("127.%d.0.1:%d", n, portLock))
		if err == nil {
			f.block, f.lockListener = n, l
			return nil
		}
	}
	return eris.New("every block of loopback addresses is in use")
}

func (f *Fleet) addr(subnet, host, port int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, byte(f.block), byte(subnet), byte(host)}), uint16(port))
}

// CallerIP returns the IP address of callers.
func (f *Fleet) CallerIP() netip.Addr {
	return f.addr(0, 4, 1).Addr()
}

// Address returns an unused address of the fleet's block, for wirings.
func (f *Fleet) Address(subnet, host, port int) netip.AddrPort {
	return f.addr(subnet, host, port)
}

func (f *Fleet) linkAddress(kind LinkKind, server string, target netip.AddrPort) (netip.AddrPort, error) {
	if f.cfg.Interposer == nil {
		return target, nil
	}
	return f.cfg.Interposer(kind, server, target)
}

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

// Upstream returns the named upstream.
func (f *Fleet) Upstream(name string) *upnode.Node {
	for _, n := range f.Upstreams {
		if n.Name() == name {
			return n
		}
	}
	return nil
}

// publishInstances tells the fabric and the platform's list which instances there are.
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

// replaceListed puts the instances into the platform's list in place of those before.
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

// setExcluded changes, after the lag of the platform, whether packets go to the instance.
func (f *Fleet) setExcluded(id model.InstanceID, excluded bool) {
	f.mu.Lock()
	f.excluded[id] = excluded
	f.mu.Unlock()
	time.AfterFunc(endpointDelay, f.publishInstances)
}

// Close ends every process and stand-in.
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

// logPath returns where an instance logs.
func (f *Fleet) logPath(id model.InstanceID) string {
	return filepath.Join(f.cfg.Dir, string(id)+".log")
}

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

// InstanceCount returns the number of instances that the set-up names.
func (f *Fleet) InstanceCount() int {
	return f.cfg.Setup.Instances
}
