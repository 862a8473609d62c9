package main

import (
	"fmt"
	"net/netip"
	"sort"
	"sync"
	"sync/atomic"
	"time"
)

// The figures of rule FAILBACK in the settings and in the configuration that the cases write.
const (
	warmupS    = 2.0
	warmupPerS = 4.0
	coldOver   = 1.5
	coldSlack  = 5
)

// coldLimit is the number of requests in one second above which a cold endpoint has got too many.
const coldLimit = warmupPerS*coldOver + coldSlack

// taken is a flow that an endpoint took, with the time at which the requester sent it.
type taken struct {
	sent, arrived time.Time
}

// coldStart is one cold start of an endpoint, for which rule FAILBACK is checked.
type coldStart struct {
	e        *endpoint
	from, to time.Time
}

// worst returns the highest number of requests that were sent and arrived inside one second of the cold start, and when that began.
func (c *coldStart) worst(w *world) (most int, at time.Time) {
	c.e.mu.Lock()
	list := append([]opening(nil), c.e.openings...)
	c.e.mu.Unlock()
	var in []taken
	for _, o := range list {
		for _, r := range w.requesters {
			r.mu.Lock()
			sent, ok := r.sentAt[o.key]
			r.mu.Unlock()
			if ok && !sent.Before(c.from) && o.arrived.Before(c.to) {
				in = append(in, taken{sent: sent, arrived: o.arrived})
			}
		}
	}
	sort.Slice(in, func(i, j int) bool { return in[i].sent.Before(in[j].sent) })
	for i := range in {
		n := 0
		for j := i; j < len(in); j++ {
			if in[j].arrived.Sub(in[i].sent) < time.Second {
				n++
			}
		}
		if n > most {
			most, at = n, in[i].sent
		}
	}
	return most, at
}

// reportColdStarts writes the result of each cold start, and reports whether one got too many requests.
func reportColdStarts(w *world, starts []*coldStart) (over int) {
	for _, c := range starts {
		most, at := c.worst(w)
		line := fmt.Sprintf("%s is cold from %.3f s to %.3f s and gets at most %d requests in one second; allowed are %.0f", c.e.name(),
			w.rec.seconds(c.from), w.rec.seconds(c.to), most, coldLimit)
		if most > 0 {
			line += fmt.Sprintf(" (from %.3f s on)", w.rec.seconds(at))
		}
		if float64(most) > coldLimit {
			over++
			line = "BROKEN FAILBACK: " + line
		}
		w.rec.say("%s", line)
	}
	return over
}

// shortFlows makes the requesters of all zones open flows of one request each, perS a second altogether, until done is closed.
func shortFlows(w *world, route netip.AddrPort, perS int, done <-chan struct{}, answered, failed *atomic.Int64) *sync.WaitGroup {
	var wg sync.WaitGroup
	wg.Go(func() {
		tick := time.NewTicker(time.Second / time.Duration(perS))
		defer tick.Stop()
		for n := 0; ; n++ {
			select {
			case <-done:
				return
			case <-tick.C:
			}
			r := w.requesters[n%len(w.requesters)]
			wg.Go(func() {
				// A requester retries at most twice, and only if the flow never opened.
				for range 3 {
					f, err := r.openFlow(route)
					if err != nil {
						continue
					}
					if f.request(fmt.Sprintf("checkin-%d", n), 2*time.Second) == nil {
						answered.Add(1)
					} else {
						failed.Add(1)
					}
					f.close()
					return
				}
			})
		}
	})
	return &wg
}

// coldWorld is a deployment with one service, whose cold endpoints bear warmupPerS requests a second.
func coldWorld(rec *record) (*world, netip.AddrPort, error) {
	route := netip.MustParseAddrPort("127.1.1.1:8443")
	cfg := worldConfig{
		zones: []string{"zone-a", "zone-b", "zone-c"}, relays: []int{0, 0, 0, 1, 1, 2, 2}, clientDelay: time.Millisecond, warmupS: warmupS, warmupPerS: warmupPerS,
		routes: []routeSpec{{name: "station-checkin", kind: "unsafe", service: "livefeed", address: route, priority: 1}},
	}
	for n := range 14 {
		cfg.endpoints = append(cfg.endpoints, endpointSpec{zone: n % 3, service: "livefeed"})
	}
	w, err := newWorld(cfg, rec)
	for _, e := range w.endpoints {
		e.coldLimit = coldLimit
	}
	return w, route, err
}

// restartTime is how long an endpoint that crashes is down.
const restartTime = 50 * time.Millisecond

