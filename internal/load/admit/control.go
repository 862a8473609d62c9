package admit

import (
	"math"
	"time"

	"hawthorncourse/internal/core/model"
)

const (
	// fullLoad is the load, in requests per slot, at which a service is full: one runs and one waits. More adds delay, but no throughput.
	fullLoad = 2.0
	// maxFullLoad is the highest load at which a service is full. Flows are placed by what one instance sees, so at a load of 2 some slots are idle while
	// requests wait at others; where the target permits, a second waiting request keeps them in use.
	maxFullLoad = 3.0
	// queueShare is the divisor of the target that gives the time in the queues of upstreams.
	queueShare = 4
	// minFactor and maxFactor bound the change of the rate at one update; the page on overload names them.
	minFactor, maxFactor = 0.6, 1.5
	// floorShare is the share of the estimated capacity at the beginning of a limit below which the rate does not fall; the page on overload names a
	// tenth.
	floorShare = 0.1
	// minRate is the lowest rate, in flows per second, of a gate that admitted nothing before its limit began.
	minRate = 0.5
	// drainWindow is the time, in nanoseconds, in which the rate aims to remove the difference to the full load: a little over two updates of 250 ms, as the
	// effect of one update is in the report after the next one. In simulation, 500 ms overshoots if response times contain long round trips, and 620 ms
	// leaves a load above 3 in the third second of a burst.
	drainWindow = 560 * time.Millisecond
	// drainUpdates is the same limit in updates, for reports that come more rarely than every 250 ms.
	drainUpdates = 2
	// reportAge is the assumed age, in nanoseconds, of a report when it arrives; the present factor has acted since. Reports of upstreams are collected
	// over an interval of 250 ms and passed on at once, so half of that has passed; in simulation, 200 ms slows the drain.
	reportAge = 100 * time.Millisecond
	// learnWindow is the time constant, in nanoseconds, of the estimate of the capacity while the load is near full. It is several times the drain
	// window, so that the two loops do not act on the same deviation, and within the 3 s in which changes are to be followed. In simulation, 700 ms
	// oscillates with reports that are 250 ms late.
	learnWindow = 2 * time.Second
	// recoverWindow replaces learnWindow while slots are idle: the load is then the share of slots in use, and shows directly what is missing. In
	// simulation, 400 ms overshoots the full load with reports that are 250 ms late.
	recoverWindow = 700 * time.Millisecond
	// farLoad is the multiple of the full load above which the estimate of the capacity follows at once if the load does not fall as expected:
	// upstreams that reject hide how far the rate is above the capacity.
	farLoad = 2.0
	// calmLow and calmHigh bound the load, in requests per slot, from which the capacity is estimated without a limit: below, too few requests are
	// counted; above, requests wait, and the load is no longer the share of slots in use.
	calmLow, calmHigh = 0.05, 1.0
	// calmWindow is the time constant, in nanoseconds, of that estimate: at 20 flows a second it averages 100 flows, a standard error of a tenth.
	calmWindow = 5 * time.Second
	// serviceWindow is the time constant, in nanoseconds, of the estimated service time. It is longer than the transients in which the mean response
	// time lags behind the load.
	serviceWindow = 5 * time.Second
	// defaultService is the assumed service time, in nanoseconds, while no response time is known. A value below the true one slows the control loop, and
	// three times the true one is the most that is stable in simulation: 15 ms covers service times from 5 ms.
	defaultService = 15 * time.Millisecond
	// minOccupancy bounds the estimated flow relative to the capacity, which is divided by.
	minOccupancy = 0.1
	// headroom is the multiple of the offered rate up to which the base may grow, so that an unneeded limit neither binds in a chance cluster of
	// requests nor grows without bound. In simulation, 1.5 left refusals 4 s after a burst at gates with 19 requests a second.
	headroom = 2.0
	// defaultInterval is the assumed time, in nanoseconds, before the first update: the interval between reports of a service that is not full.
	defaultInterval = time.Second
	// liftAfter is the time, in nanoseconds, for which the rate must exceed the offered rate before the limit is lifted; named by the page on overload.
	liftAfter = 2 * time.Second
	// minInterval is the shortest time, in nanoseconds, between two updates that are treated as separate sets of reports: a fifth of the shortest interval
	// between reports. The flows admitted in a shorter one are too few for a rate.
	minInterval = 50 * time.Millisecond
	// maxAge is the age, in nanoseconds, of the last update after which the room is unknown; reports older than 3 s are unknown to the gauges too.
	maxAge = 3 * time.Second
)

