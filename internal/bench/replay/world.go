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
	toCaller  = 3 * time.Millisecond
	inDomain  = 100 * time.Microsecond
	across    = 900 * time.Microsecond
	lossShare = 0.0002
)

// Config is what a replay is built from.
type Config struct {
	// Pattern is the load.
	Pattern *Pattern
	// Seed feeds every random choice.
	Seed uint64
	// Policy picks upstreams; nil for the product's own policy.
	Policy choose.Policy[place.Candidate[*roster.Upstream]]
	// Without names decisions that are replaced by their simpler alternative.
	Without direct.Disabled
}

// world is one replay.
type world struct {
	cfg     Config
	p       *Pattern
	rng     *rand.Rand
	now     model.Instant
	queue   eventQueue
	order   uint64
	domains map[model.DomainID][]*instance
	// instances holds all, in order.
	instances []*instance
	upstreams []*upstream
	numbers   map[model.EndpointNumber]*upstream
	// cut holds the failure domains that are cut off.
	cut map[model.DomainID]bool
	// out holds the failure domains that operators have taken out.
	out      []model.DomainID
	revision model.Revision
	load     float64
	callers  uint32
	result   *Result
}

// event is one thing that is due.
type event struct {
	at    model.Instant
	order uint64
	do    func()
}

type eventQueue []event

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || (q[i].at == q[j].at && q[i].order < q[j].order)
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)   { *q = append(*q, x.(event)) }
func (q *eventQueue) Pop() any {
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
	w := &world{
		cfg:     cfg,
		p:       cfg.Pattern,
		rng:     rand.New(rand.NewPCG(cfg.Seed, 1)),
		domains: map[model.DomainID][]*instance{},
		numbers: map[model.EndpointNumber]*upstream{},
		cut:     map[model.DomainID]bool{},
		load:    1,
		result:  newResult(cfg.Pattern),
	}
	for _, name := range w.p.Domains {
		d := model.DomainID(name)
		for range w.p.Upstreams {
			w.addUpstream(d, 0)
		}
		for n := range w.p.Instances {
			in := newInstance(w, d, n)
			w.instances = append(w.instances, in)
			w.domains[d] = append(w.domains[d], in)
		}
	}
	for _, name := range w.p.Domains {
		w.addUsers(model.DomainID(name))
	}
	for _, e := range w.p.Events {
		w.after(e.At, func() { w.begin(e) })
	}
	// Every request is answered or given up by its deadline.
	end := model.Instant(w.p.Length + w.p.Deadline + time.Second)
	for len(w.queue) > 0 {
		e := heap.Pop(&w.queue).(event)
		if e.at > end {
			break
		}
		w.now = e.at
		e.do()
	}
	w.result.finish(w.upstreams)
	return w.result
}

// after lets something happen later.
func (w *world) after(d time.Duration, do func()) {
	w.order++
	heap.Push(&w.queue, event{at: w.now.Add(d), order: w.order, do: do})
}

// over reports whether callers ask no more.
func (w *world) over() bool {
	return time.Duration(w.now) >= w.p.Length
}

// reaches reports whether two failure domains hear each other.
func (w *world) reaches(a, b model.DomainID) bool {
	return a == b || (!w.cut[a] && !w.cut[b])
}

// delay returns the time between an instance and an upstream.
func delay(a, b model.DomainID) time.Duration {
	if a == b {
		return inDomain
	}
	return across
}

// lost reports whether one packet is lost.
func (w *world) lost() bool {
	return w.rng.Float64() < lossShare
}

// spread returns a time around the mean that is sometimes much longer: lognormal with a sigma of a half.
func (w *world) spread(mean time.Duration) time.Duration {
	const sigma = 0.5
	return time.Duration(float64(mean) * math.Exp(sigma*w.rng.NormFloat64()-sigma*sigma/2))
}

// pause returns a random pause with the mean.
func (w *world) pause(mean time.Duration) time.Duration {
	return time.Duration(float64(mean) * w.rng.ExpFloat64() / w.load)
}

// begin lets an event of the pattern take place.
func (w *world) begin(e Event) {
	switch e.Kind {
	case EventDie:
		for _, u := range w.pick(e) {
			u.die()
		}
	case EventSlow:
		for _, u := range w.pick(e) {
			speed := u.speed
			u.speed *= float64(e.Factor) / 100
			w.after(e.For, func() { u.speed = speed })
		}
	case EventCut:
		w.cut[model.DomainID(e.Domain)] = true
		w.after(e.For, func() { delete(w.cut, model.DomainID(e.Domain)) })
	case EventPower:
		for _, in := range w.instances {
			in.stop()
			w.after(e.For, in.start)
		}
	case EventBurst:
		w.load = float64(e.Factor) / 100
		w.after(e.For, func() { w.load = 1 })
	case EventReplace:
		for i, u := range w.pick(e) {
			w.after(time.Duration(i)*replaceGap, u.replace)
		}
	case EventOut:
		w.out = []model.DomainID{model.DomainID(e.Domain)}
		w.changed()
		w.after(e.For, func() { w.out = nil; w.changed() })
	}
}

const replaceGap = time.Second

// pick returns the upstreams that an event concerns.
func (w *world) pick(e Event) []*upstream {
	var pool []*upstream
	for _, u := range w.upstreams {
		if !u.dead && !u.draining && (e.Domain == "" || u.reg.Domain == model.DomainID(e.Domain)) {
			pool = append(pool, u)
		}
	}
	w.rng.Shuffle(len(pool), func(i, j int) { pool[i], pool[j] = pool[j], pool[i] })
	return pool[:min(e.Count, len(pool))]
}

// changed tells every instance of the registry as it is now, each a little later; a cut-off domain hears nothing.
func (w *world) changed() {
	w.revision++
	for _, in := range w.instances {
		in.hear()
	}
}

// listing returns the registry as it is now.
func (w *world) listing() model.Listing[model.Registration] {
	list := model.Listing[model.Registration]{Revision: w.revision}
	for _, u := range w.upstreams {
		if u.listed {
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
