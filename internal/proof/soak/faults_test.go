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
	// entryExpiry is when the entry of an upstream that says nothing goes.
	entryExpiry = 3600 * time.Millisecond
	// addressReuseDelay is the least time from an upstream's end to the next use of its address.
	addressReuseDelay = 2 * time.Second
	// reregistrationTime is when entries that lapsed during an outage are back.
	reregistrationTime = 2 * time.Second
	// packetLossRate is the part of packets that a lossy network loses.
	packetLossRate = 0.1
	// slowFactor is how much longer the requests of a slow upstream take.
	slowFactor = 5
	// startupTime is how long a process may take on a busy machine until its program runs; before, the system itself ends it at any signal.
	startupTime       = 500 * time.Millisecond
	simultaneousKills = 4
	burstSize         = 10
)

var outages = []stand.Outage{stand.OutageUnavailable, stand.OutageRateLimited, stand.OutageHang, stand.OutageReset}

// restart starts a process that has ended.
func (inj *injector) restart(p *stage.Process) {
	if err := p.Start(); err != nil {
		inj.addViolation("%v", err)
	}
}

func (inj *injector) kill(d draw) {
	inj.killOne(inj.processAt(d.process), d.short)
}

func (inj *injector) killOne(p *stage.Process, downtime time.Duration) {
	inj.processLocks[p].Lock()
	defer inj.processLocks[p].Unlock()
	defer inj.faultLog.begin(p.Settings.Name)()
	inj.logEvent("%s is killed for %s", p.Settings.Name, downtime)
	p.Kill()
	time.Sleep(downtime)
	inj.restart(p)
}

// killSeveral kills several at once, or all of one failure domain.
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

func (inj *injector) stop(d draw) {
	p := inj.processAt(d.process)
	inj.processLocks[p].Lock()
	defer inj.processLocks[p].Unlock()
	name, started, starting := p.Settings.Name, time.Now(), p.Uptime() < startupTime
	defer inj.faultLog.begin(name)()
	inj.logEvent("%s stops", name)
	code, err := p.Stop(stopLimit)
	if paused := !inj.faultLog.undisturbed("pause "+name, started, time.Now()); !starting && !paused && (err != nil || code != 0) {
		inj.addViolation("the planned stop of %s ends with code %d, %v", name, code, err)
	}
	if err != nil {
		p.Kill()
	}
	time.Sleep(d.short)
	inj.restart(p)
}

func (inj *injector) pause(d draw) {
	p := inj.processAt(d.process)
	name := p.Settings.Name
	defer inj.faultLog.begin(name, "pause "+name)()
	inj.logEvent("%s stands still for %s", name, d.long/2)
	p.Signal(syscall.SIGSTOP)
	time.Sleep(d.long / 2)
	p.Signal(syscall.SIGCONT)
}

// reload changes a settings file, with a signal or without.
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

// partition separates two groups of parties for a time; the store is on no side. Every party is harmed.
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

// updateUpstreamPartitions tells every upstream whom it cannot hear.
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