// Room is the state of the usable upstreams of a service, as reported.
type Room struct {
	// Slots is the number of slots of all upstreams.
	Slots int
	// Work is the number of requests in progress, running or queued, at all upstreams.
	Work float64
	// Answer is the mean response time of the service, including the time in the queues of upstreams; zero if unknown.
	Answer time.Duration
	// Known is false if the other fields are not known.
	Known bool
}

// valid reports whether a load can be derived from the room.
func (r Room) valid() bool {
	return r.Known && r.Slots > 0 && r.Work >= 0 && !math.IsInf(r.Work, 0)
}

// control computes the rate of a gate from the reported load.
//
// Multiplying the rate by full load / load at each update oscillates: the load is the integral of the excess rate, and the rate would be the integral
// of the load, which together have no damping. The rate is therefore the product of two parts.
// The base estimates this gate's part of the capacity: the rate since the last update divided by the flow that the reports show relative to the
// capacity, which is the share of slots in use plus the growth of the queues. The factor, within minFactor and maxFactor, removes the remaining
// difference to the full load within the drain window. All gates see the same loads and compute the same factors, so the loop over all gates
// behaves like that of one gate, and the parts of the gates keep their proportions.
//
// A limit starts at the capacity observed while requests did not queue (calm), if that is less than the rate admitted so far: callers that upstreams
// reject retry at once, so that the rate admitted before the first report of a full service can be ten times the capacity.
type control struct {
	// known is false before the first report and while there is none.
	known   bool
	limited bool
	// at is the time of the last update.
	at   model.Instant
	room Room
	// load is in requests per slot.
	load float64
	// full is the load at which the service is full.
	full float64
	// base is the estimated part of the capacity, in flows per second; factor applies to it until the next update.
	base, factor float64
	// lastFactor is the factor before factor; reports reflect both.
	lastFactor float64
	// floor is the lowest base: floorShare of the base with which the limit began if the capacity was known then, else of the base at which the load
	// first returned to full. A tenth of the rate admitted before the limit may exceed the capacity: callers that retry at once offer ten times as much.
	floor float64
	// settled is whether the floor has been derived from the capacity.
	settled bool
	// perSlot is the capacity of this gate's part in flows per second and slot, as observed without a limit; zero if unknown.
	perSlot float64
	// pending is a sample of perSlot that the next report may confirm; zero if there is none.
	pending float64
	// service is the estimated service time, zero if unknown.
	service time.Duration
	// exceeding is whether the rate has exceeded the offered rate, with the service not full, since the instant since.
	exceeding bool
	since     model.Instant
}

// rate returns the admission rate in flows per second.
func (c *control) rate() float64 {
	return max(c.base*c.factor, c.floor)
}

// missingRate returns by how much, in flows per second, the rate has fallen below minFactor of what the slots of this gate's part took while requests did
// not queue, less the reserve; the control loop itself varies the rate within that factor. It is lower in proportion while the load is above full.
func (c *control) missingRate(reserve float64) float64 {
	capacity := c.perSlot * float64(c.room.Slots) * (1 - reserve) * c.full / max(c.load, c.full)
	return max(minFactor*capacity-c.rate(), 0)
}

// sample is what a gate observed between two updates.
type sample struct {
	// admitted and offered are in flows per second.
	admitted, offered float64
	// overdrawn is the rate admitted by overdrawing the bucket, negative while that is paid back.
	overdrawn float64
	// target is the smallest target latency offered; zero if none is known.
	target time.Duration
}

// update applies one set of reports.
func (c *control) update(now model.Instant, room Room, s sample) {
	load := room.Work / float64(room.Slots)
	interval := defaultInterval
	before, had := *c, c.known
	if had {
		interval = now.Sub(c.at)
	}
	c.known, c.at, c.room, c.load = true, now, room, load
	c.observeAnswer(room.Answer, interval)
	c.full = fullLoadFor(s.target, c.service)
	occupancy := min(1, load)
	if had {
		occupancy += (load - before.load) * c.serviceTime().Seconds() / interval.Seconds()
	}
	switch {
	case c.limited:
		change := float64(room.Slots) / float64(before.room.Slots)
		c.base, c.floor = c.base*change, max(c.floor*change, minRate*floorShare)
		c.adjust(occupancy, interval, s)
	case load >= c.full:
		c.begin(occupancy, s.admitted)
	default:
		c.learnCalm(s.admitted, interval)
	}
	if c.limited {
		c.lastFactor, c.factor = c.factor, c.drain(interval)
		c.lift(now, s.offered)
	}
}

