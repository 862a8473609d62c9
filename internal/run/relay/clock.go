package relay

import (
	"time"

	"hawthorncourse/internal/core/clock"
	"hawthorncourse/internal/core/model"
)

const (
	// maxClockStep is how much further than the monotonic clock the boot-time clock may advance before the engine's reading counts as wrong.
	maxClockStep = time.Millisecond
	// maxQueueTime is how long a SYN may have waited in the queue for a lease. With the length of the lease, it stays below the time after which callers send
	// the next copy.
	maxQueueTime = 50 * time.Millisecond
	// timeOfDayEpoch is the epoch of the time of day, which instances use until they learn the shared time from another one.
	timeOfDayEpoch = 1
	// maxTimeOfDayError is by how much the time of day may differ from that of other instances.
	maxTimeOfDayError = 15 * time.Millisecond
)

// readTimeOfDay returns the time of day as a reading at an instant of the boot-time clock, which goes on with it: later steps of the time of day change nothing.
func readTimeOfDay(boot time.Duration) clock.Reading {
	day := time.Duration(time.Now().UnixNano())
	return clock.Reading{Epoch: timeOfDayEpoch, At: model.Instant(boot), Earliest: day - maxTimeOfDayError, Latest: day + maxTimeOfDayError}
}

// bootTime returns the boot-time clock or, where that is not available, the time since the start of the process.
func (r *Relay) bootTime() time.Duration {
	if boot := r.stall.bootTime(); boot != 0 {
		return boot
	}
	return time.Since(r.start)
}

// handleEpoch passes the first reading of another epoch of the shared clock to the engine at once.
func (r *Relay) handleEpoch() {
	r.submit(r.work, r.updateClock)
}

// updateClock sets the engine's reading of the shared clock, at an instant of the monotonic clock that the engine uses. It runs in the decision loop.
func (r *Relay) updateClock(now model.Instant) {
	boot := r.bootTime()
	reading := r.share.Clock(boot)
	if !reading.Known() {
		reading = r.timeOfDay.On(model.Instant(boot))
	}
	reading.At = now
	r.engine.SetClock(reading)
	r.bootAhead = boot - time.Duration(now)
}

// checkClock updates the engine's reading if the machine has been suspended since it was set: the monotonic clock has stood still. It runs in the decision loop.
func (r *Relay) checkClock(now model.Instant) {
	if (r.bootTime() - time.Duration(now) - r.bootAhead).Abs() > maxClockStep {
		r.updateClock(now)
	}
}

// updateClockGauges updates the gauges of the shared clock. It is known if it is not the time of day.
func (r *Relay) updateClockGauges(now model.Instant) {
	known := 0.0
	if r.share.Clock(r.bootTime()).Known() {
		known = 1
	}
	width, _ := r.engine.ClockWidth(now)
	r.counts.Gauge("clock.known").Update(known)
	r.counts.Gauge("clock.width_seconds").Update(width.Seconds())
}
