// Package admit decides which new flows of a service are admitted, wait or are refused while the upstreams of the service are full.
//
// It implements part 5 of the page on overload. Each instance has a Gate for each of its services; gates do not communicate, but see the same
// reports of the upstreams' load. The package has no I/O, clock or random source; a Gate is used from a single goroutine.
package admit

import (
	"math"
	"slices"
	"time"

	"hawthorncourse/internal/core/model"
)

const (
	// presentWindow is the time, in nanoseconds, for which a priority counts as offered after its last request. It is longer than the time between two
	// requests of a priority that is offered at one flow a second.
	presentWindow = 2 * time.Second
	// targetWindow is the time, in nanoseconds, for which the smallest target latency is remembered after its last request.
	targetWindow = 10 * time.Second
	// never is an instant before all others.
	never = model.Instant(math.MinInt64 / 2)
)

// Config configures a Gate.
type Config struct {
	// Reserve is the share of the rate that the lowest priority keeps, 0 to 1.
	Reserve float64
	// QueueLimit is the greatest number of waiting requests; zero or less means that none waits.
	QueueLimit int
}

// Gate decides on the new flows of one service. Use New.
type Gate struct {
	config  Config
	control control
	bucket  bucket
	// upper is spent on priorities above the lowest when bucket is empty. It accrues what the rate lacks of the capacity that the slots had while requests
	// did not queue: if the rate has fallen far below it, requests on open flows fill the upstreams, and those are not limited.
	upper bucket
	line  line
	// displaced holds requests that lost their place in the queue to others; Next refuses them. At most QueueLimit.
	displaced []Request
	callers   callers

	offered meter
	// admittedSince is the number of flows admitted since the last update.
	admittedSince int
	// debt is the number of tokens by which the bucket was overdrawn at the last update.
	debt float64
	// admitted measures the admissions of each priority while limited, in order to predict waits.
	admitted [priorities]meter
	// lastOffered is the last request of each priority.
	lastOffered [priorities]model.Instant
	// target is the smallest target latency offered, last at targetAt; zero if none.
	target   time.Duration
	targetAt model.Instant
	counts   Counts
	// now is the latest instant that was passed in.
	now model.Instant
}

// New returns a gate that admits everything until it learns that the service is full.
func New(config Config) *Gate {
	config.Reserve = min(max(config.Reserve, 0), 1)
	g := &Gate{config: config, line: newLine(), bucket: bucket{share: config.Reserve}}
	for class := range g.lastOffered {
		g.lastOffered[class] = never
	}
	return g
}

// Update applies a new set of reports. Call Next afterwards: requests may have become due.
func (g *Gate) Update(now model.Instant, room Room) {
	g.advance(now)
	g.bucket.refill(now)
	if !room.valid() {
		g.open()
		return
	}
	interval := now.Sub(g.control.at)
	if g.control.known && interval < minInterval {
		return
	}
	s := sample{offered: g.offered.rate(now), target: g.target}
	if g.control.known {
		s.admitted = float64(g.admittedSince) / interval.Seconds()
		s.overdrawn = (g.bucket.debt() - g.debt) / interval.Seconds()
	} else {
		s.admitted = s.offered
	}
	if now.Sub(g.targetAt) > targetWindow {
		s.target = 0
	}
	g.admittedSince, g.debt = 0, g.bucket.debt()
	limited := g.control.limited
	g.control.update(now, room, s)
	switch {
	case g.control.limited && !limited:
		g.debt, g.bucket = 0, bucket{rate: g.control.rate(), share: g.config.Reserve, at: now}
		g.upper = bucket{rate: g.control.missingRate(g.config.Reserve), at: now}
		g.bucket.extra = g.upper.rate
	case g.control.limited:
		g.upper.refill(now)
		g.bucket.rate, g.upper.rate = g.control.rate(), g.control.missingRate(g.config.Reserve)
		g.bucket.extra = g.upper.rate
	default:
		g.callers.clear()
	}
}

// advance records the time and lifts the limit if the last update is too old.
func (g *Gate) advance(now model.Instant) {
	g.now = max(g.now, now)
	if g.control.known && now.Sub(g.control.at) > maxAge {
		g.open()
	}
}

// open makes the gate admit everything until the service is known to be full; what was learned about its capacity is kept.
func (g *Gate) open() {
	g.control.known, g.control.limited = false, false
	g.callers.clear()
}

