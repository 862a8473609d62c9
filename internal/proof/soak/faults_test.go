package soak

import (
	"fmt"
	"net/netip"
	"syscall"
	"time"

	"hawthorncourse/internal/stand/stage"
	"hawthorncourse/platform/stand"
)

const (
	// registrationExpiry is the time after which the platform removes the registration of an upstream that is down.
	registrationExpiry = 3600 * time.Millisecond
	// addressReuseDelay is the minimum time between the end of an upstream and the reuse of its address.
	addressReuseDelay = 2 * time.Second
	// reregistrationTime is how long the upstreams take to register again after their registrations expired during an outage of the store.
	reregistrationTime = 2 * time.Second
	// packetLossRate is the fraction of callers' packets that is lost.
	packetLossRate = 0.1
	// slowFactor multiplies the request time of a slow upstream.
	slowFactor = 5
	// startupTime is how long a process may take on a busy machine to install its signal handlers; until then, any signal terminates it.
	startupTime = 500 * time.Millisecond
	// simultaneousKills is how many instances one fault kills at the same time.
	simultaneousKills = 4
	// burstSize is how many routes changeManyRoutes adds.
	burstSize = 10
)

var outages = []stand.Outage{stand.OutageUnavailable, stand.OutageRateLimited, stand.OutageHang, stand.OutageReset}

// restart starts a process that has exited.
func (inj *injector) restart(p *stage.Process) {
	if err := p.Start(); err != nil {
		inj.addViolation("%v", err)
	}
}

// kill kills one instance and restarts it after the short time of the draw.
func (inj *injector) kill(d draw) {
	inj.killOne(inj.processAt(d.process), d.short)
}

func (inj *injector) killOne(p *stage.Process, downtime time.Duration) {
	inj.processLocks[p].Lock()
	defer inj.processLocks[p].Unlock()
	defer inj.faultLog.begin(p.Settings.Name)()
	inj.logEvent("instance %s killed, restart after %s", p.Settings.Name, downtime)
	p.Kill()
	time.Sleep(downtime)
	inj.restart(p)
}

// killSeveral kills several instances at the same time, or all of one failure domain, and restarts them.
func (inj *injector) killSeveral(d draw) {
	done := make(chan struct{})
	n := 0
	for i, p := range inj.Processes {
		if (d.variant && p.Settings.Domain == d.domain) || (!d.variant && (i+d.process)%len(inj.Processes) < simultaneousKills) {
			n++
			go func() {
				inj.killOne(p, d.short)
				done <- struct{}{}
			}()
		}
	}
	for range n {
		<-done
	}
}

// stop shuts one instance down gracefully and restarts it. The process must exit in time with code zero, unless it was just starting or was paused
// meanwhile.
func (inj *injector) stop(d draw) {
	p := inj.processAt(d.process)
	inj.processLocks[p].Lock()
	defer inj.processLocks[p].Unlock()
	name, started, starting := p.Settings.Name, time.Now(), p.Uptime() < startupTime
	defer inj.faultLog.begin(name)()
	inj.logEvent("graceful shutdown of instance %s started", name)
	code, err := p.Stop(stopLimit)
	if paused := !inj.faultLog.undisturbed("pause "+name, started, time.Now()); !starting && !paused && (err != nil || code != 0) {
		inj.addViolation("graceful shutdown of %s: exit code %d, error %v", name, code, err)
	}
	if err != nil {
		p.Kill()
	}
	time.Sleep(d.short)
	inj.restart(p)
}

// pause suspends the process of one instance by SIGSTOP, so that it resumes with stale state.
func (inj *injector) pause(d draw) {
	p := inj.processAt(d.process)
	name := p.Settings.Name
	defer inj.faultLog.begin(name, "pause "+name)()
	inj.logEvent("instance %s paused for %s", name, d.long/2)
	p.Signal(syscall.SIGSTOP)
	time.Sleep(d.long / 2)
	p.Signal(syscall.SIGCONT)
}

