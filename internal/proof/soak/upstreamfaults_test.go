package soak

import (
	"net/netip"
	"time"

	"hawthorncourse/platform/stand"
)

const (
	// registrationExpiry is the time after which the platform removes the registration of an upstream that is down.
	registrationExpiry = 3600 * time.Millisecond
	// addressReuseDelay is the minimum time between the end of an upstream and the reuse of its address.
	addressReuseDelay = 2 * time.Second
	// slowFactor multiplies the request time of a slow upstream.
	slowFactor = 5
)

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

// corruptRegistrations adds registrations that can't be decoded to the registry, and removes them after a time.
func (inj *injector) corruptRegistrations(d draw) {
	defer inj.hold("corrupt registrations", inj.Store.CorruptUpstreams, inj.Store.RemoveCorruptUpstreams)()
	time.Sleep(d.long)
}
