package soak

import (
	"net/netip"
	"time"

	"hawthorncourse/platform/stand"
)

// packetLossRate is the fraction of callers' packets that is lost.
const packetLossRate = 0.1

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
				defer inj.holdInstanceOutage(p, stand.OutageHang)()
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
		defer inj.holdInstanceOutage(p, stand.OutageHang)()
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
	defer inj.hold("delay "+a+" "+b, func() { inj.links.setDelay(a, b, d.short) }, func() { inj.links.setDelay(a, b, 0) })()
	time.Sleep(d.long)
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
	defer inj.hold("packet loss", func() { inj.SetPacketLoss(packetLossRate) }, func() { inj.SetPacketLoss(0) })()
	time.Sleep(d.long)
}

func (inj *injector) instanceNames() (list []string) {
	for _, p := range inj.Processes {
		list = append(list, p.Settings.Name)
	}
	return list
}