// reload changes the seed instances in a settings file, and in one variant signals the process; otherwise the process must notice the change itself.
func (inj *injector) reload(d draw) {
	p := inj.processAt(d.process)
	inj.processLocks[p].Lock()
	defer inj.processLocks[p].Unlock()
	p.Settings.Seeds = append(p.Settings.Seeds[1:], inj.processAt(d.other).Settings.Control)
	if err := p.WriteSettings(); err != nil {
		inj.addViolation("%v", err)
	}
	if d.variant && p.Uptime() > startupTime {
		p.Signal(syscall.SIGHUP)
	}
}

// partition blocks all links between the components inside a group and those outside for a time; the store stays reachable from both sides.
// It is recorded as a fault of every component.
func (inj *injector) partition(inside func(domain, name string) bool, d time.Duration) {
	var components []string
	var pairs [][2]string
	isInside := map[string]bool{}
	for _, p := range inj.Processes {
		isInside[p.Settings.Name] = inside(p.Settings.Domain, p.Settings.Name)
	}
	for _, u := range inj.Upstreams() {
		isInside[u.Name()] = inside(u.Domain(), "")
	}
	for a, aInside := range isInside {
		components = append(components, a)
		for b, bInside := range isInside {
			if aInside != bInside {
				pairs = append(pairs, [2]string{a, b})
			}
		}
	}
	defer inj.faultLog.begin(components...)()
	for _, pair := range pairs {
		inj.links.block(pair[0], pair[1])
	}
	inj.updateUpstreamPartitions()
	time.Sleep(d)
	for _, pair := range pairs {
		inj.links.unblock(pair[0], pair[1])
	}
	inj.updateUpstreamPartitions()
}

// updateUpstreamPartitions sets, at every upstream, the instances whose packets it drops according to the blocked links.
func (inj *injector) updateUpstreamPartitions() {
	inj.mu.Lock()
	defer inj.mu.Unlock()
	for _, u := range inj.Upstreams() {
		var blocked []netip.Addr
		for _, p := range inj.Processes {
			if inj.links.Blocked(p.Settings.Name, u.Name()) {
				blocked = append(blocked, p.Settings.Packets.Addr())
			}
		}
		if err := u.Partition(blocked...); err != nil {
			inj.addViolation("%v", err)
		}
	}
}

// partitionDomain partitions a failure domain from the others, and in one variant also from the store.
func (inj *injector) partitionDomain(d draw) {
	inj.logEvent("failure domain %s partitioned for %s, also from the store: %v", d.domain, d.long, d.variant)
	if d.variant {
		for _, p := range inj.Processes {
			if p.Settings.Domain == d.domain {
				p.StoreProxy.SetOutage(stand.OutageHang)
				defer p.StoreProxy.SetOutage(stand.OutageNone)
			}
		}
	}
	inj.partition(func(domain, _ string) bool { return domain == d.domain }, d.long)
}

// partitionInstance partitions one instance from all others and from the upstreams, and in one variant also from the store.
func (inj *injector) partitionInstance(d draw) {
	p := inj.processAt(d.process)
	inj.logEvent("instance %s partitioned for %s, also from the store: %v", p.Settings.Name, d.long, d.variant)
	if d.variant {
		p.StoreProxy.SetOutage(stand.OutageHang)
		defer p.StoreProxy.SetOutage(stand.OutageNone)
	}
	inj.partition(func(_, name string) bool { return name == p.Settings.Name }, d.long)
}

// blockOneDirection drops everything that one instance sends to another, but not the opposite direction.
func (inj *injector) blockOneDirection(d draw) {
	a, b := inj.processAt(d.process).Settings.Name, inj.processAt(d.other).Settings.Name
	defer inj.faultLog.begin(a, b)()
	inj.logEvent("link from %s to %s blocked for %s", a, b, d.long)
	inj.links.block(a, b)
	time.Sleep(d.long)
	inj.links.unblock(a, b)
}

