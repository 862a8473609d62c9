// Package gauge estimates the load of an upstream from the load that it states from time to time, and from the requests that this instance has in
// progress there.
package gauge

import (
	"math"
	"time"

	"hawthorncourse/internal/core/model"
)

const (
	// MaxAge is the age above which a report is not used any more: reports come once a second, and the next reader of a failure domain is found
	// within two seconds.
	MaxAge = 3 * time.Second
	// halfLife is the age at which half of the difference between a report and what this instance observes is left. It is the usual interval between
	// two reports, so that not all instances send to the upstream that was idle a second ago.
	halfLife = time.Second
	// maxValue bounds each number of a report; no upstream has a million requests.
	maxValue = 1_000_000
	// bucketWidth is the resolution of the history of own requests, and buckets its length, which covers MaxAge.
	bucketWidth = 100 * time.Millisecond
	buckets     = int64(MaxAge/bucketWidth) + 2
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

// Gauge holds the load information about one run of an upstream. The zero value is ready for use. It must be used by one goroutine only.
type Gauge struct {
	// reportedAt is when the upstream stated the last report; it is meaningful if reported is set.
	reportedAt model.Instant
	// excess is the reported work beyond what this instance had in progress at reportedAt; negative if the upstream stated less.
	excess float64
	// own is the number of requests of this instance in progress; never negative.
	own int32
	// slots is that of the last report; zero if that was invalid.
	slots int32
	// reported is set once there was a report.
	reported bool
	// changes holds the changes of own in each period of bucketWidth, by the number of the period modulo buckets; lastBucket is the number of the
	// latest period.
	changes    [buckets]int16
	lastBucket int64
}

// Report stores a report unless a newer one is known. The load is unknown after an invalid one.
func (g *Gauge) Report(now model.Instant, r Report) {
	at := now.Add(-max(r.Age, 0))
	if g.reported && at < g.reportedAt {
		return
	}
	g.reported, g.reportedAt, g.slots = true, at, 0
	if r.Valid() {
		g.slots = int32(r.Slots)
		g.excess = float64(r.Running) + float64(r.Queued) - (float64(g.own) - g.changeSince(now, at))
	}
}

// Sent records that this instance sent a request to the upstream.
func (g *Gauge) Sent(now model.Instant) {
	g.change(now, 1)
}

// Done records the end of a request that this instance sent; it has no effect if none is in progress.
func (g *Gauge) Done(now model.Instant) {
	if g.own > 0 {
		g.change(now, -1)
	}
}

// Age returns the age of the last report, between zero and MaxAge; known is false if that is older or invalid, or if there is none.
func (g *Gauge) Age(now model.Instant) (age time.Duration, known bool) {
	age = max(now.Sub(g.reportedAt), 0)
	if !g.reported || g.slots == 0 || age > MaxAge {
		return 0, false
	}
	return age, true
}

// Work estimates the number of requests that run or wait at the upstream. Without a report of the last MaxAge, known is false and the estimate is what
// this instance has in progress.
func (g *Gauge) Work(now model.Instant) (work float64, known bool) {
	age, known := g.Age(now)
	if !known {
		return float64(g.own), false
	}
	return max(float64(g.own)+g.excess*math.Exp2(-float64(age)/float64(halfLife)), 0), true
}

// Wait returns the expected time that one more request waits for a slot, given the time for which a request occupies one. It is zero if the load is
// not known.
func (g *Gauge) Wait(now model.Instant, answer time.Duration) time.Duration {
	work, known := g.Work(now)
	if !known {
		return 0
	}
	slots := float64(g.slots)
	return time.Duration(max(work+1-slots, 0) / slots * float64(max(answer, 0)))
}

// change adds n to own.
func (g *Gauge) change(now model.Instant, n int32) {
	g.own += n
	bucket := g.advance(now)
	if sum := int32(g.changes[bucket%buckets]) + n; sum >= math.MinInt16 && sum <= math.MaxInt16 {
		g.changes[bucket%buckets] = int16(sum)
	}
}

// advance clears the periods that have passed since the last change and returns the number of the present one.
func (g *Gauge) advance(now model.Instant) (bucket int64) {
	bucket = max(int64(now)/int64(bucketWidth), 0)
	for n := max(g.lastBucket+1, bucket-buckets+1); n <= bucket; n++ {
		g.changes[n%buckets] = 0
	}
	g.lastBucket = max(g.lastBucket, bucket)
	return g.lastBucket
}

// changeSince returns the change of own since an instant. Changes are assumed to be spread evenly within a period of bucketWidth.
func (g *Gauge) changeSince(now, at model.Instant) (sum float64) {
	bucket := g.advance(now)
	for n := bucket; n > bucket-buckets && n >= 0; n-- {
		begin, end := model.Instant(n*int64(bucketWidth)), min(model.Instant((n+1)*int64(bucketWidth)), max(now, 1))
		if end <= at {
			break
		}
		part := 1.0
		if begin < at {
			part = float64(end-at) / float64(end-begin)
		}
		sum += part * float64(g.changes[n%buckets])
	}
	return sum
}
