package replay

import (
	"container/heap"
	"math"
	"math/rand/v2"
	"net/netip"
	"strconv"
	"time"

	"hawthorncourse/internal/core/choose"
	"hawthorncourse/internal/core/direct"
	"hawthorncourse/internal/core/model"
	"hawthorncourse/internal/core/place"
	"hawthorncourse/internal/core/roster"
)

// The times of the modelled network, those of today's smaller site.
const (
	callerDelay      = 3 * time.Millisecond
	sameDomainDelay  = 100 * time.Microsecond
	crossDomainDelay = 900 * time.Microsecond
	lossRate         = 0.0002
)

// Config is what a replay is built from.
type Config struct {
	// Pattern is the load.
	Pattern *Pattern
	// Seed feeds every random choice.
	Seed uint64
	// Policy picks upstreams; nil for the product's own policy.
	Policy choose.Policy[place.Candidate[*roster.Upstream]]
	// Disabled names decisions that are replaced by their simpler alternative.
	Disabled direct.Disabled
}

// simulation is one replay.
type simulation struct {
	cfg               Config
	pattern           *Pattern
	rng               *rand.Rand
	now               model.Instant
	queue             taskQueue
	lastSeq           uint64
	instancesByDomain map[model.DomainID][]*instance
	// instances holds all, in order.
	instances         []*instance
	upstreams         []*upstream
	upstreamsByNumber map[model.EndpointNumber]*upstream
	// partitioned holds the failure domains that are cut off.
	partitioned map[model.DomainID]bool
	// domainsOut holds the failure domains that operators have taken out.
	domainsOut []model.DomainID
	revision   model.Revision
	loadFactor float64
	flowCount  uint32
	result     *Result
}

// task is one thing that is due.
type task struct {
	at  model.Instant
	seq uint64
	run func()
}

type taskQueue []task

func (q taskQueue) Len() int { return len(q) }
func (q taskQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || (q[i].at == q[j].at && q[i].seq < q[j].seq)
}
func (q taskQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *taskQueue) Push(x any)   { *q = append(*q, x.(task)) }
func (q *taskQueue) Pop() any {
	old := *q
	last := old[len(old)-1]
	*q = old[:len(old)-1]
	return last
}

// serviceAddress is where callers of the one modelled service send; the two routes differ in what may be repeated.
var (
	streamAddress  = netip.MustParseAddrPort("198.18.0.1:443")
	bookingAddress = netip.MustParseAddrPort("198.18.0.1:444")
)

const serviceID model.ServiceID = "service"

// Run plays the pattern and returns what its callers saw.
func Run(cfg Config) *Result {
	s := &simulation{
		cfg:               cfg,
		pattern:           cfg.Pattern,
		rng:               rand.New(rand.NewPCG(cfg.Seed, 1)),
		instancesByDomain: map[model.DomainID][]*instance{},
		upstreamsByNumber: map[model.EndpointNumber]*upstream{},
		partitioned:       map[model.DomainID]bool{},
		loadFactor:        1,
		result:            newResult(cfg.Pattern),
	}
	for _, name := range s.pattern.Domains {
		d := model.DomainID(name)
		for range s.pattern.Upstreams {
			s.addUpstream(d, 0)
		}
		for n := range s.pattern.Instances {
			in := newInstance(s, d, n)
			s.instances = append(s.instances, in)
			s.instancesByDomain[d] = append(s.instancesByDomain[d], in)
		}
	}
	for _, name := range s.pattern.Domains {
		s.startCallers(model.DomainID(name))
	}
	for _, e := range s.pattern.Events {
		s.after(e.At, func() { s.apply(e) })
	}
	// Every request is answered or given up by its deadline.
	end := model.Instant(s.pattern.Duration + s.pattern.Deadline + time.Second)
	for len(s.queue) > 0 {
		e := heap.Pop(&s.queue).(task)
		if e.at > end {
			break
		}
		s.now = e.at
		e.run()
	}
	s.result.summarize(s.upstreams)
	return s.result
}

// after lets something happen later.
func (s *simulation) after(d time.Duration, run func()) {
	s.lastSeq++
	heap.Push(&s.queue, task{at: s.now.Add(d), seq: s.lastSeq, run: run})
}

