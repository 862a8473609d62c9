// Package gauge holds the load that an upstream states from time to time.
package gauge

import (
	"time"

	"hawthorncourse/internal/core/model"
)

const (
	// MaxAge is the age above which a report is not used any more: reports come once a second, and the next reader of a failure domain is found
	// within two seconds.
	MaxAge = 3 * time.Second
	// maxValue bounds each number of a report; no upstream has a million requests.
	maxValue = 1_000_000
)

// Report is what an upstream stated about its load.
type Report struct {
	// Running and Queued are the numbers of requests in progress and waiting; Slots is the number that the upstream processes concurrently.
	Running, Queued, Slots int
	// Age is the time since the upstream stated it; a negative one counts as zero.
	Age time.Duration
}

// Valid reports whether the numbers of a report are possible: none is negative or above a million, and there is at least one slot.
func (r Report) Valid() bool {
	return r.Running >= 0 && r.Running <= maxValue && r.Queued >= 0 && r.Queued <= maxValue && r.Slots >= 1 && r.Slots <= maxValue
}

// Gauge holds the last report of one run of an upstream. The zero value is ready for use. It must be used by one goroutine only.
//
// It is used for sums over many upstreams. It does not tell which upstream is best for the next flow: at some ten milliseconds a request, a queue has changed
// completely by the time a report of it arrives, and instances that all prefer the upstream that was idle fill it together.
type Gauge struct {
	// reportedAt is when the upstream stated the last report; it is meaningful if reported is set.
	reportedAt model.Instant
	// reported is set once there was a report, and valid if the last one was valid.
	reported, valid bool
	// work is the number of requests running or waiting in the last report; zero if that was invalid.
	work int32
}

// Report stores a report unless a newer one is known. The load is unknown after an invalid one.
func (g *Gauge) Report(now model.Instant, r Report) {
	at := now.Add(-max(r.Age, 0))
	if g.reported && at < g.reportedAt {
		return
	}
	*g = Gauge{reported: true, reportedAt: at, valid: r.Valid()}
	if g.valid {
		g.work = int32(r.Running + r.Queued)
	}
}

// Age returns the age of the last report, between zero and MaxAge; known is false if that is older or invalid, or if there is none.
func (g *Gauge) Age(now model.Instant) (age time.Duration, known bool) {
	age = max(now.Sub(g.reportedAt), 0)
	if !g.valid || age > MaxAge {
		return 0, false
	}
	return age, true
}

// Work returns the number of requests that run or wait at the upstream according to its last report; known is as for Age.
func (g *Gauge) Work(now model.Instant) (work int, known bool) {
	if _, known = g.Age(now); known {
		work = int(g.work)
	}
	return work, known
}
