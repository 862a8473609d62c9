// Package place selects the upstream of a new flow by the load that one instance observes.
package place

import (
	"time"

	"hawthorncourse/internal/core/choose"
)

// Load is the load of one upstream caused by the flows that pass this instance.
type Load struct {
	// Running is the number of unanswered requests; never negative.
	Running int
	// Flows is the number of open flows; never negative.
	Flows int
	// latency averages the time from a request to its answer.
	latency choose.LatencyAverage
}

// Observe adds a sample of the time from a request to its answer.
func (l *Load) Observe(d time.Duration) {
	l.latency.Observe(d)
}

// AnswerTime returns the expected time from a request to its answer, a moving average of the samples.
func (l *Load) AnswerTime() time.Duration {
	return l.latency.Mean()
}
