package main

import (
	"flag"
	"math"
	"math/rand/v2"
	"net/netip"
	"os"
	"syscall"
	"time"

	"hawthorncourse/platform/stand"
)

var (
	rate    = flag.Float64("rate", 40, "requests per second")
	seconds = flag.Float64("seconds", 100, "how long traffic lasts")
	workMS  = flag.Float64("work", 300, "mean time of a request in ms")
	loss    = flag.Float64("loss", 0.01, "share of the datagrams that are lost")
	mod     = flag.Bool("mod", false, "the routers hash by mod")
	gap     = flag.Float64("gap", 2, "seconds between two stops")
	down    = flag.Float64("down", 50, "how long an endpoint is down, in ms")
	record  = flag.String("record", "record.txt", "file of what was sent, answered and run")
	mode    = flag.String("case", "roll", "the case")
)

// trouble is false for a run without the disruption.
var trouble = os.Getenv("TROUBLE") != "0"

func main() {
	flag.Parse()
	w := newWorld(*record)
	w.hashMod, w.loss = *mod, *loss
	for _, z := range []int{0, 0, 0, 0, 1, 1, 1} {
		w.addMachine(z)
	}
	w.writeSettings()
	mean := *workMS
	for n := range 14 {
		e := &endpoint{w: w, number: uint64(0x7f3a0000 + n), service: "huvo11a", zone: zoneNames[n%len(zoneNames)], address: w.addr(groupEndpoints, n+1, endpointPort)}
		e.work = func() time.Duration {
			return time.Duration(mean * math.Exp(0.3*rand.NormFloat64()) * float64(time.Millisecond))
		}
		w.endpoints = append(w.endpoints, e)
	}
	w.configure(7, route("r-orders", "198.18.0.1", 8080, "unsafe", "huvo11a"))
	for _, e := range w.endpoints {
		e.start(0)
		e.register("ready")
	}
	for _, m := range w.machines {
		m.start()
		go m.checkReady()
	}
	awaitReady(w)
	time.Sleep(3 * time.Second)
	w.note("traffic begins")
	done := make(chan struct{})
	go runTraffic(w, done)
	if trouble {
		switch *mode {
		case "roll":
			go roll(w, done)
		case "freeze":
			go freeze(w, done)
		case "mix":
			go mix(w, done)
		case "restart":
			go restartEndpoints(w, done)
		}
	}
	time.Sleep(time.Duration(*seconds * float64(time.Second)))
	close(done)
	time.Sleep(3 * time.Second)
	w.finish()
}

// awaitReady waits until all machines are in rotation.
func awaitReady(w *world) {
	for until := time.Now().Add(15 * time.Second); ; time.Sleep(50 * time.Millisecond) {
		n := 0
		for _, m := range w.machines {
			if m.inRotation.Load() {
				n++
			}
		}
		if n == len(w.machines) {
			return
		}
		if time.Now().After(until) {
			must(os.ErrDeadlineExceeded)
		}
	}
}

// runTraffic opens flows at random times until done.
func runTraffic(w *world, done chan struct{}) {
	var requesters []*requester
	for z := range zoneNames {
		requesters = append(requesters, newRequester(w, z, w.addr(groupRequesters, z+1, 0).Addr()))
	}
	address := netip.MustParseAddrPort("198.18.0.1:8080")
	for {
		select {
		case <-done:
			return
		case <-time.After(time.Duration(rand.ExpFloat64() / *rate * float64(time.Second))):
			go requesters[rand.IntN(len(requesters))].request(address)
		}
	}
}

// roll stops the machines in turn, one each gap; each starts again.
func roll(w *world, done chan struct{}) {
	for n := 0; ; n++ {
		select {
		case <-done:
			return
		case <-time.After(time.Duration(*gap * float64(time.Second))):
			w.machines[n%len(w.machines)].term()
		}
	}
}

