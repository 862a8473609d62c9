package replay

import (
	"container/heap"
	"math"
	"math/rand/v2"
	"net/netip"
	"slices"
	"strconv"
	"time"

	"hawthorncourse/internal/core/choose"
	"hawthorncourse/internal/core/direct"
	"hawthorncourse/internal/core/model"
	"hawthorncourse/internal/core/place"
	"hawthorncourse/internal/core/roster"
)

// One-way delays and loss rate of the simulated network. The values are those of the smaller production site.
const (
	// callerDelay is the delay between a caller and an instance or upstream.
	callerDelay = 3 * time.Millisecond
	// sameDomainDelay and crossDomainDelay are the delays between an instance and an upstream in the same and in another failure domain.
	sameDomainDelay  = 100 * time.Microsecond
	crossDomainDelay = 900 * time.Microsecond
	// lossRate is the share of packets that are lost on each hop.
	lossRate = 0.0002
)

// Config holds the parameters of a replay.
type Config struct {
	// Pattern is the load pattern to simulate.
	Pattern *Pattern
	// Seed initializes the random number generators of the simulation and of the decision engines.
	Seed uint64
	// Policy selects the upstream of a new flow; nil for the default policy.
	Policy choose.Policy[place.Candidate[*roster.Upstream]]
	// Disabled selects decisions that are replaced by simpler alternatives.
	Disabled direct.Disabled
}

// simulation is the state of a replay.
type simulation struct {
	cfg     Config
	pattern *Pattern
	rng     *rand.Rand
	now     model.Instant
	queue   taskQueue
	// lastSeq is the sequence number of the latest task.
	lastSeq           uint64
	instancesByDomain map[model.DomainID][]*instance
	// instances holds the instances of all failure domains in order of creation.
	instances         []*instance
	upstreams         []*upstream
	upstreamsByNumber map[model.EndpointNumber]*upstream
	// partitions counts the events that disconnect a failure domain from the others and from the store, as events may overlap.
	partitions map[model.DomainID]int
	// domainsOut holds the failure domains that operators have taken out, once for each event.
	domainsOut []model.DomainID
	// revision is the revision of the registry.
	revision model.Revision
	// bursts multiply the request rate.
	bursts factors
	// flowCount counts the flows opened so far; caller addresses are derived from it.
	flowCount uint32
	result    *Result
}

// task is a function scheduled at a point in virtual time.
type task struct {
	at model.Instant
	// seq orders tasks with the same time in order of creation.
	seq uint64
	run func()
}

// taskQueue implements heap.Interface, ordered by time and sequence number.
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

// The addresses of the two routes to the only service. Requests to streamAddress are idempotent, those to bookingAddress must run at most once.
var (
	streamAddress  = netip.MustParseAddrPort("198.18.0.1:443")
	bookingAddress = netip.MustParseAddrPort("198.18.0.1:444")
)

const serviceID model.ServiceID = "service"

func newSimulation(cfg Config) *simulation {
	return &simulation{
		cfg:               cfg,
		pattern:           cfg.Pattern,
		rng:               rand.New(rand.NewPCG(cfg.Seed, 1)),
		instancesByDomain: map[model.DomainID][]*instance{},
		upstreamsByNumber: map[model.EndpointNumber]*upstream{},
		partitions:        map[model.DomainID]int{},
		result:            newResult(cfg.Pattern),
	}
}

// populate adds the upstreams and instances of every failure domain.
func (s *simulation) populate() {
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
}

// Run simulates the pattern and returns the outcomes of its requests.
func Run(cfg Config) *Result {
	s := newSimulation(cfg)
	s.populate()
	for _, name := range s.pattern.Domains {
		s.startCallers(model.DomainID(name))
	}
	for _, e := range s.pattern.Events {
		s.after(e.At, func() { s.apply(e) })
	}
	// Requests start before the end of the pattern and finish by their deadline; one second is left for the remaining packets.
	end := model.Instant(s.pattern.Duration + s.pattern.Deadline + time.Second)
	for len(s.queue) > 0 {
		next := heap.Pop(&s.queue).(task)
		if next.at > end {
			break
		}
		s.now = next.at
		next.run()
	}
	s.result.summarize(s.upstreams)
	return s.result
}