// Offer decides on a new flow. A request whose key waits already still waits. If the verdict is VerdictWait, Next returns the request later unless it
// is cancelled. It does not allocate unless the gate is limited.
func (g *Gate) Offer(now model.Instant, r Request) Verdict {
	g.advance(now)
	if g.waits(r.Key) {
		return VerdictWait
	}
	g.offered.add(now)
	class := r.class()
	g.lastOffered[class] = now
	if r.Target > 0 && (r.Target <= g.target || g.target == 0 || now.Sub(g.targetAt) > targetWindow) {
		g.target, g.targetAt = r.Target, now
	}
	if !g.control.limited {
		g.admittedSince++
		g.counts.Admitted++
		return VerdictAdmit
	}
	return g.offerLimited(now, &r, class)
}

// waits reports whether a request with the key has no final verdict yet.
func (g *Gate) waits(key model.FlowKey) bool {
	if _, waits := g.line.byKey[key]; waits {
		return true
	}
	return slices.ContainsFunc(g.displaced, func(r Request) bool { return r.Key == key })
}

// offerLimited decides on a new flow while the gate is limited.
func (g *Gate) offerLimited(now model.Instant, r *Request, class int) Verdict {
	g.bucket.refill(now)
	e, before := g.line.prepare(r, g.callers.recent(now, r.Caller))
	lowest := g.lowest(now)
	switch {
	case e.deadline < now:
		g.counts.RefusedLate++
		return VerdictRefuse
	case before == 0 && g.spendMain(now, class, lowest):
		g.admit(now, r, class)
		return VerdictAdmit
	case class == lowest && before == g.line.start(class) && g.spendReserve():
		g.admit(now, r, class)
		return VerdictAdmit
	case now.Add(g.expectedWait(now, class, before, lowest)) > e.deadline:
		g.counts.RefusedLate++
		return VerdictRefuse
	case !g.makeRoom(before):
		g.counts.RefusedFull++
		return VerdictRefuse
	}
	g.counts.Waited++
	waiting := e
	g.line.insert(&waiting, before)
	return VerdictWait
}

// makeRoom reports whether a request that would have the given number of requests before it may wait. If the queue is full, its last request is
// displaced, unless the new one would be the last.
func (g *Gate) makeRoom(before int) bool {
	n := len(g.line.order)
	if n < g.config.QueueLimit {
		return true
	}
	if before >= n || len(g.displaced) >= g.config.QueueLimit {
		return false
	}
	last := g.line.order[n-1]
	g.line.remove(last)
	g.displaced = append(g.displaced, last.request)
	return true
}

// expectedWait estimates the time until a request with the given number of requests before it is admitted.
func (g *Gate) expectedWait(now model.Instant, class, before, lowest int) time.Duration {
	higher := 0.0
	for c := range class {
		higher += g.admitted[c].rate(now)
	}
	rate, tokens := g.bucket.rate-higher, g.bucket.main
	if class < lowest {
		rate += g.upper.rate - g.bucket.rate*g.bucket.share
		tokens += g.overdraft(now, lowest) + g.upper.main
	} else {
		rate = max(rate, g.bucket.rate*g.bucket.share)
	}
	missing := float64(before+1) - max(tokens, 0)
	if rate <= 0 {
		return forever
	}
	return seconds(missing / rate)
}

// lowest returns the lowest priority that waits or has been offered of late.
func (g *Gate) lowest(now model.Instant) int {
	waiting := 0
	if n := len(g.line.order); n > 0 {
		waiting = g.line.order[n-1].class
	}
	for class := priorities - 1; class > waiting; class-- {
		if now.Sub(g.lastOffered[class]) <= presentWindow {
			return class
		}
	}
	return waiting
}

// spendMain takes a token from the main part of the bucket, overdrawing it for a priority above the lowest.
func (g *Gate) spendMain(now model.Instant, class, lowest int) bool {
	if g.bucket.main >= g.needed(now, class, lowest)-tokenSlack {
		g.bucket.main--
		return true
	}
	if class >= lowest {
		return false
	}
	g.upper.refill(now)
	if g.upper.main < 1-tokenSlack {
		return false
	}
	g.upper.main--
	return true
}

// needed returns the tokens that the main part must hold for a request to be admitted from it.
func (g *Gate) needed(now model.Instant, class, lowest int) float64 {
	if class < lowest {
		return 1 - g.overdraft(now, lowest)
	}
	return 1
}

