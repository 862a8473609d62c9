package main

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"
)

// The traffic of the case: flows of every zone, each of which carries some requests, with pauses between them.
const (
	plannedFlowsPerS = 900
	plannedRequests  = 4
	plannedEnds      = 50 * time.Second
)

// The planned work of the case: each machine is stopped and started twice, one at a time.
const (
	plannedRounds = 2
	rollGap       = 1300 * time.Millisecond
)

// playPlanned stops and starts the machines in turn while requesters open long flows. Nothing is lost, and no endpoint ends.
func playPlanned(rec *record, trouble bool) (outcome, error) {
	route := netip.MustParseAddrPort("127.1.1.1:8443")
	cfg := worldConfig{
		zones: []string{"zone-a", "zone-b", "zone-c"}, relays: []int{0, 0, 0, 1, 1, 2, 2}, clientDelay: 3 * time.Millisecond, warmupS: 2, warmupPerS: 4,
		routes: []routeSpec{{name: "reserve-edit", kind: "unsafe", service: "reservations", address: route, priority: 1}},
	}
	for n := range 14 {
		cfg.endpoints = append(cfg.endpoints, endpointSpec{zone: n % 3, service: "reservations"})
	}
	w, err := newWorld(cfg, rec)
	defer w.close()
	if err != nil {
		return couldNt, err
	}
	start := time.Now()
	var resets, lostEdits, answered, opened atomic.Int64
	for _, r := range w.requesters {
		r.onReset = func(f *flow, by netip.Addr) {
			rec.event("%s: flow open for %.2f s at %s gets a reset from %s", f.key.Caller, time.Since(f.openedAt).Seconds(), f.endpoint, by)
			if by != f.endpoint {
				resets.Add(1)
				rec.say("BROKEN FLOW: the flow of %s is open at %s, which lives; it gets a reset from %s", f.key.Caller, f.endpoint, by)
			}
		}
	}
	if trouble {
		go func() {
			time.Sleep(6 * time.Second)
			for n := range plannedRounds * len(w.relays) {
				p := w.relays[n%len(w.relays)]
				_ = p.restart()
				for !p.inRotation.Load() && time.Since(start) < plannedEnds {
					time.Sleep(10 * time.Millisecond)
				}
				time.Sleep(rollGap)
			}
		}()
	}
	var wg sync.WaitGroup
	tick := time.NewTicker(time.Second / plannedFlowsPerS)
	defer tick.Stop()
	for n := 0; time.Since(start) < plannedEnds; n++ {
		<-tick.C
		r := w.requesters[n%len(w.requesters)]
		wg.Go(func() {
			f, err := r.openFlow(route)
			if err != nil {
				return
			}
			opened.Add(1)
			for k := range plannedRequests {
				switch f.request(fmt.Sprintf("edit-%d-%d", n, k), 4*time.Second) {
				case nil:
					answered.Add(1)
				case errReset, errDeadline:
					lostEdits.Add(1)
					return
				}
				time.Sleep(time.Duration(700+rand.IntN(600)) * time.Millisecond)
			}
			f.close()
		})
	}
	wg.Wait()
	second := 0
	for _, e := range w.endpoints {
		e.mu.Lock()
		second += e.answeredSyns - len(e.openings)
		e.mu.Unlock()
	}
	rec.say("%d SYNs were answered by an endpoint at which the flow did not open", second)
	rec.say("%d flows opened, %d requests answered, %d requests that are not repeated ended without an answer, %d open flows reset by another than their endpoint",
		opened.Load(), answered.Load(), lostEdits.Load(), resets.Load())
	if opened.Load() < 1000 {
		return couldNt, fmt.Errorf("only %d flows opened", opened.Load())
	}
	if resets.Load() > 0 {
		return broken, nil
	}
	return held, nil
}
