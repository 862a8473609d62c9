// Package place picks the upstream of a new flow from what one instance sees of each.
package place

import (
	"time"

	"hawthorncourse/internal/core/choose"
)

// Load is the work of one upstream as far as it passes this instance.
type Load struct {
	// Running counts the requests without an answer yet; never negative.
	Running int
	// Flows counts the open flows; never negative.
	Flows int
	// speed follows the time from a request to its answer.
	speed choose.LatencyAverage
}

// Observe adds the time from a request to its answer.
func (l *Load) Observe(d time.Duration) {
	l.speed.Observe(d)
}

// AnswerTime returns the expected time from a request to its answer.
func (l *Load) AnswerTime() time.Duration {
	return l.speed.Mean()
}