// delayLinks delays what one instance sends to another.
func (inj *injector) delayLinks(d draw) {
	a, b := inj.processAt(d.process).Settings.Name, inj.processAt(d.other).Settings.Name
	defer inj.faultLog.begin(a, b)()
	inj.logEvent("link from %s to %s delayed by %s for %s", a, b, d.short, d.long)
	inj.links.setDelay(a, b, d.short)
	time.Sleep(d.long)
	inj.links.setDelay(a, b, 0)
}

// resetConnections closes the connections that one instance has opened to other instances.
func (inj *injector) resetConnections(d draw) {
	p := inj.processAt(d.process)
	defer inj.faultLog.begin(p.Settings.Name)()
	inj.ResetConnections(p.Index)
}

// losePackets drops a fraction of all packets from callers.
func (inj *injector) losePackets(d draw) {
	defer inj.faultLog.begin(inj.instanceNames()...)()
	inj.SetPacketLoss(packetLossRate)
	time.Sleep(d.long)
	inj.SetPacketLoss(0)
}

func (inj *injector) instanceNames() (list []string) {
	for _, p := range inj.Processes {
		list = append(list, p.Settings.Name)
	}
	return list
}

// instanceStoreOutage makes the store unavailable to one instance.
func (inj *injector) instanceStoreOutage(d draw) {
	p := inj.processAt(d.process)
	defer inj.faultLog.begin(p.Settings.Name)()
	inj.logEvent("store unavailable to %s for %s, kind of outage %d", p.Settings.Name, d.long, d.choice%len(outages))
	p.StoreProxy.SetOutage(outages[d.choice%len(outages)])
	time.Sleep(d.long)
	p.StoreProxy.SetOutage(stand.OutageNone)
}

// stallStoreConnections makes the open connections of one instance to the store stall; new connections work.
func (inj *injector) stallStoreConnections(d draw) {
	p := inj.processAt(d.process)
	defer inj.faultLog.begin(p.Settings.Name)()
	inj.logEvent("connections of %s to the store stalled", p.Settings.Name)
	p.StoreProxy.StallConnections()
}

// delayInstanceStore delays the store's responses to one instance.
func (inj *injector) delayInstanceStore(d draw) {
	p := inj.processAt(d.process)
	defer inj.faultLog.begin(p.Settings.Name)()
	inj.logEvent("store responses delayed by %s for %s", d.short, p.Settings.Name)
	p.StoreProxy.SetDelay(d.short)
	time.Sleep(d.long)
	p.StoreProxy.SetDelay(0)
}

// storeOutage makes the store unavailable to all.
func (inj *injector) storeOutage(d draw) {
	defer inj.faultLog.begin(storeComponent)()
	inj.logEvent("store unavailable for %s, kind of outage %d", d.long, d.choice%len(outages))
	inj.Store.SetOutage(outages[d.choice%len(outages)])
	time.Sleep(d.long)
	inj.Store.SetOutage(stand.OutageNone)
}

// expireRegistrations makes the registrations of running upstreams expire during a store outage. After it, the upstreams register again one by one.
func (inj *injector) expireRegistrations(d draw) {
	end := inj.faultLog.begin(storeComponent)
	inj.Store.SetOutage(outages[d.choice%len(outages)])
	time.Sleep(d.long)
	var expired []*stand.Upstream
	for n, u := range inj.Upstreams() {
		if (n+d.upstream)%3 > 0 && inj.tryReserve(u) {
			u.ExpireRegistration()
			expired = append(expired, u)
		}
	}
	inj.logEvent("%d registrations of upstreams expired during a store outage of %s", len(expired), d.long)
	inj.Store.SetOutage(stand.OutageNone)
	end()
	for _, u := range expired {
		time.Sleep(reregistrationTime / time.Duration(len(expired)+1))
		u.Register()
		inj.release(u)
	}
}

// tryReserve reserves an upstream; it reports false if the upstream is reserved already.
func (inj *injector) tryReserve(u *stand.Upstream) bool {
	inj.mu.Lock()
	defer inj.mu.Unlock()
	if inj.reserved[u] {
		return false
	}
	inj.reserved[u] = true
	return true
}

