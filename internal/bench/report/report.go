// Package report holds the measurements of experiments and writes them as JSON, as text and as an HTML page with plots.
package report

import (
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"slices"
)

// Count is a named counter value.
type Count struct {
	Name  string `json:"name"`
	Value int64  `json:"value"`
}

// String formats the counter as name:value.
func (c Count) String() string {
	return fmt.Sprintf("%s:%d", c.Name, c.Value)
}

// Counts converts a map to counters, sorted by name.
func Counts(m map[string]int) []Count {
	out := make([]Count, 0, len(m))
	for name, n := range m {
		out = append(out, Count{Name: name, Value: int64(n)})
	}
	sortCounts(out)
	return out
}

func sortCounts(list []Count) {
	slices.SortFunc(list, func(a, b Count) int { return cmp.Compare(a.Name, b.Name) })
}

// Quantile is a latency percentile; Micros is the latency in microseconds.
type Quantile struct {
	Percent float64 `json:"percent"`
	Micros  int64   `json:"micros"`
}

// Phase holds the measurements during an event. Imbalance is the ratio of the highest to the mean busy time of the upstreams;
// Bookings counts the bookings completed in the phase by outcome.
type Phase struct {
	Name        string  `json:"name"`
	Planned     bool    `json:"planned"`
	Seconds     float64 `json:"seconds"`
	BrokenFlows int     `json:"brokenFlows"`
	Imbalance   float64 `json:"imbalance"`
	Bookings    []Count `json:"bookings"`
}

// SortBookings sorts the booking counters by name.
func (p *Phase) SortBookings() {
	sortCounts(p.Bookings)
}

// Run holds the results of an experiment. Refused counts the requests that were not done, by outcome and response text;
// Breaches lists the violated invariants.
type Run struct {
	Setup    string     `json:"setup"`
	Seed     uint64     `json:"seed"`
	Phases   []Phase    `json:"phases"`
	Latency  []Quantile `json:"latency"`
	Refused  []Count    `json:"refused"`
	Counters []Count    `json:"counters"`
	Breaches []string   `json:"breaches"`
}

// WriteJSON writes runs as indented JSON.
func WriteJSON(w io.Writer, runs []Run) error {
	enc := json.NewEncoder(w)
	enc.SetIndent("", "\t")
	return enc.Encode(runs)
}

// WriteText writes runs as plain text for a terminal.
func WriteText(w io.Writer, runs []Run) {
	for _, r := range runs {
		fmt.Fprintf(w, "\n%s, seed %d\n", r.Setup, r.Seed)
		for _, p := range r.Phases {
			fmt.Fprintf(w, "  %-16s broken flows %-4d imbalance %-5.2f bookings %v\n", p.Name, p.BrokenFlows, p.Imbalance, p.Bookings)
		}
		for _, q := range r.Latency {
			fmt.Fprintf(w, "  latency p%-5v %8.2f ms\n", q.Percent, float64(q.Micros)/1000)
		}
		for _, c := range r.Refused {
			fmt.Fprintf(w, "  not done: %-40s %d\n", c.Name, c.Value)
		}
		for _, c := range r.Counters {
			fmt.Fprintf(w, "  counter %-32s %d\n", c.Name, c.Value)
		}
		for _, b := range r.Breaches {
			fmt.Fprintf(w, "  INVARIANT VIOLATED %s\n", b)
		}
	}
}