// restartEndpoints restarts one endpoint each gap, in turn, under its id and at its address; it is cold then.
func restartEndpoints(w *world, done chan struct{}) {
	for n := 0; ; n++ {
		select {
		case <-done:
			return
		case <-time.After(time.Duration(*gap * float64(time.Second))):
		}
		e := w.endpoints[n%len(w.endpoints)]
		w.note("endpoint %s crashes", e.name())
		e.crash()
		time.Sleep(time.Duration(*down * float64(time.Millisecond)))
		e.start(warmup)
		e.register("ready")
		w.note("endpoint %s runs again, cold for %v", e.name(), warmup)
		time.AfterFunc(warmup, func() { e.register("ready"); w.checkCold(e) })
	}
}

// warmup is warmup-s of the configuration.
const warmup = 2 * time.Second

// coldLimit is warmup-per-s x cold-over + cold-slack.
const coldLimit = 0*1.5 + 5

// checkCold counts the openings of an endpoint in each second of its cold start.
func (w *world) checkCold(e *endpoint) {
	e.mu.Lock()
	most, times := 0, e.openings
	for i := range times {
		n := 0
		for _, t := range times[i:] {
			if t.Sub(times[i]) < time.Second && t.Before(e.coldTill) {
				n++
			}
		}
		most = max(most, n)
	}
	e.mu.Unlock()
	w.note("endpoint %s got %d openings in its busiest cold second", e.name(), most)
	if most > coldLimit {
		w.violate("FAILBACK", "endpoint %s got %d openings in one second while it was cold; %d are allowed", e.name(), most, int(coldLimit))
	}
}

// freeze stops and continues one machine each gap.
func freeze(w *world, done chan struct{}) {
	for n := 0; ; n++ {
		select {
		case <-done:
			return
		case <-time.After(time.Duration(*gap * float64(time.Second))):
		}
		m := w.machines[n%len(w.machines)]
		w.note("freeze %s", m.name)
		m.signal(syscall.SIGSTOP)
		time.Sleep(time.Duration(*down * float64(time.Millisecond)))
		m.signal(syscall.SIGCONT)
		w.note("wake %s", m.name)
	}
}

// mix plays random events.
func mix(w *world, done chan struct{}) {
	for {
		select {
		case <-done:
			return
		case <-time.After(time.Duration(rand.ExpFloat64() * *gap * float64(time.Second))):
		}
		m := w.machines[rand.IntN(len(w.machines))]
		e := w.endpoints[rand.IntN(len(w.endpoints))]
		switch rand.IntN(9) {
		case 0, 1:
			m.term()
		case 2:
			w.note("kill %s", m.name)
			m.signal(syscall.SIGKILL)
		case 3:
			go func() {
				w.note("freeze %s", m.name)
				m.signal(syscall.SIGSTOP)
				time.Sleep(time.Duration(rand.IntN(3000)) * time.Millisecond)
				m.signal(syscall.SIGCONT)
				w.note("wake %s", m.name)
			}()
		case 4, 5:
			go func() {
				if !e.mu.TryLock() {
					return
				}
				busy := e.busy
				e.busy = true
				e.mu.Unlock()
				if busy {
					return
				}
				w.note("endpoint %s crashes", e.name())
				e.crash()
				time.Sleep(time.Duration(rand.IntN(2500)) * time.Millisecond)
				e.start(warmup)
				e.register("ready")
				w.note("endpoint %s runs again", e.name())
				e.mu.Lock()
				e.busy = false
				e.mu.Unlock()
			}()
		case 6:
			w.note("store down")
			lapse := rand.IntN(2) == 0
			w.store.SetOutage(stand.Outage(1 + rand.IntN(4)))
			if lapse {
				for _, e := range w.endpoints {
					w.store.Remove("servers", e.name())
				}
			}
			time.Sleep(time.Duration(rand.IntN(5000)) * time.Millisecond)
			w.store.SetOutage(stand.OutageNone)
			w.note("store up")
			if lapse {
				for _, e := range w.endpoints {
					go func() { time.Sleep(time.Duration(rand.IntN(1900)) * time.Millisecond); e.register("ready") }()
				}
			}
		case 7:
			w.store.SetDelay(240 * time.Millisecond)
			time.Sleep(4 * time.Second)
			w.store.SetDelay(0)
		case 8:
			w.version++
			w.configure(w.version, route("r-orders", "198.18.0.1", 8080, "unsafe", "huvo11a"), route("r-x", "198.18.0.9", 9000+w.version%3, "safe", "huvo11a"))
		}
	}
}
