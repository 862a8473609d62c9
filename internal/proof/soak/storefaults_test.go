package soak

import (
	"time"

	"hawthorncourse/internal/stand/stage"
	"hawthorncourse/platform/stand"
)

// reregistrationTime is how long the upstreams take to register again after their registrations expired during an outage of the store.
const reregistrationTime = 2 * time.Second

var outages = []stand.Outage{stand.OutageUnavailable, stand.OutageRateLimited, stand.OutageHang, stand.OutageReset}

// instanceStoreOutage makes the store unavailable to one instance.
func (inj *injector) instanceStoreOutage(d draw) {
	p := inj.processAt(d.process)
	defer inj.faultLog.begin(p.Settings.Name)()
	inj.logEvent("store unavailable to %s for %s, kind of outage %d", p.Settings.Name, d.long, d.choice%len(outages))
	defer inj.holdInstanceOutage(p, outages[d.choice%len(outages)])()
	time.Sleep(d.long)
}

// holdInstanceOutage makes the store unavailable to one instance until the returned function is called.
func (inj *injector) holdInstanceOutage(p *stage.Process, o stand.Outage) (release func()) {
	return inj.hold("store outage "+p.Settings.Name, func() { p.StoreProxy.SetOutage(o) }, func() { p.StoreProxy.SetOutage(stand.OutageNone) })
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
	defer inj.hold("store delay "+p.Settings.Name, func() { p.StoreProxy.SetDelay(d.short) }, func() { p.StoreProxy.SetDelay(0) })()
	time.Sleep(d.long)
}

// storeOutage makes the store unavailable to all.
func (inj *injector) storeOutage(d draw) {
	defer inj.faultLog.begin(storeComponent)()
	inj.logEvent("store unavailable for %s, kind of outage %d", d.long, d.choice%len(outages))
	defer inj.holdStoreOutage(outages[d.choice%len(outages)])()
	time.Sleep(d.long)
}

// holdStoreOutage makes the store unavailable to all until the returned function is called.
func (inj *injector) holdStoreOutage(o stand.Outage) (release func()) {
	return inj.hold("store outage", func() { inj.Store.SetOutage(o) }, func() { inj.Store.SetOutage(stand.OutageNone) })
}

// expireRegistrations makes the registrations of running upstreams expire during a store outage. After it, the upstreams register again one by one.
func (inj *injector) expireRegistrations(d draw) {
	end := inj.faultLog.begin(storeComponent)
	endOutage := inj.holdStoreOutage(outages[d.choice%len(outages)])
	time.Sleep(d.long)
	var expired []*stand.Upstream
	for n, u := range inj.Upstreams() {
		if (n+d.upstream)%3 > 0 && inj.tryReserve(u) {
			u.ExpireRegistration()
			expired = append(expired, u)
		}
	}
	inj.logEvent("%d registrations of upstreams expired during a store outage of %s", len(expired), d.long)
	endOutage()
	end()
	for _, u := range expired {
		time.Sleep(reregistrationTime / time.Duration(len(expired)+1))
		u.Register()
		inj.release(u)
	}
}

// delayStore delays the store's responses to all.
func (inj *injector) delayStore(d draw) {
	defer inj.faultLog.begin(storeComponent)()
	inj.logEvent("store responses delayed by %s", d.short)
	defer inj.hold("store delay", func() { inj.Store.SetDelay(d.short) }, func() { inj.Store.SetDelay(0) })()
	time.Sleep(d.long)
}

// dropResponses makes the store execute writes but drop their responses, while an instance restarts.
func (inj *injector) dropResponses(d draw) {
	defer inj.faultLog.begin(storeComponent)()
	defer inj.hold("dropped responses", func() { inj.Store.DropResponses(1 + d.choice%3) }, func() { inj.Store.DropResponses(0) })()
	inj.killOne(inj.processAt(d.process), d.short)
}

// dropHistory makes the store withhold changes from watches and then discard its history, so that instances must list all objects again.
func (inj *injector) dropHistory(d draw) {
	defer inj.faultLog.begin(storeComponent)()
	defer inj.hold("stalled watches", func() { inj.Store.StallWatches(true) }, func() { inj.Store.StallWatches(false) })()
	time.Sleep(d.short)
	inj.Store.DropHistory()
}

// restoreStore makes the store unavailable, and then available again with a copy that is some seconds old. Operators and upstreams write again what it
// lacks.
func (inj *injector) restoreStore(d draw) {
	backup := inj.Store.Backup()
	time.Sleep(d.long)
	end := inj.faultLog.begin(storeComponent)
	endOutage := inj.holdStoreOutage(outages[d.choice%len(outages)])
	time.Sleep(d.short)
	lost := inj.Store.Restore(backup)
	inj.logEvent("store restored from a copy that is %s old", d.long+d.short)
	endOutage()
	time.Sleep(reregistrationTime / 2)
	inj.Store.WriteAgain(lost)
	end()
}