// partitionDomain cuts a failure domain from the others, and from the store or not.
func (inj *injector) partitionDomain(d draw) {
	inj.logEvent("%s is cut off for %s, from the store too: %v", d.domain, d.long, d.variant)
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

func (inj *injector) partitionInstance(d draw) {
	p := inj.processAt(d.process)
	inj.logEvent("%s is cut off for %s, from the store too: %v", p.Settings.Name, d.long, d.variant)
	if d.variant {
		p.StoreProxy.SetOutage(stand.OutageHang)
		defer p.StoreProxy.SetOutage(stand.OutageNone)
	}
	inj.partition(func(_, name string) bool { return name == p.Settings.Name }, d.long)
}

// blockOneDirection lets nothing from one instance reach another.
func (inj *injector) blockOneDirection(d draw) {
	a, b := inj.processAt(d.process).Settings.Name, inj.processAt(d.other).Settings.Name
	defer inj.faultLog.begin(a, b)()
	inj.logEvent("nothing of %s reaches %s for %s", a, b, d.long)
	inj.links.block(a, b)
	time.Sleep(d.long)
	inj.links.unblock(a, b)
}

func (inj *injector) delayLinks(d draw) {
	a, b := inj.processAt(d.process).Settings.Name, inj.processAt(d.other).Settings.Name
	defer inj.faultLog.begin(a, b)()
	inj.logEvent("bytes of %s reach %s %s late for %s", a, b, d.short, d.long)
	inj.links.setDelay(a, b, d.short)
	time.Sleep(d.long)
	inj.links.setDelay(a, b, 0)
}

func (inj *injector) resetConnections(d draw) {
	p := inj.processAt(d.process)
	defer inj.faultLog.begin(p.Settings.Name)()
	inj.ResetConnections(p.Index)
}

// losePackets loses a share of all packets from callers.
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

func (inj *injector) instanceStoreOutage(d draw) {
	p := inj.processAt(d.process)
	defer inj.faultLog.begin(p.Settings.Name)()
	inj.logEvent("the store does not serve %s for %s, variant %d", p.Settings.Name, d.long, d.choice%len(outages))
	p.StoreProxy.SetOutage(outages[d.choice%len(outages)])
	time.Sleep(d.long)
	p.StoreProxy.SetOutage(stand.OutageNone)
}

func (inj *injector) stallStoreConnections(d draw) {
	p := inj.processAt(d.process)
	defer inj.faultLog.begin(p.Settings.Name)()
	inj.logEvent("connections of %s to the store go silent", p.Settings.Name)
	p.StoreProxy.StallConnections()
}

func (inj *injector) delayInstanceStore(d draw) {
	p := inj.processAt(d.process)
	defer inj.faultLog.begin(p.Settings.Name)()
	inj.logEvent("the store is %s slow for %s", d.short, p.Settings.Name)
	p.StoreProxy.SetDelay(d.short)
	time.Sleep(d.long)
	p.StoreProxy.SetDelay(0)
}

func (inj *injector) storeOutage(d draw) {
	defer inj.faultLog.begin(storeComponent)()
	inj.logEvent("the store is down for %s, variant %d", d.long, d.choice%len(outages))
	inj.Store.SetOutage(outages[d.choice%len(outages)])
	time.Sleep(d.long)
	inj.Store.SetOutage(stand.OutageNone)
}

// expireEntries takes the store away until entries of upstreams that live have gone; they are back soon after it.
func (inj *injector) expireEntries(d draw) {
	end := inj.faultLog.begin(storeComponent)
	inj.Store.SetOutage(outages[d.choice%len(outages)])
	time.Sleep(d.long)
	var expired []*stand.Upstream
	for n, u := range inj.Upstreams() {
		if (n+d.upstream)%3 > 0 && inj.tryReserve(u) {
			u.ExpireEntry()
			expired = append(expired, u)
		}
	}
	inj.logEvent("%d entries lapse during an outage of %s", len(expired), d.long)
	inj.Store.SetOutage(stand.OutageNone)
	end()
	for _, u := range expired {
		time.Sleep(reregistrationTime / time.Duration(len(expired)+1))
		u.Register()
		inj.release(u)
	}
}

// tryReserve marks an upstream that nothing was decided for yet; it reports false for others.
func (inj *injector) tryReserve(u *stand.Upstream) bool {
	inj.mu.Lock()
	defer inj.mu.Unlock()
	if inj.reserved[u] {
		return false
	}
	inj.reserved[u] = true
	return true
}

func (inj *injector) delayStore(d draw) {
	defer inj.faultLog.begin(storeComponent)()
	inj.logEvent("the store is %s slow", d.short)
	inj.Store.SetDelay(d.short)
	time.Sleep(d.long)
	inj.Store.SetDelay(0)
}

func (inj *injector) dropResponses(d draw) {
	defer inj.faultLog.begin(storeComponent)()
	inj.Store.DropResponses(1 + d.choice%3)
	inj.killOne(inj.processAt(d.process), d.short)
	inj.Store.DropResponses(0)
}

// dropHistory lets the store keep changes to itself for a while and then forget them.
func (inj *injector) dropHistory(d draw) {
	defer inj.faultLog.begin(storeComponent)()
	inj.Store.StallWatches(true)
	time.Sleep(d.short)
	inj.Store.DropHistory()
	inj.Store.StallWatches(false)
}

// recordDraining keeps when the store has acknowledged that an upstream leaves.
func (inj *injector) recordDraining(u *stand.Upstream) {
	inj.run.mu.Lock()
	defer inj.run.mu.Unlock()
	inj.changes.drained[u.Name()] = time.Now()
}

// drain lets an upstream leave as planned, and another come.
func (inj *injector) drain(d draw) {
	u := inj.reserveUpstream(d.upstream)
	if u == nil {
		return
	}
	inj.logEvent("%s drains", u.Name())
	inj.startUpstream(u.Service(), u.Domain(), netip.AddrPort{})
	u.Drain()
	inj.recordDraining(u)
	time.Sleep(drainLimit + d.long/2)
	defer inj.faultLog.begin(u.Name())()
	inj.logEvent("%s leaves", u.Name())
	u.Shutdown()
}

// drainAndKill lets upstreams leave while instances of their domain are killed.
func (inj *injector) drainAndKill(d draw) {
	inj.wg.Go(func() { inj.drain(d) })
	inj.killSeveral(d)
}

// crash ends an upstream without a word; it starts again under its name, or its entry lapses.
func (inj *injector) crash(d draw) {
	u := inj.reserveUpstream(d.upstream)
	if u == nil {
		return
	}
	end := inj.faultLog.begin(u.Name())
	inj.logEvent("%s crashes; it starts again: %v", u.Name(), d.variant)
	u.Close()
	if !d.variant {
		time.Sleep(entryExpiry)
		u.ExpireEntry()
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

// replace ends an upstream, planned or not, and gives its address to one of the other service.
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
	inj.faultLog.begin(u.Name())
	inj.logEvent("%s ends, and its address goes to another service; planned: %v", u.Name(), d.variant)
	u.Close()
	if d.variant {
		u.ExpireEntry()
	}
	inj.startUpstream(u.Service(), u.Domain(), netip.AddrPort{})
	time.Sleep(addressReuseDelay + d.short)
	other := "claims"
	if u.Service() == other {
		other = "desk"
	}
	inj.startUpstream(other, u.Domain(), u.Address())
	if !d.variant {
		time.Sleep(entryExpiry - addressReuseDelay)
		u.ExpireEntry()
		inj.recordDraining(u)
	}
}

func (inj *injector) makeUnresponsive(d draw) {
	u := inj.reserveUpstream(d.upstream)
	if u == nil {
		return
	}
	defer inj.release(u)
	defer inj.faultLog.begin(u.Name())()
	inj.logEvent("%s is silent for %s", u.Name(), d.long/2)
	if err := u.SetUnresponsive(true); err != nil {
		inj.addViolation("%v", err)
	}
	time.Sleep(d.long / 2)
	if err := u.SetUnresponsive(false); err != nil {
		inj.addViolation("%v", err)
	}
}

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

func (inj *injector) scaleOut(d draw) {
	service := "desk"
	if d.variant {
		service = "claims"
	}
	inj.startUpstream(service, d.domain, netip.AddrPort{})
}

// changeRoutes adds a route and removes it some time later.
func (inj *injector) changeRoutes(d draw) {
	addr := inj.addRoute()
	time.Sleep(applyLimit + d.long)
	inj.removeRoute(addr)
}

func (inj *injector) addRoute() netip.AddrPort {
	inj.mu.Lock()
	defer inj.mu.Unlock()
	inj.routesMade++
	r := stand.Route{
		Name: fmt.Sprintf("extra-%d", inj.routesMade), Service: "desk",
		Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{198, 18, 1 + byte(inj.routesMade>>8), byte(inj.routesMade)}), 443),
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

// evacuate takes a failure domain out and back, unless one is out.
func (inj *injector) evacuate(d draw) {
	inj.run.mu.Lock()
	for _, list := range inj.changes.evacuations {
		if list[len(list)-1].end.IsZero() {
			inj.run.mu.Unlock()
			return
		}
	}
	inj.Store.EvacuateDomain(d.domain)
	out := &interval{start: time.Now()}
	inj.changes.evacuations[d.domain] = append(inj.changes.evacuations[d.domain], out)
	inj.run.mu.Unlock()
	inj.logEvent("%s is taken out", d.domain)
	time.Sleep(evacuationLimit + d.long/2)
	inj.run.mu.Lock()
	defer inj.run.mu.Unlock()
	out.end = time.Now()
	inj.Store.RestoreDomain(d.domain)
}

// corruptEntries puts entries into the registry that nobody understands.
func (inj *injector) corruptEntries(d draw) {
	inj.Store.CorruptUpstreams()
	time.Sleep(d.long)
	inj.Store.RemoveCorruptUpstreams()
}
