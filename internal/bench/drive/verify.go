package drive

import (
	"fmt"
	"slices"

	"hawthorncourse/internal/stand/caller"
	"hawthorncourse/internal/stand/upnode"
)

// Invariant names one of the things that must always hold.
type Invariant string

// The promises that hold under every fault.
const (
	InvariantServiceIsolation Invariant = "no packet reaches another service"
	InvariantColdLimits       Invariant = "no more than a cold start bears"
	InvariantResponse         Invariant = "the whole answer to the own request"
	InvariantNotRun           Invariant = "a refusal as not run is true"
	InvariantAtMostOnce       Invariant = "at most once"
)

// Violation is one case in which a promise did not hold.
type Violation struct {
	Invariant Invariant
	Text      string
}

// String returns the breach as one line.
func (v Violation) String() string {
	return string(v.Invariant) + ": " + v.Text
}

// ColdLimits is what a cold start bears.
type ColdLimits struct {
	ColdSlots, ColdConnections int
}

// Verify compares what callers were told with the journals of the upstreams; the load must be stopped.
func (l *Load) Verify(limits ColdLimits) []Violation {
	var out []Violation
	runs := map[string]int{}
	for _, n := range l.cfg.Fleet.Upstreams {
		stats := n.Stats()
		out = append(out, verifyStats(n.Name(), stats, limits)...)
		for ref, count := range stats.Executions {
			runs[ref] += count
		}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, b := range l.bookings {
		out = append(out, verifyBooking(b, runs[b.Ref])...)
	}
	for _, text := range l.wrongResponses {
		out = append(out, Violation{Invariant: InvariantResponse, Text: text})
	}
	slices.SortStableFunc(out, func(a, b Violation) int {
		return slices.Compare([]string{string(a.Invariant)}, []string{string(b.Invariant)})
	})
	return out
}

func verifyStats(name string, stats upnode.Stats, limits ColdLimits) (out []Violation) {
	if stats.Misrouted > 0 {
		out = append(out, Violation{Invariant: InvariantServiceIsolation, Text: fmt.Sprintf("%s got %d packets of another service", name, stats.Misrouted)})
	}
	if stats.MaxColdRunning > limits.ColdSlots {
		out = append(out, Violation{Invariant: InvariantColdLimits, Text: fmt.Sprintf("%s had %d requests at once, it bears %d", name, stats.MaxColdRunning, limits.ColdSlots)})
	}
	if stats.MaxColdOpened > limits.ColdConnections {
		out = append(out, Violation{Invariant: InvariantColdLimits, Text: fmt.Sprintf("%s had %d streams opened, it bears %d", name, stats.MaxColdOpened, limits.ColdConnections)})
	}
	return out
}

func verifyBooking(b Booking, runs int) (out []Violation) {
	if runs > 1 {
		out = append(out, Violation{Invariant: InvariantAtMostOnce, Text: fmt.Sprintf("booking %s ran %d times", b.Ref, runs)})
	}
	if b.Outcome == caller.OutcomeNotRun && runs > 0 {
		out = append(out, Violation{Invariant: InvariantNotRun, Text: fmt.Sprintf("booking %s ran", b.Ref)})
	}
	if b.Outcome == caller.OutcomeDone && runs == 0 {
		out = append(out, Violation{Invariant: InvariantResponse, Text: fmt.Sprintf("booking %s was said to be done and never ran", b.Ref)})
	}
	return out
}
