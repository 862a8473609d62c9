package soak

import (
	"fmt"
	"net/netip"
	"time"

	"hawthorncourse/platform/stand"
)

// burstSize is how many routes changeManyRoutes adds.
const burstSize = 10

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
	inj.changes.added[r.Address], inj.changes.addedIn[r.Address] = at, inj.version
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
