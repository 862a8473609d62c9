package admit

import (
	"encoding/binary"
	"math"
	"math/rand/v2"
	"net/netip"
	"time"

	"hawthorncourse/internal/core/model"
)

const (
	simStep     = time.Millisecond
	simSlots    = 2
	simWork     = 24 * time.Millisecond
	simQueue    = 24 // Requests that an upstream queues beyond its slots before it rejects.
	simRetries  = 2
	simCallers  = 400
	simOrdinary = model.Priority(2)
	simUrgent   = model.Priority(1)
)

// simConfig describes a closed-loop simulation of gates and upstreams.
type simConfig struct {
	gates  int
	speeds []float64
	seed   uint64
	// ordinary and urgent are the offered loads of both priorities relative to the capacity at a time, without retries.
	ordinary, urgent func(at time.Duration) float64
	length           time.Duration
	// delay is the age of a report when it arrives; calm and busy are the intervals of reports.
	delay, calm, busy time.Duration
	// answer scales the response time that gates are told; zero means unknown.
	answer float64
	// speed scales the speed of all upstreams at a time; nil means that it does not change.
	speed func(at time.Duration) float64
}

// simUpstream is an upstream with simSlots slots and a queue.
type simUpstream struct {
	speed float64
	// ends holds the ends of the requests in progress in order of arrival.
	ends []model.Instant
}

// simSecond sums up one second.
type simSecond struct {
	busy, load       float64
	offered, refused [3]int
	admitted         [3]int
	waited           int
	rejected         int
	// minRate and maxRate are the extremes of the sum of the rates of all limited gates.
	minRate, maxRate float64
	limited          int
}

// simCall is a flow that a caller wants to open.
type simCall struct {
	priority model.Priority
	tries    int
}

type sim struct {
	cfg       simConfig
	rnd       *rand.Rand
	gates     []*Gate
	upstreams []*simUpstream
	capacity  float64
	now       model.Instant
	seconds   []simSecond
	calls     map[model.FlowKey]simCall
	retries   []simCall
	reports   []simReport
	next      model.Instant
	answer    float64
	keys      uint32
	// lastRefusal is the time of the last refusal by a gate.
	lastRefusal model.Instant
}

type simReport struct {
	due  model.Instant
	room Room
}

func newSim(cfg simConfig) *sim {
	s := &sim{cfg: cfg, rnd: rand.New(rand.NewPCG(cfg.seed, 1)), calls: make(map[model.FlowKey]simCall), lastRefusal: -1}
	for range cfg.gates {
		s.gates = append(s.gates, New(Config{Reserve: 0.1, QueueLimit: 256}))
	}
	for i := range 40 {
		speed := cfg.speeds[i%len(cfg.speeds)]
		s.upstreams = append(s.upstreams, &simUpstream{speed: speed})
		s.capacity += speed * simSlots / simWork.Seconds()
	}
	s.answer = simWork.Seconds()
	return s
}

func (s *sim) run() []simSecond {
	for ; s.now < model.Instant(s.cfg.length); s.now = s.now.Add(simStep) {
		if s.now%model.Instant(time.Second) == 0 {
			s.seconds = append(s.seconds, simSecond{minRate: math.Inf(1)})
		}
		s.finish()
		s.report()
		retries := s.retries
		s.retries = nil
		for _, call := range retries {
			s.offer(call)
		}
		at := time.Duration(s.now)
		s.arrive(simOrdinary, s.cfg.ordinary(at))
		s.arrive(simUrgent, s.cfg.urgent(at))
		for _, g := range s.gates {
			s.drain(g)
		}
		s.measure()
	}
	return s.seconds
}

func (s *sim) second() *simSecond { return &s.seconds[len(s.seconds)-1] }

// finish removes the requests that have ended.
func (s *sim) finish() {
	for _, u := range s.upstreams {
		for len(u.ends) > 0 && u.ends[0] <= s.now {
			u.ends = u.ends[1:]
		}
	}
}

// report samples the work of the upstreams and delivers earlier samples to the gates.
func (s *sim) report() {
	if s.now >= s.next {
		room := Room{Slots: simSlots * len(s.upstreams), Known: true, Answer: time.Duration(s.answer * s.cfg.answer * float64(time.Second))}
		for _, u := range s.upstreams {
			room.Work += float64(len(u.ends))
		}
		s.reports = append(s.reports, simReport{due: s.now.Add(s.cfg.delay), room: room})
		interval := s.cfg.calm
		if room.Work > float64(room.Slots) {
			interval = s.cfg.busy
		}
		s.next = s.now.Add(interval)
	}
	for len(s.reports) > 0 && s.reports[0].due <= s.now {
		for _, g := range s.gates {
			g.Update(s.now, s.reports[0].room)
		}
		s.reports = s.reports[1:]
	}
}

