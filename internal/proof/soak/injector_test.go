package soak

import (
	"maps"
	"math/rand/v2"
	"net/netip"
	"slices"
	"sync"
	"time"

	"hawthorncourse/internal/stand/stage"
	"hawthorncourse/platform/stand"
)

// injector injects the series of faults of one seed. The kinds of faults, their parameters and the pauses between them follow from the seed
// alone; the state of the processes that the faults affect does not.
type injector struct {
	*run
	rng *rand.Rand
	// restoreRNG draws the restores of the store; only injectRestores uses it.
	restoreRNG *rand.Rand
	wg         sync.WaitGroup
	// faultCount is the number of faults started.
	faultCount int
	// processLocks prevents two faults from stopping and starting the same process concurrently.
	processLocks map[*stage.Process]*sync.Mutex

	mu sync.Mutex
	// All below is guarded by mu.
	// reserved holds the upstreams that a fault already uses or has removed.
	reserved map[*stand.Upstream]bool
	// held counts the faults that hold each effect at present, since several of a kind may overlap.
	held map[string]int
	// lastUpstream is the number of the upstream that was started last.
	lastUpstream uint64
	// version is that of the last configuration written; extraRoutes holds its routes beyond the initial ones, and routesAdded counts the routes added so far.
	version     uint64
	extraRoutes []stand.Route
	routesAdded int
}

func newInjector(r *run, rng, restoreRNG *rand.Rand) *injector {
	inj := &injector{
		run: r, rng: rng, restoreRNG: restoreRNG, processLocks: map[*stage.Process]*sync.Mutex{}, reserved: map[*stand.Upstream]bool{}, held: map[string]int{},
		lastUpstream: uint64(len(services)), version: 1,
	}
	for _, p := range r.Processes {
		inj.processLocks[p] = &sync.Mutex{}
	}
	return inj
}

// fault injects one kind of fault or planned change with the drawn parameters; it returns when the fault is over.
type fault func(inj *injector, d draw)

// draw holds the random parameters of one fault; each kind of fault uses those that it needs.
type draw struct {
	// process, other and upstream select from the processes and upstreams at the time of the fault, modulo their number.
	process, other, upstream int
	domain                   string
	// short is from 0.1 to 1 s, and long from 0.5 to 6 s.
	short, long time.Duration
	// variant selects one of two variants of a fault, and choice one of several, modulo their number.
	variant bool
	choice  int
}

// faults holds every kind of fault by name. The seed selects from the names in sorted order, so a changed name changes the faults of every seed.
var faults = map[string]fault{
	"kill":           (*injector).kill,
	"kill some":      (*injector).killSeveral,
	"stop":           (*injector).stop,
	"pause":          (*injector).pause,
	"reload":         (*injector).reload,
	"cut domain":     (*injector).partitionDomain,
	"cut instance":   (*injector).partitionInstance,
	"cut one way":    (*injector).blockOneDirection,
	"delay":          (*injector).delayLinks,
	"reset links":    (*injector).resetConnections,
	"lossy":          (*injector).losePackets,
	"door down":      (*injector).instanceStoreOutage,
	"door mute":      (*injector).stallStoreConnections,
	"door slow":      (*injector).delayInstanceStore,
	"store down":     (*injector).storeOutage,
	"store lapses":   (*injector).expireRegistrations,
	"store slow":     (*injector).delayStore,
	"answers lost":   (*injector).dropResponses,
	"history gone":   (*injector).dropHistory,
	"drain":          (*injector).drain,
	"crash":          (*injector).crash,
	"replace":        (*injector).replace,
	"silent":         (*injector).makeUnresponsive,
	"slow":           (*injector).slowDown,
	"scale out":      (*injector).scaleOut,
	"change routes":  (*injector).changeRoutes,
	"storm":          (*injector).changeManyRoutes,
	"evacuate":       (*injector).takeDomainOut,
	"unreadable":     (*injector).corruptRegistrations,
	"drain and kill": (*injector).drainAndKill,
}

// injectFaults starts faults, which may overlap, for the given time and waits until all are over. Restores of the store have draws of their own, so
// that the other faults of a seed are those that it had before there were restores.
func (inj *injector) injectFaults(length time.Duration) {
	inj.wg.Go(func() { inj.injectRestores(length) })
	names := slices.Sorted(maps.Keys(faults))
	for end := time.Now().Add(length); time.Now().Before(end); {
		name, d := names[inj.rng.IntN(len(names))], nextDraw(inj.rng)
		pause := time.Duration(inj.rng.ExpFloat64() * float64(meanFaultInterval))
		inj.faultCount++
		inj.wg.Go(func() {
			inj.logEvent("fault %s started", name)
			faults[name](inj, d)
			inj.logEvent("fault %s ended", name)
		})
		time.Sleep(min(pause, 4*meanFaultInterval))
	}
	inj.wg.Wait()
	inj.logEvent("all faults ended")
}

