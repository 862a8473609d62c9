package replay

import (
	"fmt"
	"slices"
	"time"

	"hawthorncourse/internal/core/model"
)

// windowLength is the length of the windows whose worst on-time shares are reported; the users' own benchmark has the same.
const windowLength = 2 * time.Second

// Result holds the outcomes of a replay as its callers observed them.
type Result struct {
	// Requests counts all requests. Each ends as OnTime (answered within the latency target), Late or Failed.
	Requests, OnTime, Late, Failed int
	// DuplicateBookings counts executions of bookings beyond the first of each; bookings must run at most once.
	DuplicateBookings int
	// ExtraExecutions counts executions of any requests beyond the first of each.
	ExtraExecutions int
	// WorstWindows holds the on-time shares of the two worst windows, between 0 and 1.
	WorstWindows [2]float64
	// MaxLoadRatio is the number of requests at the busiest upstream divided by the mean of all upstreams.
	MaxLoadRatio float64

	pattern *Pattern
	// openFlows holds the flows that callers have open.
	openFlows map[model.FlowKey]*callerFlow
	windows   []windowCounts
}

// windowCounts counts the requests that were started within a window.
type windowCounts struct {
	requests, onTime int
}

func newResult(p *Pattern) *Result {
	return &Result{pattern: p, openFlows: map[model.FlowKey]*callerFlow{}, windows: make([]windowCounts, p.Duration/windowLength+1)}
}

func (r *Result) recordStart(req *request) {
	r.Requests++
	r.windows[time.Duration(req.startedAt)/windowLength].requests++
}

// recordExecution counts an execution of the flow's current request by an upstream.
func (r *Result) recordExecution(f *callerFlow) {
	f.executions++
	if f.executions > 1 {
		r.ExtraExecutions++
		if f.atMostOnce {
			r.DuplicateBookings++
		}
	}
}

func (r *Result) recordOutcome(req *request, ok bool, latency time.Duration) {
	switch {
	case !ok:
		r.Failed++
	case latency <= r.pattern.LatencyTarget:
		r.OnTime++
		r.windows[time.Duration(req.startedAt)/windowLength].onTime++
	default:
		r.Late++
	}
}

// summarize computes WorstWindows and MaxLoadRatio at the end of a replay.
func (r *Result) summarize(upstreams []*upstream) {
	var shares []float64
	for _, w := range r.windows {
		if w.requests > 0 {
			shares = append(shares, float64(w.onTime)/float64(w.requests))
		}
	}
	slices.Sort(shares)
	copy(r.WorstWindows[:], shares)
	sum, highest := 0, 0
	for _, u := range upstreams {
		sum += u.arrivals
		highest = max(highest, u.arrivals)
	}
	if sum > 0 {
		r.MaxLoadRatio = float64(highest) * float64(len(upstreams)) / float64(sum)
	}
}

// OnTimeShare returns the share of requests that were answered within the latency target, between 0 and 1.
func (r *Result) OnTimeShare() float64 {
	return float64(r.OnTime) / float64(max(r.Requests, 1))
}

// String formats the result as one line.
func (r *Result) String() string {
	return fmt.Sprintf("asked %6d  in aim %.4f  late %5d  failed %4d  worst windows %.3f %.3f  busiest/mean %.2f  run again %d (%d of bookings)",
		r.Requests, r.OnTimeShare(), r.Late, r.Failed, r.WorstWindows[0], r.WorstWindows[1], r.MaxLoadRatio, r.ExtraExecutions, r.DuplicateBookings)
}
