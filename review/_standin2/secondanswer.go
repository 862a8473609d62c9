package main

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"os"
	"sync"
	"sync/atomic"
	"time"
)

// The disruptions of the case: a zone's links to the others lose packets, and later, when nothing has been lost for longer than stability-window-ms, the
// machines are stopped and started in turn.
const (
	lossShare   = 0.025
	lossFrom    = 2 * time.Second
	lossFor     = 5500 * time.Millisecond
	rollFrom    = lossFrom + lossFor + 4500*time.Millisecond
	rollGap     = 1300 * time.Millisecond
	flowsPerS   = 110
	trafficEnds = 26 * time.Second
)

func playSecondAnswer(rec *record, trouble bool) (outcome, error) {
	cfg := worldConfig{
		zones: []string{"zone-a", "zone-b", "zone-c"}, relays: []int{1, 1, 0, 0, 0, 2, 2},
		clientDelay: 3 * time.Millisecond, warmupS: 2, warmupPerS: 4,
	}
	for range 4 {
		cfg.endpoints = append(cfg.endpoints, endpointSpec{zone: 0, service: "reservations"}, endpointSpec{zone: 2, service: "reservations"})
	}
	route := netip.MustParseAddrPort("127.1.1.1:8443")
	cfg.routes = []routeSpec{{name: "reserve-edit", kind: "unsafe", service: "reservations", address: route, priority: 1}}
	w, err := newWorld(cfg, rec)
	defer w.close()
	if err != nil {
		return couldNt, err
	}
	start := time.Now()
	rec.event("all relay instances are in rotation; traffic starts")
	const lossy = 1
	inLoss := func() bool { t := time.Since(start); return t >= lossFrom && t < lossFrom+lossFor }
	// PART=loss and PART=roll play one of the two disruptions alone.
	part := os.Getenv("PART")
	if trouble && part != "roll" {
		w.setDrop(func(from, to netip.Addr) bool {
			a, b := w.zoneOf(from), w.zoneOf(to)
			return inLoss() && a != b && (a == lossy || b == lossy) && rand.Float64() < lossShare
		})
	}
	var resets, lostEdits, answered, opened atomic.Int64
	r := w.requesters[lossy]
	r.onReset = func(f *flow, by netip.Addr) {
		own := by == f.endpoint
		age := time.Since(f.openedAt)
		rec.event("%s: flow open for %.2f s at %s gets a reset from %s", f.key.Caller, age.Seconds(), f.endpoint, by)
		if !own && time.Since(start) >= rollFrom && time.Since(start) >= lossFrom+lossFor+4*time.Second {
			resets.Add(1)
			rec.say("BROKEN FLOW: the flow of %s is open at %s, which lives; it gets a reset from %s, %.1f s after the last loss", f.key.Caller, f.endpoint, by,
				(time.Since(start) - lossFrom - lossFor).Seconds())
		}
	}
	var wg sync.WaitGroup
	go func() {
		if !trouble || part == "loss" {
			return
		}
		time.Sleep(time.Until(start.Add(rollFrom)))
		for _, p := range w.relays {
			_ = p.restart()
			for !p.inRotation.Load() && time.Since(start) < trafficEnds {
				time.Sleep(10 * time.Millisecond)
			}
			time.Sleep(rollGap)
		}
	}()
	for n := 0; time.Since(start) < lossFrom+lossFor; n++ {
		wg.Go(func() {
			f, err := r.openFlow(route)
			if err != nil {
				return
			}
			opened.Add(1)
			for k := 0; time.Since(start) < trafficEnds; k++ {
				id := fmt.Sprintf("edit-%d-%d", n, k)
				switch f.request(id, 4*time.Second) {
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
		time.Sleep(time.Second / flowsPerS)
	}
	wg.Wait()
	time.Sleep(500 * time.Millisecond)
	rec.say("%d flows opened, %d requests answered, %d requests that are not repeated ended without an answer, %d open flows reset by another than their endpoint",
		opened.Load(), answered.Load(), lostEdits.Load(), resets.Load())
	for _, q := range w.requesters {
		if q.broken > 0 {
			return broken, nil
		}
	}
	if opened.Load() < 300 {
		return couldNt, fmt.Errorf("only %d flows opened", opened.Load())
	}
	if resets.Load() > 0 {
		return broken, nil
	}
	return held, nil
}
