package drive

import (
	"fmt"
	"slices"

	"hawthorncourse/internal/stand/caller"
	"hawthorncourse/internal/stand/upnode"
)

// Invariant describes a property that must always hold.
type Invariant string

// The invariants, which must hold under every fault.
const (
	InvariantServiceIsolation Invariant = "no packet reaches an upstream of another service"
	InvariantColdLimits       Invariant = "no more load than the cold-start limits allow"
	InvariantResponse         Invariant = "the response belongs to the caller's own request"
	InvariantNotRun           Invariant = "a request reported as not run was not run"
	InvariantAtMostOnce       Invariant = "at most one execution of a booking"
)

// Violation is a case in which an invariant did not hold.
type Violation struct {
	Invariant Invariant
	Text      string
}

// String formats the violation as one line.
func (v Violation) String() string {
	return string(v.Invariant) + ": " + v.Text
}

// ColdLimits holds the limits of an upstream during its cold start: concurrent requests and opened streams.
type ColdLimits struct {
	ColdSlots, ColdConnections int
}

// Verify checks the invariants by comparing the responses that callers received with the statistics of the upstreams.
// The load must be stopped.
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

// verifyStats checks the invariants that concern a single upstream.
func verifyStats(name string, stats upnode.Stats, limits ColdLimits) (out []Violation) {
	if stats.Misrouted > 0 {
		out = append(out, Violation{Invariant: InvariantServiceIsolation, Text: fmt.Sprintf("%s received %d packets of another service", name, stats.Misrouted)})
	}
	if stats.MaxColdRunning > limits.ColdSlots {
		out = append(out, Violation{
			Invariant: InvariantColdLimits,
			Text:      fmt.Sprintf("%s had %d concurrent requests during a cold start, limit %d", name, stats.MaxColdRunning, limits.ColdSlots),
		})
	}
	if stats.MaxColdOpened > limits.ColdConnections {
		out = append(out, Violation{
			Invariant: InvariantColdLimits,
			Text:      fmt.Sprintf("%s had %d streams opened during a cold start, limit %d", name, stats.MaxColdOpened, limits.ColdConnections),
		})
	}
	return out
}

// verifyBooking compares the outcome that a caller received with the number of times that the booking ran.
func verifyBooking(b Booking, runs int) (out []Violation) {
	if runs > 1 {
		out = append(out, Violation{Invariant: InvariantAtMostOnce, Text: fmt.Sprintf("booking %s ran %d times", b.Ref, runs)})
	}
	if b.Outcome == caller.OutcomeNotRun && runs > 0 {
		out = append(out, Violation{Invariant: InvariantNotRun, Text: fmt.Sprintf("booking %s was reported as not run, but ran", b.Ref)})
	}
	if b.Outcome == caller.OutcomeDone && runs == 0 {
		out = append(out, Violation{Invariant: InvariantResponse, Text: fmt.Sprintf("booking %s was reported as done, but did not run", b.Ref)})
	}
	return out
}