// begin starts a limit.
func (c *control) begin(occupancy, admitted float64) {
	c.limited, c.exceeding, c.pending = true, false, 0
	c.base = max(admitted/max(1, occupancy), minRate)
	c.floor, c.factor, c.settled = minRate*floorShare, 1, false
	if c.perSlot > 0 {
		c.base = max(min(c.base, c.perSlot*float64(c.room.Slots)), minRate)
		c.floor, c.settled = c.base*floorShare, true
	}
}

// adjust corrects the base by the flow that the reports show.
func (c *control) adjust(occupancy float64, interval time.Duration, s sample) {
	expected := (c.factor+c.lastFactor)/2 + s.overdrawn/c.base
	ratio := min(max(expected/max(occupancy, minOccupancy), minFactor), maxFactor)
	window := learnWindow
	if c.load < calmHigh && ratio > 1 {
		window = recoverWindow
	}
	weight := 1 - math.Exp(-interval.Seconds()/window.Seconds())
	if c.load > farLoad*c.full && ratio < 1 {
		weight = 1
	}
	c.base = max(min(c.base*math.Pow(ratio, weight), max(c.base, headroom*s.offered)), c.floor)
	if c.load <= c.full && !c.settled {
		c.floor, c.settled = c.base*floorShare, true
	}
}

// drain returns the factor that brings the load to the full load within the drain window.
func (c *control) drain(interval time.Duration) float64 {
	window := max(drainWindow, drainUpdates*interval)
	excess := (c.load-c.full)*c.serviceTime().Seconds() + (c.factor-1)*reportAge.Seconds()
	factor := 1 - excess/window.Seconds()
	return min(max(factor, minFactor), maxFactor)
}

// lift ends the limit if it has not been needed for liftAfter.
func (c *control) lift(now model.Instant, offered float64) {
	exceeding := c.load < c.full && c.rate() > offered
	if exceeding && !c.exceeding {
		c.since = now
	}
	c.exceeding = exceeding
	if exceeding && now.Sub(c.since) >= liftAfter {
		c.limited = false
	}
}

// learnCalm records the rate admitted for each request in progress; without queues, it is the capacity of a slot. A sample counts once the next
// report shows that the load was still low: the rate includes the first flows of a burst before the load does.
func (c *control) learnCalm(admitted float64, interval time.Duration) {
	pending := c.pending
	c.pending = 0
	if c.load < calmLow || c.load > calmHigh {
		return
	}
	c.pending = admitted / c.room.Work
	switch {
	case pending == 0:
	case c.perSlot == 0:
		c.perSlot = pending
	default:
		c.perSlot += (pending - c.perSlot) * (1 - math.Exp(-interval.Seconds()/calmWindow.Seconds()))
	}
}

// observeAnswer estimates the service time: a response at load n takes about n service times.
func (c *control) observeAnswer(answer, interval time.Duration) {
	if answer <= 0 {
		return
	}
	service := float64(answer) / max(1, c.load)
	if c.service > 0 {
		service = float64(c.service) + (service-float64(c.service))*(1-math.Exp(-interval.Seconds()/serviceWindow.Seconds()))
	}
	c.service = max(1, time.Duration(service))
}

// serviceTime returns the estimated or the assumed service time.
func (c *control) serviceTime() time.Duration {
	if c.service > 0 {
		return c.service
	}
	return defaultService
}

// fullLoadFor returns the load at which a service is full: one request running for each slot, and as many waiting as a quarter of the target allows, at most
// two. The rest of the target is for the wait at the gate and the response. Without a target or a response time, one waits.
func fullLoadFor(target, service time.Duration) float64 {
	if target <= 0 || service <= 0 {
		return fullLoad
	}
	return min(maxFullLoad, 1+float64(target/queueShare)/float64(service))
}