// delayStore delays the store's responses to all.
func (inj *injector) delayStore(d draw) {
	defer inj.faultLog.begin(storeComponent)()
	inj.logEvent("store responses delayed by %s", d.short)
	inj.Store.SetDelay(d.short)
	time.Sleep(d.long)
	inj.Store.SetDelay(0)
}

// dropResponses makes the store execute writes but drop their responses, while an instance restarts.
func (inj *injector) dropResponses(d draw) {
	defer inj.faultLog.begin(storeComponent)()
	inj.Store.DropResponses(1 + d.choice%3)
	inj.killOne(inj.processAt(d.process), d.short)
	inj.Store.DropResponses(0)
}

// dropHistory makes the store withhold changes from watches and then discard its history, so that instances must list all objects again.
func (inj *injector) dropHistory(d draw) {
	defer inj.faultLog.begin(storeComponent)()
	inj.Store.StallWatches(true)
	time.Sleep(d.short)
	inj.Store.DropHistory()
	inj.Store.StallWatches(false)
}

// recordDraining records when the store acknowledged that an upstream drains or that its registration is removed.
func (inj *injector) recordDraining(u *stand.Upstream) {
	inj.run.mu.Lock()
	defer inj.run.mu.Unlock()
	inj.changes.drained[u.Name()] = time.Now()
}

// drain replaces an upstream as planned: a new one starts, the old one drains and then shuts down.
func (inj *injector) drain(d draw) {
	u := inj.reserveUpstream(d.upstream)
	if u == nil {
		return
	}
	inj.logEvent("upstream %s drains", u.Name())
	inj.startUpstream(u.Service(), u.Domain(), netip.AddrPort{})
	u.Drain()
	inj.recordDraining(u)
	time.Sleep(drainLimit + d.long/2)
	defer inj.faultLog.begin(u.Name())()
	inj.logEvent("upstream %s shuts down", u.Name())
	u.Shutdown()
}

// drainAndKill drains an upstream while several instances are killed.
func (inj *injector) drainAndKill(d draw) {
	inj.wg.Go(func() { inj.drain(d) })
	inj.killSeveral(d)
}

// crash stops an upstream without draining. Either it restarts under its name, or its registration expires and a new upstream replaces it.
func (inj *injector) crash(d draw) {
	u := inj.reserveUpstream(d.upstream)
	if u == nil {
		return
	}
	end := inj.faultLog.begin(u.Name())
	inj.logEvent("upstream %s crashed, restarts under its name: %v", u.Name(), d.variant)
	u.Close()
	if !d.variant {
		time.Sleep(registrationExpiry)
		u.ExpireRegistration()
		inj.recordDraining(u)
		inj.startUpstream(u.Service(), u.Domain(), netip.AddrPort{})
		return
	}
	time.Sleep(d.short)
	if err := u.Start(); err != nil {
		inj.addViolation("%v", err)
	}
	end()
	inj.release(u)
}

// replace stops an upstream, after draining or by a crash, and then starts an upstream of the other service at its address.
func (inj *injector) replace(d draw) {
	u := inj.reserveUpstream(d.upstream)
	if u == nil {
		return
	}
	if d.variant {
		u.Drain()
		inj.recordDraining(u)
		time.Sleep(drainLimit + d.short)
	}
	// The fault has no end: the upstream does not return.
	inj.faultLog.begin(u.Name())
	inj.logEvent("upstream %s stopped, its address goes to another service; drained before: %v", u.Name(), d.variant)
	u.Close()
	if d.variant {
		u.ExpireRegistration()
	}
	inj.startUpstream(u.Service(), u.Domain(), netip.AddrPort{})
	time.Sleep(addressReuseDelay + d.short)
	other := "claims"
	if u.Service() == other {
		other = "desk"
	}
	inj.startUpstream(other, u.Domain(), u.Address())
	if !d.variant {
		time.Sleep(registrationExpiry - addressReuseDelay)
		u.ExpireRegistration()
		inj.recordDraining(u)
	}
}