// loadEnded reports whether callers ask no more.
func (s *simulation) loadEnded() bool {
	return time.Duration(s.now) >= s.pattern.Duration
}

// connected reports whether two failure domains hear each other.
func (s *simulation) connected(a, b model.DomainID) bool {
	return a == b || (!s.partitioned[a] && !s.partitioned[b])
}

// networkDelay returns the time between an instance and an upstream.
func networkDelay(a, b model.DomainID) time.Duration {
	if a == b {
		return sameDomainDelay
	}
	return crossDomainDelay
}

// dropPacket reports whether one packet is lost.
func (s *simulation) dropPacket() bool {
	return s.rng.Float64() < lossRate
}

// logNormal returns a time around the mean that is sometimes much longer: lognormal with a sigma of a half.
func (s *simulation) logNormal(mean time.Duration) time.Duration {
	const sigma = 0.5
	return time.Duration(float64(mean) * math.Exp(sigma*s.rng.NormFloat64()-sigma*sigma/2))
}

// randomPause returns a random pause with the mean.
func (s *simulation) randomPause(mean time.Duration) time.Duration {
	return time.Duration(float64(mean) * s.rng.ExpFloat64() / s.loadFactor)
}

// apply lets an event of the pattern take place.
func (s *simulation) apply(e Event) {
	switch e.Kind {
	case EventCrash:
		for _, u := range s.pickUpstreams(e) {
			u.crash()
		}
	case EventSlow:
		for _, u := range s.pickUpstreams(e) {
			timeFactor := u.timeFactor
			u.timeFactor *= float64(e.Factor) / 100
			s.after(e.Duration, func() { u.timeFactor = timeFactor })
		}
	case EventPartition:
		s.partitioned[model.DomainID(e.Domain)] = true
		s.after(e.Duration, func() { delete(s.partitioned, model.DomainID(e.Domain)) })
	case EventPowerLoss:
		for _, in := range s.instances {
			in.stop()
			s.after(e.Duration, in.start)
		}
	case EventBurst:
		s.loadFactor = float64(e.Factor) / 100
		s.after(e.Duration, func() { s.loadFactor = 1 })
	case EventReplace:
		for i, u := range s.pickUpstreams(e) {
			s.after(time.Duration(i)*replaceInterval, u.replace)
		}
	case EventDomainOut:
		s.domainsOut = []model.DomainID{model.DomainID(e.Domain)}
		s.registryChanged()
		s.after(e.Duration, func() { s.domainsOut = nil; s.registryChanged() })
	}
}

const replaceInterval = time.Second

// pickUpstreams returns the upstreams that an event concerns.
func (s *simulation) pickUpstreams(e Event) []*upstream {
	var pool []*upstream
	for _, u := range s.upstreams {
		if !u.down && !u.draining && (e.Domain == "" || u.reg.Domain == model.DomainID(e.Domain)) {
			pool = append(pool, u)
		}
	}
	s.rng.Shuffle(len(pool), func(i, j int) { pool[i], pool[j] = pool[j], pool[i] })
	return pool[:min(e.Count, len(pool))]
}

// registryChanged tells every instance of the registry as it is now, each a little later; a cut-off domain hears nothing.
func (s *simulation) registryChanged() {
	s.revision++
	for _, in := range s.instances {
		in.scheduleSync()
	}
}

// listing returns the registry as it is now.
func (s *simulation) listing() model.Listing[model.Registration] {
	list := model.Listing[model.Registration]{Revision: s.revision}
	for _, u := range s.upstreams {
		if u.registered {
			list.Items = append(list.Items, u.reg)
		}
	}
	return list
}

// routes returns the configuration, which never changes.
func routes() model.RouteTable {
	targets := []model.Target{{Service: serviceID, Weight: 1}}
	return model.RouteTable{
		Version: 1, Revision: 1, FlowIdle: 15 * time.Second,
		Routes: []model.Route{
			{Name: "stream", Address: streamAddress, Kind: model.RouteIdempotent, Targets: targets},
			{Name: "booking", Address: bookingAddress, Kind: model.RouteOnce, Targets: targets},
		},
	}
}

func upstreamID(n model.EndpointNumber) model.UpstreamID {
	return model.UpstreamID("u-" + strconv.FormatUint(uint64(n), 16))
}
