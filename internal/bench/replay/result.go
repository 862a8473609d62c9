package replay

import (
	"fmt"
	"slices"
	"time"

	"hawthorncourse/internal/core/model"
)

// window is the length of the spans whose worst are reported, that of the users' bench.
const window = 2 * time.Second

// Result is what the callers of one replay saw.
type Result struct {
	// Asked, InAim, Late and Failed count requests.
	Asked, InAim, Late, Failed int
	// Twice counts runs beyond the first of requests that run at most once.
	Twice int
	// Spent counts runs beyond the first of any request.
	Spent int
	// Worst holds the shares in aim of the two worst windows.
	Worst [2]float64
	// Busiest is the load of the busiest upstream over the mean.
	Busiest float64

	pattern *Pattern
	// open holds the flows that callers wait on.
	open    map[model.FlowKey]*try
	windows []span
}

// span counts the requests that were asked within one window.
type span struct {
	asked, inAim int
}

func newResult(p *Pattern) *Result {
	return &Result{pattern: p, open: map[model.FlowKey]*try{}, windows: make([]span, p.Length/window+1)}
}

func (r *Result) begin(req *request) {
	r.Asked++
	r.windows[time.Duration(req.asked)/window].asked++
}

func (r *Result) worked(t *try) {
	t.runs++
	if t.runs > 1 {
		r.Spent++
		if t.once {
			r.Twice++
		}
	}
}

func (r *Result) finished(req *request, ok bool, took time.Duration) {
	switch {
	case !ok:
		r.Failed++
	case took <= r.pattern.Aim:
		r.InAim++
		r.windows[time.Duration(req.asked)/window].inAim++
	default:
		r.Late++
	}
}

func (r *Result) finish(upstreams []*upstream) {
	var shares []float64
	for _, s := range r.windows {
		if s.asked > 0 {
			shares = append(shares, float64(s.inAim)/float64(s.asked))
		}
	}
	slices.Sort(shares)
	copy(r.Worst[:], shares)
	sum, top := 0, 0
	for _, u := range upstreams {
		sum += u.arrivals
		top = max(top, u.arrivals)
	}
	if sum > 0 {
		r.Busiest = float64(top) * float64(len(upstreams)) / float64(sum)
	}
}

// ShareInAim returns the share of requests that were served in aim.
func (r *Result) ShareInAim() float64 {
	return float64(r.InAim) / float64(max(r.Asked, 1))
}

// String returns the result as one line.
func (r *Result) String() string {
	return fmt.Sprintf("asked %6d  in aim %.4f  late %5d  failed %4d  worst windows %.3f %.3f  busiest/mean %.2f  run again %d (%d of bookings)",
		r.Asked, r.ShareInAim(), r.Late, r.Failed, r.Worst[0], r.Worst[1], r.Busiest, r.Spent, r.Twice)
}