// makeUnresponsive makes an upstream drop all packets and probes for a time.
func (inj *injector) makeUnresponsive(d draw) {
	u := inj.reserveUpstream(d.upstream)
	if u == nil {
		return
	}
	defer inj.release(u)
	defer inj.faultLog.begin(u.Name())()
	inj.logEvent("upstream %s unresponsive for %s", u.Name(), d.long/2)
	if err := u.SetUnresponsive(true); err != nil {
		inj.addViolation("%v", err)
	}
	time.Sleep(d.long / 2)
	if err := u.SetUnresponsive(false); err != nil {
		inj.addViolation("%v", err)
	}
}

// slowDown makes the requests of an upstream take longer for a time.
func (inj *injector) slowDown(d draw) {
	u := inj.reserveUpstream(d.upstream)
	if u == nil {
		return
	}
	defer inj.release(u)
	defer inj.faultLog.begin(u.Name())()
	u.SetSlowdown(slowFactor)
	time.Sleep(d.long)
	u.SetSlowdown(1)
}

// scaleOut starts an additional upstream.
func (inj *injector) scaleOut(d draw) {
	service := "desk"
	if d.variant {
		service = "claims"
	}
	inj.startUpstream(service, d.domain, netip.AddrPort{})
}

// changeRoutes adds a route and removes it after its time bound has passed.
func (inj *injector) changeRoutes(d draw) {
	addr := inj.addRoute()
	time.Sleep(applyLimit + d.long)
	inj.removeRoute(addr)
}

func (inj *injector) addRoute() netip.AddrPort {
	inj.mu.Lock()
	defer inj.mu.Unlock()
	inj.routesAdded++
	r := stand.Route{
		Name: fmt.Sprintf("extra-%d", inj.routesAdded), Service: "desk",
		Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{198, 18, 1 + byte(inj.routesAdded>>8), byte(inj.routesAdded)}), 443),
	}
	inj.extraRoutes = append(inj.extraRoutes, r)
	at := inj.configure()
	inj.run.mu.Lock()
	defer inj.run.mu.Unlock()
	inj.changes.added[r.Address] = at
	return r.Address
}

func (inj *injector) removeRoute(address netip.AddrPort) {
	inj.mu.Lock()
	defer inj.mu.Unlock()
	for n, r := range inj.extraRoutes {
		if r.Address == address {
			inj.extraRoutes = append(inj.extraRoutes[:n:n], inj.extraRoutes[n+1:]...)
			break
		}
	}
	at := inj.configure()
	inj.run.mu.Lock()
	defer inj.run.mu.Unlock()
	inj.changes.removed[address] = at
}

// changeManyRoutes adds routes in quick succession, each by a configuration of its own, and later removes them without pauses.
func (inj *injector) changeManyRoutes(d draw) {
	var added []netip.AddrPort
	for range burstSize {
		added = append(added, inj.addRoute())
		time.Sleep(d.short / burstSize)
	}
	time.Sleep(d.long)
	for _, addr := range added {
		inj.removeRoute(addr)
	}
}

// takeDomainOut takes a failure domain out of service and later returns it to service, unless one is out already.
func (inj *injector) takeDomainOut(d draw) {
	inj.run.mu.Lock()
	for _, list := range inj.changes.domainsOut {
		if list[len(list)-1].end.IsZero() {
			inj.run.mu.Unlock()
			return
		}
	}
	inj.Store.EvacuateDomain(d.domain)
	out := &interval{start: time.Now()}
	inj.changes.domainsOut[d.domain] = append(inj.changes.domainsOut[d.domain], out)
	inj.run.mu.Unlock()
	inj.logEvent("failure domain %s taken out of service", d.domain)
	time.Sleep(domainOutLimit + d.long/2)
	inj.run.mu.Lock()
	defer inj.run.mu.Unlock()
	out.end = time.Now()
	inj.Store.RestoreDomain(d.domain)
}

// corruptRegistrations adds registrations that can't be decoded to the registry, and removes them after a time.
func (inj *injector) corruptRegistrations(d draw) {
	inj.Store.CorruptUpstreams()
	time.Sleep(d.long)
	inj.Store.RemoveCorruptUpstreams()
}
