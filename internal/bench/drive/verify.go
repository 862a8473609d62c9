package drive

import (
	"fmt"
	"slices"

	"hawthorncourse/internal/stand/caller"
	"hawthorncourse/internal/stand/upnode"
)

// Promise names one of the things that must always hold.
type Promise string

// The promises that hold under every fault.
const (
	PromiseService Promise = "no packet reaches another service"
	PromiseCold    Promise = "no more than a cold start bears"
	PromiseAnswer  Promise = "the whole answer to the own request"
	PromiseNotRun  Promise = "a refusal as not run is true"
	PromiseOnce    Promise = "at most once"
)

// Breach is one case in which a promise did not hold.
type Breach struct {
	Promise Promise
	Text    string
}

// String returns the breach as one line.
func (b Breach) String() string {
	return string(b.Promise) + ": " + b.Text
}

// Limits is what a cold start bears.
type Limits struct {
	ColdSlots, ColdConnections int
}

// Verify compares what callers were told with the journals of the upstreams; the load must be stopped.
func (l *Load) Verify(limits Limits) []Breach {
	var out []Breach
	runs := map[string]int{}
	for _, n := range l.cfg.Fleet.Nodes {
		j := n.Stats()
		out = append(out, verifyJournal(n.Name(), j, limits)...)
		for ref, count := range j.Executions {
			runs[ref] += count
		}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, b := range l.bookings {
		out = append(out, verifyBooking(b, runs[b.Ref])...)
	}
	for _, text := range l.crossed {
		out = append(out, Breach{Promise: PromiseAnswer, Text: text})
	}
	slices.SortStableFunc(out, func(a, b Breach) int { return slices.Compare([]string{string(a.Promise)}, []string{string(b.Promise)}) })
	return out
}

func verifyJournal(name string, j upnode.Stats, limits Limits) (out []Breach) {
	if j.Misrouted > 0 {
		out = append(out, Breach{Promise: PromiseService, Text: fmt.Sprintf("%s got %d packets of another service", name, j.Misrouted)})
	}
	if j.MaxColdRunning > limits.ColdSlots {
		out = append(out, Breach{Promise: PromiseCold, Text: fmt.Sprintf("%s had %d requests at once, it bears %d", name, j.MaxColdRunning, limits.ColdSlots)})
	}
	if j.MaxColdOpened > limits.ColdConnections {
		out = append(out, Breach{Promise: PromiseCold, Text: fmt.Sprintf("%s had %d streams opened, it bears %d", name, j.MaxColdOpened, limits.ColdConnections)})
	}
	return out
}

func verifyBooking(b Booking, runs int) (out []Breach) {
	if runs > 1 {
		out = append(out, Breach{Promise: PromiseOnce, Text: fmt.Sprintf("booking %s ran %d times", b.Ref, runs)})
	}
	if b.Outcome == caller.OutcomeNotRun && runs > 0 {
		out = append(out, Breach{Promise: PromiseNotRun, Text: fmt.Sprintf("booking %s ran", b.Ref)})
	}
	if b.Outcome == caller.OutcomeDone && runs == 0 {
		out = append(out, Breach{Promise: PromiseAnswer, Text: fmt.Sprintf("booking %s was said to be done and never ran", b.Ref)})
	}
	return out
}
