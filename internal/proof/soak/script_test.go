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

// script is the series of faults of one seed. What happens, and when, follows from the seed alone; what it meets does not.
type script struct {
	*run
	rng *rand.Rand
	wg  sync.WaitGroup
	// count is how many faults began.
	count int
	// lives keeps two faults from ending and starting the same process at once.
	lives map[*stage.Process]*sync.Mutex

	mu sync.Mutex
	// All below is guarded by mu.
	// fated holds the upstreams that something was decided for already.
	fated map[*stand.Upstream]bool
	// upstreams is the number of the last upstream.
	upstreams uint64
	// version is that of the last configuration, and extra holds the routes that it has beside the first ones.
	version uint64
	extra   []stand.Route
	made    int
}

func newScript(r *run, rng *rand.Rand) *script {
	s := &script{
		run: r, rng: rng, lives: map[*stage.Process]*sync.Mutex{}, fated: map[*stand.Upstream]bool{},
		upstreams: uint64(len(services)), version: 1,
	}
	for _, p := range r.Processes {
		s.lives[p] = &sync.Mutex{}
	}
	return s
}

// fault is one kind of trouble or planned work; it returns when it is over.
type fault func(s *script, d draw)

// draw is what the seed decides for one fault.
type draw struct {
	// process, other and upstream are numbers to be taken modulo what there is.
	process, other, upstream int
	domain                   string
	// short is from 0.1 to 1 s, and long from 0.5 to 6 s.
	short, long time.Duration
	// coin decides between two variants, and many among more.
	coin bool
	many int
}

// faults holds every kind, by name.
var faults = map[string]fault{
	"kill":           (*script).kill,
	"kill some":      (*script).killSome,
	"stop":           (*script).stop,
	"pause":          (*script).pause,
	"reload":         (*script).reload,
	"cut domain":     (*script).cutDomain,
	"cut instance":   (*script).cutInstance,
	"cut one way":    (*script).cutOneWay,
	"delay":          (*script).delayLinks,
	"reset links":    (*script).resetLinks,
	"lossy":          (*script).lossy,
	"door down":      (*script).doorDown,
	"door mute":      (*script).doorMute,
	"door slow":      (*script).doorSlow,
	"store down":     (*script).storeDown,
	"store lapses":   (*script).storeLapses,
	"store slow":     (*script).storeSlow,
	"answers lost":   (*script).answersLost,
	"history gone":   (*script).historyGone,
	"drain":          (*script).drain,
	"crash":          (*script).crash,
	"replace":        (*script).replace,
	"silent":         (*script).silent,
	"slow":           (*script).slow,
	"scale out":      (*script).scaleOut,
	"change routes":  (*script).changeRoutes,
	"storm":          (*script).storm,
	"evacuate":       (*script).evacuate,
	"unreadable":     (*script).unreadable,
	"drain and kill": (*script).drainAndKill,
}

// play begins faults for a time and waits until all are over.
func (s *script) play(length time.Duration) {
	names := slices.Sorted(maps.Keys(faults))
	for end := time.Now().Add(length); time.Now().Before(end); {
		name, d := names[s.rng.IntN(len(names))], s.draw()
		pause := time.Duration(s.rng.ExpFloat64() * float64(eventGap))
		s.count++
		s.wg.Go(func() {
			s.note("%s begins", name)
			faults[name](s, d)
			s.note("%s is over", name)
		})
		time.Sleep(min(pause, 4*eventGap))
	}
	s.wg.Wait()
	s.note("all faults are over")
}

func (s *script) draw() draw {
	return draw{
		process: s.rng.IntN(1 << 20), other: s.rng.IntN(1 << 20), upstream: s.rng.IntN(1 << 20), domain: domains[s.rng.IntN(len(domains))],
		short: time.Duration(100+s.rng.IntN(900)) * time.Millisecond, long: time.Duration(500+s.rng.IntN(5500)) * time.Millisecond,
		coin: s.rng.IntN(2) == 0, many: s.rng.IntN(1 << 20),
	}
}

func (s *script) process(n int) *stage.Process {
	return s.Processes[n%len(s.Processes)]
}

// take returns an upstream that nothing was decided for yet, and marks it; nil if too few of its service would be left.
func (s *script) take(n int) *stand.Upstream {
	const least = 2
	s.mu.Lock()
	defer s.mu.Unlock()
	free := map[string][]*stand.Upstream{}
	for _, u := range s.Upstreams() {
		if !s.fated[u] {
			free[u.Service()] = append(free[u.Service()], u)
		}
	}
	names := slices.Sorted(maps.Keys(free))
	list := free[names[n%len(names)]]
	if len(list) <= least {
		return nil
	}
	u := list[n/len(names)%len(list)]
	s.fated[u] = true
	return u
}

// release lets others decide for the upstream again.
func (s *script) release(u *stand.Upstream) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.fated, u)
}

// number returns one for a new upstream.
func (s *script) number() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.upstreams++
	return s.upstreams
}

// add starts one more upstream; its address is its own if none is given.
func (s *script) add(service, domain string, at netip.AddrPort) {
	if u, err := s.AddUpstream(s.number(), service, domain, at); err != nil {
		s.violate("upstream does not start: %v", err)
	} else {
		s.note("%s of %s starts at %s", u.Name(), service, u.Address())
	}
}

// configure writes the next configuration; s.mu is held.
func (s *script) configure() time.Time {
	s.version += 1 + uint64(s.made%3)
	s.Store.Configure(s.version, append(slices.Clone(routes), s.extra...)...)
	return time.Now()
}

// servable reports whether flows to desk can be placed without doubt around the instant.
func (s *script) servable(at time.Time) bool {
	const before, after, least = 6 * time.Second, time.Second, 2
	n := 0
	for _, u := range s.Upstreams() {
		if u.Service() == "desk" && s.steady(u, at.Add(-before), at.Add(after)) {
			n++
		}
	}
	return n >= least
}

// steady reports whether an upstream was there, warm and in use between two instants.
func (s *script) steady(u *stand.Upstream, from, to time.Time) bool {
	s.run.mu.Lock()
	defer s.run.mu.Unlock()
	if since, leaving := s.facts.draining[u.Name()]; leaving && since.Before(to) {
		return false
	}
	for _, out := range s.facts.out[u.Domain()] {
		if out.from.Before(to) && (out.to.IsZero() || out.to.After(from)) {
			return false
		}
	}
	for _, life := range u.Runs() {
		if life.WarmAt.Before(from) && (life.Stopped.IsZero() || life.Stopped.After(to)) {
			return s.ledger.calm(u.Name(), from, to)
		}
	}
	return false
}