// after schedules run after a delay of d in virtual time.
func (s *simulation) after(d time.Duration, run func()) {
	s.lastSeq++
	heap.Push(&s.queue, task{at: s.now.Add(d), seq: s.lastSeq, run: run})
}

// loadEnded reports whether callers have stopped starting requests.
func (s *simulation) loadEnded() bool {
	return time.Duration(s.now) >= s.pattern.Duration
}

// connected reports whether packets pass between two failure domains.
func (s *simulation) connected(a, b model.DomainID) bool {
	return a == b || (s.partitions[a] == 0 && s.partitions[b] == 0)
}

// networkDelay returns the one-way delay between an instance in domain a and an upstream in domain b.
func networkDelay(a, b model.DomainID) time.Duration {
	if a == b {
		return sameDomainDelay
	}
	return crossDomainDelay
}

// dropPacket decides at random whether a packet is lost.
func (s *simulation) dropPacket() bool {
	return s.rng.Float64() < lossRate
}

// logNormal returns a log-normally distributed duration with the given mean and a sigma of 0.5, as request times have a long tail.
func (s *simulation) logNormal(mean time.Duration) time.Duration {
	const sigma = 0.5
	return time.Duration(float64(mean) * math.Exp(sigma*s.rng.NormFloat64()-sigma*sigma/2))
}

// randomPause returns an exponentially distributed pause with the given mean, divided by the load factor.
func (s *simulation) randomPause(mean time.Duration) time.Duration {
	return time.Duration(float64(mean) * s.rng.ExpFloat64() / s.bursts.product())
}

// factors holds the factors of the events that are active, in percent.
type factors []int

// product returns the product of the factors, 1 if there are none.
func (f factors) product() float64 {
	product := 1.0
	for _, percent := range f {
		product *= float64(percent) / 100
	}
	return product
}

// remove removes one occurrence of a factor.
func (f *factors) remove(percent int) {
	if n := slices.Index(*f, percent); n >= 0 {
		*f = slices.Delete(*f, n, n+1)
	}
}

// apply starts an event of the pattern and schedules its end.
func (s *simulation) apply(e Event) {
	switch e.Kind {
	case EventCrash:
		for _, u := range s.pickUpstreams(e) {
			u.crash()
		}
	case EventSlow:
		for _, u := range s.pickUpstreams(e) {
			u.slowdowns = append(u.slowdowns, e.Factor)
			s.after(e.Duration, func() { u.slowdowns.remove(e.Factor) })
		}
	case EventPartition:
		s.partitions[model.DomainID(e.Domain)]++
		s.after(e.Duration, func() { s.partitions[model.DomainID(e.Domain)]-- })
	case EventPowerLoss:
		for _, in := range s.instances {
			in.stop()
			in.outages++
			s.after(e.Duration, in.restore)
		}
	case EventBurst:
		s.bursts = append(s.bursts, e.Factor)
		s.after(e.Duration, func() { s.bursts.remove(e.Factor) })
	case EventReplace:
		for i, u := range s.pickUpstreams(e) {
			s.after(time.Duration(i)*replaceInterval, u.replace)
		}
	case EventDomainOut:
		s.domainsOut = append(s.domainsOut, model.DomainID(e.Domain))
		s.registryChanged()
		s.after(e.Duration, func() { s.restoreDomain(model.DomainID(e.Domain)) })
	}
}

// restoreDomain ends one event that took a failure domain out.
func (s *simulation) restoreDomain(d model.DomainID) {
	if n := slices.Index(s.domainsOut, d); n >= 0 {
		s.domainsOut = slices.Delete(slices.Clone(s.domainsOut), n, n+1)
	}
	s.registryChanged()
}

// replaceInterval is the time between the replacements of two upstreams.
const replaceInterval = time.Second

// pickUpstreams returns up to e.Count random upstreams that are up and not draining, in the domain of the event if it has one.
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

// registryChanged schedules a sync of the registry on every instance, each after its own random delay.
func (s *simulation) registryChanged() {
	s.revision++
	for _, in := range s.instances {
		in.scheduleSync()
	}
}

// listing returns the current content of the registry.
func (s *simulation) listing() model.Listing[model.Registration] {
	list := model.Listing[model.Registration]{Revision: s.revision}
	for _, u := range s.upstreams {
		if u.registered {
			list.Items = append(list.Items, u.reg)
		}
	}
	return list
}

// routes returns the route table, which is the same for the whole replay.
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
