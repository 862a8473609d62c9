package main

import (
	"fmt"
	"net/netip"
	"time"
)

// configApply is config-apply-ms in the settings.
const configApply = 3 * time.Second

// playPriority changes the configuration: one route is dropped, one is added, and one more is added whose priority is 10.
func playPriority(rec *record, trouble bool) (outcome, error) {
	kept, dropped, added, low := netip.MustParseAddrPort("127.1.1.1:8443"), netip.MustParseAddrPort("127.1.1.1:8080"),
		netip.MustParseAddrPort("127.1.1.2:8443"), netip.MustParseAddrPort("127.1.1.3:8443")
	cfg := worldConfig{zones: []string{"zone-a", "zone-b"}, relays: []int{0, 0, 1, 1}, clientDelay: time.Millisecond, warmupS: 2, warmupPerS: 4}
	for n := range 6 {
		cfg.endpoints = append(cfg.endpoints, endpointSpec{zone: n % 2, service: "desk"})
	}
	cfg.routes = []routeSpec{{name: "kept", kind: "safe", service: "desk", address: kept, priority: 1}, {name: "dropped", kind: "unsafe", service: "desk", address: dropped, priority: 1}}
	w, err := newWorld(cfg, rec)
	defer w.close()
	if err != nil {
		return couldNt, err
	}
	priority := 2
	if trouble {
		priority = 10
	}
	time.Sleep(5 * time.Second)
	w.configure(4, []routeSpec{
		cfg.routes[0], {name: "added", kind: "safe", service: "desk", address: added, priority: 1}, {name: "low", kind: "safe", service: "desk", address: low, priority: priority},
	})
	acknowledged := time.Now()
	rec.event("operator: version 4 is acknowledged; it drops one route and adds two, one of them with priority %d", priority)
	time.Sleep(configApply + 200*time.Millisecond)
	var ran, refused int
	try := func(phase string) {
		for n := range 30 {
			r := w.requesters[n%2]
			for _, c := range []struct {
				name  string
				route netip.AddrPort
				there bool
			}{{"kept", kept, true}, {"dropped", dropped, false}, {"added", added, true}, {"low", low, true}} {
				sent := time.Since(acknowledged)
				f, err := r.openFlow(c.route)
				if err == nil {
					err = f.request(fmt.Sprintf("%s-%s-%d", phase, c.name, n), 2*time.Second)
					f.close()
				}
				switch {
				case err == nil && !c.there:
					ran++
					rec.event("BROKEN CONFIG: a request on the dropped route, sent %.2f s after the acknowledgement, has run", sent.Seconds())
				case err != nil && c.there:
					refused++
					rec.event("BROKEN CONFIG: a request on the route %q, sent %.2f s after the acknowledgement, is refused: %v", c.name, sent.Seconds(), err)
				}
			}
		}
	}
	try("running")
	rec.say("instances that ran through the change: %d of 30 requests on the dropped route have run, %d of 90 on the routes that are there were refused", ran, refused)
	broke := ran + refused
	ran, refused = 0, 0
	for _, p := range w.relays {
		p.kill()
	}
	rec.event("all instances are killed and started again")
	for _, p := range w.relays {
		if err := p.start(); err != nil {
			return couldNt, err
		}
	}
	time.Sleep(7 * time.Second)
	try("restarted")
	rec.say("instances after a restart of all: %d of 30 requests on the dropped route have run, %d of 90 on the routes that are there were refused", ran, refused)
	if broke+ran+refused > 0 {
		rec.say("BROKEN CONFIG")
		return broken, nil
	}
	return held, nil
}
