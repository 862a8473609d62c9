package replay

import (
	"fmt"
	"slices"
	"time"

	"hawthorncourse/internal/core/model"
)

// windowLength is the length of the spans whose worst are reported, that of the users' bench.
const windowLength = 2 * time.Second

// Result is what the callers of one replay saw.
type Result struct {
	// Asked, InAim, Late and Failed count requests.
	Requests, OnTime, Late, Failed int
	// DuplicateBookings counts runs beyond the first of requests that run at most once.
	DuplicateBookings int
	// ExtraExecutions counts runs beyond the first of any request.
	ExtraExecutions int
	// WorstWindows holds the shares in aim of the two worst windows.
	WorstWindows [2]float64
	// MaxLoadRatio is the load of the busiest upstream over the mean.
	MaxLoadRatio float64

	pattern *Pattern
	// openFlows holds the flows that callers wait on.
	openFlows map[model.FlowKey]*callerFlow
	windows   []windowCounts
}

// windowCounts counts the requests that were asked within one window.
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

// OnTimeShare returns the share of requests that were served in aim.
func (r *Result) OnTimeShare() float64 {
	return float64(r.OnTime) / float64(max(r.Requests, 1))
}

// String returns the result as one line.
func (r *Result) String() string {
	return fmt.Sprintf("asked %6d  in aim %.4f  late %5d  failed %4d  worst windows %.3f %.3f  busiest/mean %.2f  run again %d (%d of bookings)",
		r.Requests, r.OnTimeShare(), r.Late, r.Failed, r.WorstWindows[0], r.WorstWindows[1], r.MaxLoadRatio, r.ExtraExecutions, r.DuplicateBookings)
}
