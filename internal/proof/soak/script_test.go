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

// injector is the series of faults of one seed. What happens, and when, follows from the seed alone; what it meets does not.
type injector struct {
	*run
	rng *rand.Rand
	wg  sync.WaitGroup
	// faultCount is how many faults began.
	faultCount int
	// processLocks keeps two faults from ending and starting the same process at once.
	processLocks map[*stage.Process]*sync.Mutex

	mu sync.Mutex
	// All below is guarded by mu.
	// fated holds the upstreams that something was decided for already.
	reserved map[*stand.Upstream]bool
	// lastUpstream is the number of the last upstream.
	lastUpstream uint64
	// version is that of the last configuration, and extra holds the routes that it has beside the first ones.
	version     uint64
	extraRoutes []stand.Route
	routesMade  int
}

func newInjector(r *run, rng *rand.Rand) *injector {
	inj := &injector{
		run: r, rng: rng, processLocks: map[*stage.Process]*sync.Mutex{}, reserved: map[*stand.Upstream]bool{},
		lastUpstream: uint64(len(services)), version: 1,
	}
	for _, p := range r.Processes {
		inj.processLocks[p] = &sync.Mutex{}
	}
	return inj
}

// fault is one kind of trouble or planned work; it returns when it is over.
type fault func(s *injector, d draw)

// draw is what the seed decides for one fault.
type draw struct {
	// process, other and upstream are numbers to be taken modulo what there is.
	process, other, upstream int
	domain                   string
	// short is from 0.1 to 1 s, and long from 0.5 to 6 s.
	short, long time.Duration
	// variant decides between two variants, and many among more.
	variant bool
	choice  int
}

// faults holds every kind, by name.
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
	"store lapses":   (*injector).expireEntries,
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
	"evacuate":       (*injector).evacuate,
	"unreadable":     (*injector).corruptEntries,
	"drain and kill": (*injector).drainAndKill,
}

// injectFaults begins faults for a time and waits until all are over.
func (inj *injector) injectFaults(length time.Duration) {
	names := slices.Sorted(maps.Keys(faults))
	for end := time.Now().Add(length); time.Now().Before(end); {
		name, d := names[inj.rng.IntN(len(names))], inj.nextDraw()
		pause := time.Duration(inj.rng.ExpFloat64() * float64(meanFaultInterval))
		inj.faultCount++
		inj.wg.Go(func() {
			inj.logEvent("%s begins", name)
			faults[name](inj, d)
			inj.logEvent("%s is over", name)
		})
		time.Sleep(min(pause, 4*meanFaultInterval))
	}
	inj.wg.Wait()
	inj.logEvent("all faults are over")
}

func (inj *injector) nextDraw() draw {
	return draw{
		process: inj.rng.IntN(1 << 20), other: inj.rng.IntN(1 << 20), upstream: inj.rng.IntN(1 << 20), domain: domains[inj.rng.IntN(len(domains))],
		short: time.Duration(100+inj.rng.IntN(900)) * time.Millisecond, long: time.Duration(500+inj.rng.IntN(5500)) * time.Millisecond,
		variant: inj.rng.IntN(2) == 0, choice: inj.rng.IntN(1 << 20),
	}
}

func (inj *injector) processAt(n int) *stage.Process {
	return inj.Processes[n%len(inj.Processes)]
}

// reserveUpstream returns an upstream that nothing was decided for yet, and marks it; nil if too few of its service would be left.
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

// release lets others decide for the upstream again.
func (inj *injector) release(u *stand.Upstream) {
	inj.mu.Lock()
	defer inj.mu.Unlock()
	delete(inj.reserved, u)
}

// nextUpstreamNumber returns one for a new upstream.
func (inj *injector) nextUpstreamNumber() uint64 {
	inj.mu.Lock()
	defer inj.mu.Unlock()
	inj.lastUpstream++
	return inj.lastUpstream
}

// startUpstream starts one more upstream; its address is its own if none is given.
func (inj *injector) startUpstream(service, domain string, addr netip.AddrPort) {
	if u, err := inj.AddUpstream(inj.nextUpstreamNumber(), service, domain, addr); err != nil {
		inj.addViolation("upstream does not start: %v", err)
	} else {
		inj.logEvent("%s of %s starts at %s", u.Name(), service, u.Address())
	}
}

// configure writes the next configuration; s.mu is held.
func (inj *injector) configure() time.Time {
	inj.version += 1 + uint64(inj.routesMade%3)
	inj.Store.Configure(inj.version, append(slices.Clone(routes), inj.extraRoutes...)...)
	return time.Now()
}

// deskAvailable reports whether flows to desk can be placed without doubt around the instant.
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

// available reports whether an upstream was there, warm and in use between two instants.
func (inj *injector) available(u *stand.Upstream, from, to time.Time) bool {
	inj.run.mu.Lock()
	defer inj.run.mu.Unlock()
	if since, drained := inj.changes.drained[u.Name()]; drained && since.Before(to) {
		return false
	}
	for _, out := range inj.changes.evacuations[u.Domain()] {
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