// injectRestores restores the store from older copies, one after the other, for the given time.
func (inj *injector) injectRestores(length time.Duration) {
	for end := time.Now().Add(length); time.Now().Before(end); {
		time.Sleep(time.Duration(inj.restoreRNG.ExpFloat64() * float64(meanRestoreInterval)))
		if time.Now().Before(end) {
			inj.logEvent("fault restore started")
			inj.restoreStore(nextDraw(inj.restoreRNG))
			inj.logEvent("fault restore ended")
		}
	}
}

// nextDraw draws the parameters of the next fault; the order of the draws must stay, so that a seed keeps its faults.
func nextDraw(rng *rand.Rand) draw {
	return draw{
		process: rng.IntN(1 << 20), other: rng.IntN(1 << 20), upstream: rng.IntN(1 << 20), domain: domains[rng.IntN(len(domains))],
		short: time.Duration(100+rng.IntN(900)) * time.Millisecond, long: time.Duration(500+rng.IntN(5500)) * time.Millisecond,
		variant: rng.IntN(2) == 0, choice: rng.IntN(1 << 20),
	}
}

// hold applies an effect and returns the function that ends it. While several faults hold the same effect, the last one to end removes it.
func (inj *injector) hold(effect string, apply, remove func()) (release func()) {
	inj.mu.Lock()
	defer inj.mu.Unlock()
	inj.held[effect]++
	apply()
	return func() {
		inj.mu.Lock()
		defer inj.mu.Unlock()
		if inj.held[effect]--; inj.held[effect] == 0 {
			remove()
		}
	}
}

// processAt returns the process that a drawn number selects.
func (inj *injector) processAt(n int) *stage.Process {
	return inj.Processes[n%len(inj.Processes)]
}

// reserveUpstream reserves an upstream for one fault and returns it, or returns nil if too few unreserved ones of its service would remain.
func (inj *injector) reserveUpstream(n int) *stand.Upstream {
	const minRemaining = 2
	inj.mu.Lock()
	defer inj.mu.Unlock()
	available := map[string][]*stand.Upstream{}
	for _, u := range inj.Upstreams() {
		if !inj.reserved[u] {
			available[u.Service()] = append(available[u.Service()], u)
		}
	}
	names := slices.Sorted(maps.Keys(available))
	list := available[names[n%len(names)]]
	if len(list) <= minRemaining {
		return nil
	}
	u := list[n/len(names)%len(list)]
	inj.reserved[u] = true
	return u
}

// release makes the upstream available to other faults again.
func (inj *injector) release(u *stand.Upstream) {
	inj.mu.Lock()
	defer inj.mu.Unlock()
	delete(inj.reserved, u)
}

// nextUpstreamNumber returns the number for a new upstream.
func (inj *injector) nextUpstreamNumber() uint64 {
	inj.mu.Lock()
	defer inj.mu.Unlock()
	inj.lastUpstream++
	return inj.lastUpstream
}

// startUpstream starts an additional upstream at the address, or at an unused one if the address is invalid.
func (inj *injector) startUpstream(service, domain string, addr netip.AddrPort) {
	if u, err := inj.AddUpstream(inj.nextUpstreamNumber(), service, domain, addr); err != nil {
		inj.addViolation("upstream failed to start: %v", err)
	} else {
		inj.logEvent("upstream %s of service %s started at %s", u.Name(), service, u.Address())
	}
}

// configure writes the next version of the configuration and returns the time at which the store had accepted it. The version numbers have gaps.
// The caller holds inj.mu.
func (inj *injector) configure() time.Time {
	inj.version += 1 + uint64(inj.routesAdded%3)
	inj.Store.Configure(inj.version, append(slices.Clone(routes), inj.extraRoutes...)...)
	return time.Now()
}

// deskAvailable reports whether at least two upstreams of the service "desk" were available around the instant, so that an instance had no reason
// to refuse a new flow for lack of one.
func (inj *injector) deskAvailable(at time.Time) bool {
	const before, after, minUpstreams = 6 * time.Second, time.Second, 2
	n := 0
	for _, u := range inj.Upstreams() {
		if u.Service() == "desk" && inj.available(u, at.Add(-before), at.Add(after)) {
			n++
		}
	}
	return n >= minUpstreams
}

// available reports whether an upstream was running, warm, in service and free of faults between two instants.
func (inj *injector) available(u *stand.Upstream, from, to time.Time) bool {
	inj.run.mu.Lock()
	defer inj.run.mu.Unlock()
	if since, drained := inj.changes.drained[u.Name()]; drained && since.Before(to) {
		return false
	}
	for _, out := range inj.changes.domainsOut[u.Domain()] {
		if out.start.Before(to) && (out.end.IsZero() || out.end.After(from)) {
			return false
		}
	}
	for _, r := range u.Runs() {
		if r.WarmAt.Before(from) && (r.Stopped.IsZero() || r.Stopped.After(to)) {
			return inj.faultLog.undisturbed(u.Name(), from, to)
		}
	}
	return false
}