// playRestart crashes single endpoints, each of which starts again under its id a moment later.
func playRestart(rec *record, trouble bool) (outcome, error) {
	w, route, err := coldWorld(rec)
	defer w.close()
	if err != nil {
		return couldNt, err
	}
	var answered, failed atomic.Int64
	done := make(chan struct{})
	wg := shortFlows(w, route, 400, done, &answered, &failed)
	time.Sleep(5 * time.Second)
	var starts []*coldStart
	for n := range 14 {
		e := w.endpoints[n]
		if trouble {
			rec.event("%s crashes", e.name())
			e.crash()
			time.Sleep(restartTime)
			if err := e.start(time.Duration(warmupS * float64(time.Second))); err != nil {
				return couldNt, err
			}
			rec.event("%s has started again", e.name())
			e.mu.Lock()
			starts = append(starts, &coldStart{e: e, from: e.born, to: e.warmAt})
			e.mu.Unlock()
		}
		time.Sleep(5*time.Second + time.Duration(n)*70*time.Millisecond)
	}
	close(done)
	wg.Wait()
	over := reportColdStarts(w, starts)
	falls := 0
	for _, e := range w.endpoints {
		e.mu.Lock()
		falls += e.falls
		e.mu.Unlock()
	}
	rec.say("%d requests answered, %d unsafe requests never answered after their flow had opened; %d of %d cold starts broke FAILBACK, %d times a cold endpoint fell over",
		answered.Load(), failed.Load(), over, len(starts), falls)
	if answered.Load() < 1000 {
		return couldNt, fmt.Errorf("too few requests were answered")
	}
	if over > 0 {
		return broken, nil
	}
	return held, nil
}

// The changes of the configuration in quick succession: one each stormGap, for 4 s.
const (
	stormGap     = 330 * time.Millisecond
	stormChanges = 12
)

// slowAnswer is the time that the slowed store takes for an answer: x 60 of its usual 4 ms.
const slowAnswer = 240 * time.Millisecond

// restartGap is the time between the restarts of two endpoints of the zone.
const restartGap = 150 * time.Millisecond

// playTakenBack empties a zone and takes it back, again and again, while the store is slow and the configuration changes in quick succession. The zone's
// endpoints become cold shortly before it is taken back.
func playTakenBack(rec *record, trouble bool) (outcome, error) {
	w, route, err := coldWorld(rec)
	defer w.close()
	if err != nil {
		return couldNt, err
	}
	var answered, failed atomic.Int64
	w.store.SetDelay(4 * time.Millisecond)
	done := make(chan struct{})
	wg := shortFlows(w, route, 280, done, &answered, &failed)
	time.Sleep(4 * time.Second)
	var starts []*coldStart
	version := 1
	for n := range 14 {
		zone := n % 3
		rec.event("operator: evacuates %s", w.cfg.zones[zone])
		w.store.EvacuateDomain(w.cfg.zones[zone])
		time.Sleep(3 * time.Second)
		if trouble {
			rec.event("the store takes %s for an answer", slowAnswer)
			w.store.SetDelay(slowAnswer)
			go func() {
				for range stormChanges {
					version++
					w.configure(version, w.cfg.routes)
					time.Sleep(stormGap)
				}
			}()
		}
		time.Sleep(1200*time.Millisecond + time.Duration(n%9)*97*time.Millisecond)
		var cold []*endpoint
		for _, e := range w.endpoints {
			if e.spec.zone == zone {
				cold = append(cold, e)
			}
		}
		for n, e := range cold {
			if n > 0 {
				time.Sleep(restartGap)
			}
			e.crash()
			if err := e.start(time.Duration(warmupS * float64(time.Second))); err != nil {
				return couldNt, err
			}
		}
		w.store.RestoreDomain(w.cfg.zones[zone])
		rec.event("operator: takes %s back; its endpoints have become cold just before", w.cfg.zones[zone])
		for _, e := range cold {
			e.mu.Lock()
			starts = append(starts, &coldStart{e: e, from: e.born, to: e.warmAt})
			e.mu.Unlock()
		}
		time.Sleep(1600 * time.Millisecond)
		if trouble {
			w.store.SetDelay(4 * time.Millisecond)
			rec.event("the store takes 4 ms for an answer again")
		}
		time.Sleep(500 * time.Millisecond)
	}
	close(done)
	wg.Wait()
	over := reportColdStarts(w, starts)
	falls := 0
	for _, e := range w.endpoints {
		e.mu.Lock()
		falls += e.falls
		e.mu.Unlock()
	}
	rec.say("%d requests answered, %d unsafe requests never answered after their flow had opened; %d of %d cold starts broke FAILBACK, %d times a cold endpoint fell over",
		answered.Load(), failed.Load(), over, len(starts), falls)
	if over > 0 {
		return broken, nil
	}
	return held, nil
}
