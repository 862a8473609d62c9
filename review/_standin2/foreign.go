package main

import (
	"encoding/json"
	"fmt"
	"net/netip"
	"sync/atomic"
	"time"
)

// foreignInterval is the time between two rounds in which another writer overwrites the entries of one service.
const foreignInterval = 1500 * time.Millisecond

// playForeign stops and starts the machines in turn, while another writer overwrites the entries of the claims endpoints: its entries lack born and name
// the orders service.
func playForeign(rec *record, trouble bool) (outcome, error) {
	orders, claims := netip.MustParseAddrPort("127.1.1.1:8443"), netip.MustParseAddrPort("127.1.1.2:8443")
	cfg := worldConfig{
		zones: []string{"zone-a", "zone-b", "zone-c"}, relays: []int{0, 0, 0, 1, 1, 2, 2}, clientDelay: time.Millisecond, warmupS: 2, warmupPerS: 4,
		routes: []routeSpec{{name: "tray-order", kind: "unsafe", service: "order-desk", address: orders, priority: 1}, {name: "yield-photo", kind: "upload", service: "field-claims", address: claims, priority: 2}},
	}
	for n := range 14 {
		cfg.endpoints = append(cfg.endpoints, endpointSpec{zone: n % 3, service: "order-desk"})
	}
	for n := range 4 {
		cfg.endpoints = append(cfg.endpoints, endpointSpec{zone: n % 3, service: "field-claims"})
	}
	w, err := newWorld(cfg, rec)
	defer w.close()
	if err != nil {
		return couldNt, err
	}
	var answered, failed atomic.Int64
	done := make(chan struct{})
	wg := shortFlows(w, orders, 200, done, &answered, &failed)
	photos := shortFlows(w, claims, 25, done, &answered, &failed)
	time.Sleep(5 * time.Second)
	if trouble {
		go func() {
			for {
				for _, e := range w.endpoints {
					if e.spec.service == "field-claims" {
						text, _ := json.Marshal(map[string]any{
							"service": "order-desk", "address": e.address().String(), "zone": cfg.zones[e.spec.zone], "version": "v1", "slots": 2, "state": "ready",
							"warmup-left-ms": 0, "seq": 1,
						})
						w.store.Put("servers", e.id(), text)
					}
				}
				rec.event("another writer overwrites the entries of field-claims")
				select {
				case <-time.After(foreignInterval):
				case <-done:
					return
				}
			}
		}()
	}
	time.Sleep(5 * time.Second)
	before := misrouted(w)
	for _, p := range w.relays {
		if err := p.restart(); err != nil {
			return couldNt, err
		}
		for began := time.Now(); !p.inRotation.Load() && time.Since(began) < 5*time.Second; {
			time.Sleep(10 * time.Millisecond)
		}
		time.Sleep(1300 * time.Millisecond)
	}
	time.Sleep(3 * time.Second)
	close(done)
	wg.Wait()
	photos.Wait()
	wrong := misrouted(w)
	rec.say("%d requests answered, %d unsafe requests never answered after their flow had opened; %d requests of order-desk were run by field-claims, %d of them before the first stop",
		answered.Load(), failed.Load(), wrong, before)
	if answered.Load() < 1000 {
		return couldNt, fmt.Errorf("too few requests were answered")
	}
	if wrong > 0 {
		rec.say("BROKEN ROUTE")
		return broken, nil
	}
	return held, nil
}

// misrouted returns the number of requests that endpoints of another service have run.
func misrouted(w *world) (n int) {
	for _, e := range w.endpoints {
		e.mu.Lock()
		n += e.misrouted
		e.mu.Unlock()
	}
	return n
}