// overdraft returns the number of tokens by which higher priorities may overdraw the bucket: overdraftWindow of what the lowest priority has been
// getting outside the reserve. The lowest priority pays the overdraft back, and cannot pay more: an overdraft of the whole rate would add ten
// requests to each slot when the higher priorities alone exceed the capacity.
func (g *Gate) overdraft(now model.Instant, lowest int) float64 {
	spare := min(g.admitted[lowest].rate(now), g.bucket.rate) - g.bucket.rate*g.bucket.share
	return max(1, spare*overdraftWindow.Seconds())
}

// spendReserve takes a token from the reserve.
func (g *Gate) spendReserve() bool {
	if g.bucket.reserve < 1-tokenSlack {
		return false
	}
	g.bucket.reserve--
	g.counts.AdmittedReserve++
	return true
}

// admit records an admission while the gate is limited.
func (g *Gate) admit(now model.Instant, r *Request, class int) {
	g.admittedSince++
	g.counts.Admitted++
	g.admitted[class].add(now)
	g.callers.admitted(now, r.Caller)
}

// Next returns the next waiting request whose final verdict is known; ok is false if there is none. Call it until then.
func (g *Gate) Next(now model.Instant) (r Request, v Verdict, ok bool) {
	g.advance(now)
	if n := len(g.displaced); n > 0 {
		r = g.displaced[n-1]
		g.displaced = g.displaced[:n-1]
		g.counts.RefusedFull++
		return r, VerdictRefuse, true
	}
	if len(g.line.order) == 0 {
		return Request{}, 0, false
	}
	if !g.control.limited {
		e := g.line.order[0]
		g.line.remove(e)
		g.admittedSince++
		g.counts.Admitted++
		return e.request, VerdictAdmit, true
	}
	g.bucket.refill(now)
	earliest := g.line.expiries[0]
	if earliest.deadline >= now {
		if e := g.due(now); e != nil {
			g.line.remove(e)
			g.admit(now, &e.request, e.class)
			return e.request, VerdictAdmit, true
		}
	}
	if earliest.deadline <= now {
		g.counts.RefusedExpired++
		g.line.remove(earliest)
		return earliest.request, VerdictRefuse, true
	}
	return Request{}, 0, false
}

// due takes the tokens for the waiting request that is admitted next; it returns nil if none is due.
func (g *Gate) due(now model.Instant) *entry {
	lowest := g.lowest(now)
	if head := g.line.order[0]; g.spendMain(now, head.class, lowest) {
		return head
	}
	if i := g.line.start(lowest); i < len(g.line.order) && g.spendReserve() {
		return g.line.order[i]
	}
	return nil
}

// NextAt returns when to call Next if nothing else is called before; ok is false if nothing waits. The instant is in the past if Next has something
// to return already.
func (g *Gate) NextAt() (at model.Instant, ok bool) {
	if len(g.displaced) > 0 {
		return g.now, true
	}
	if len(g.line.order) == 0 {
		return 0, false
	}
	if !g.control.limited {
		return g.now, true
	}
	lowest := g.lowest(g.now)
	at = min(g.line.expiries[0].deadline, g.control.at.Add(maxAge+1),
		g.headAt(lowest))
	if g.line.start(lowest) < len(g.line.order) {
		at = min(at, g.bucket.at.Add(g.bucket.reserveIn()))
	}
	return at, true
}

// headAt returns when there is a token for the first waiting request.
func (g *Gate) headAt(lowest int) model.Instant {
	class := g.line.order[0].class
	at := g.bucket.at.Add(g.bucket.mainIn(g.needed(g.now, class, lowest)))
	if class < lowest && g.upper.rate > 0 {
		at = min(at, g.upper.at.Add(g.upper.mainIn(1)))
	}
	return at
}

// Cancel removes a waiting request whose caller gave up; Next does not return it. It reports whether the request waited.
func (g *Gate) Cancel(key model.FlowKey) bool {
	if e, waits := g.line.byKey[key]; waits {
		g.line.remove(e)
		g.counts.Cancelled++
		return true
	}
	for i := range g.displaced {
		if g.displaced[i].Key == key {
			g.displaced = slices.Delete(g.displaced, i, i+1)
			g.counts.Cancelled++
			return true
		}
	}
	return false
}