// arrive offers Poisson arrivals of one step.
func (s *sim) arrive(p model.Priority, load float64) {
	limit, product := math.Exp(-load*s.capacity*simStep.Seconds()), s.rnd.Float64()
	for product > limit {
		s.offer(simCall{priority: p})
		product *= s.rnd.Float64()
	}
}

// offer offers a flow to a gate.
func (s *sim) offer(call simCall) {
	s.keys++
	var caller [4]byte
	binary.BigEndian.PutUint32(caller[:], 10<<24+uint32(s.rnd.IntN(simCallers)))
	addr := netip.AddrFrom4(caller)
	r := Request{Key: model.FlowKey{Caller: netip.AddrPortFrom(addr, uint16(s.keys)), Service: netip.AddrPortFrom(addr, uint16(s.keys>>16))},
		Caller: addr, Priority: call.priority, Arrived: s.now}
	if call.tries == 0 {
		s.second().offered[call.priority]++
	}
	g := s.gates[s.rnd.IntN(len(s.gates))]
	switch g.Offer(s.now, r) {
	case VerdictAdmit:
		s.place(call)
	case VerdictWait:
		s.second().waited++
		s.calls[r.Key] = call
	case VerdictRefuse:
		s.fail(call, true)
	}
}

// drain applies the verdicts on waiting requests.
func (s *sim) drain(g *Gate) {
	for at, ok := g.NextAt(); ok && at <= s.now; at, ok = g.NextAt() {
		r, v, ok := g.Next(s.now)
		if !ok {
			return
		}
		call := s.calls[r.Key]
		delete(s.calls, r.Key)
		if v == VerdictAdmit {
			s.place(call)
		} else {
			s.fail(call, true)
		}
	}
}

// fail lets the caller retry.
func (s *sim) fail(call simCall, refused bool) {
	if refused {
		s.lastRefusal = s.now
	}
	if call.tries < simRetries {
		s.retries = append(s.retries, simCall{priority: call.priority, tries: call.tries + 1})
		return
	}
	s.second().refused[call.priority]++
}

// place sends a flow to the better of two upstreams; how well placement does is not what these tests are about.
func (s *sim) place(call simCall) {
	best := s.upstreams[s.rnd.IntN(len(s.upstreams))]
	if u := s.upstreams[s.rnd.IntN(len(s.upstreams))]; float64(1+len(u.ends))/u.speed < float64(1+len(best.ends))/best.speed {
		best = u
	}
	if len(best.ends) >= simSlots+simQueue {
		s.second().rejected++
		s.fail(call, false)
		return
	}
	work := time.Duration((0.5 + s.rnd.Float64()) * float64(simWork) / best.speed)
	if s.cfg.speed != nil {
		work = time.Duration(float64(work) / s.cfg.speed(time.Duration(s.now)))
	}
	start := s.now
	if n := len(best.ends); n >= simSlots {
		start = best.ends[n-simSlots]
	}
	end := start.Add(work)
	i := len(best.ends)
	best.ends = append(best.ends, end)
	for ; i > 0 && best.ends[i-1] > end; i-- {
		best.ends[i], best.ends[i-1] = best.ends[i-1], best.ends[i]
	}
	s.second().admitted[call.priority]++
	s.answer += (end.Sub(s.now).Seconds() - s.answer) / s.capacity
}

// measure adds the state of one step to the second.
func (s *sim) measure() {
	m, steps := s.second(), float64(time.Second/simStep)
	for _, u := range s.upstreams {
		m.busy += float64(min(len(u.ends), simSlots)) / simSlots / float64(len(s.upstreams)) / steps
		m.load += float64(len(u.ends)) / simSlots / float64(len(s.upstreams)) / steps
	}
	if s.now%model.Instant(50*time.Millisecond) != 0 {
		return
	}
	rate, limited := 0.0, 0
	for _, g := range s.gates {
		if state := g.State(); state.Limited {
			limited++
			rate += state.Rate
		}
	}
	m.limited = max(m.limited, limited)
	if limited == len(s.gates) {
		m.minRate, m.maxRate = min(m.minRate, rate), max(m.maxRate, rate)
	}
}
