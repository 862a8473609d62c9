package count

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
)

// textPrefix begins the name of each metric.
const textPrefix = "hawthorncourse_"

// WriteText writes every metric in the text format that collectors of metrics read, by name.
func (s *Set) WriteText(w io.Writer) {
	t := s.totals
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, name := range slices.Sorted(maps.Keys(t.values)) {
		id := textName(name) + "_total"
		fmt.Fprintf(w, "# TYPE %s counter\n%s %d\n", id, id, t.values[name])
	}
	for _, name := range slices.Sorted(maps.Keys(t.gauges)) {
		id := textName(name)
		fmt.Fprintf(w, "# TYPE %s gauge\n%s %g\n", id, id, t.gauges[name])
	}
	for _, name := range slices.Sorted(maps.Keys(t.latencies)) {
		t.writeLatency(w, name)
	}
}

// writeLatency writes one histogram with buckets that include those below; t.mu is held.
func (t *totals) writeLatency(w io.Writer, name string) {
	id := textName(name) + "_seconds"
	fmt.Fprintf(w, "# TYPE %s histogram\n", id)
	var sum int64
	for _, upper := range slices.Sorted(maps.Keys(t.latencies[name])) {
		sum += t.latencies[name][upper]
		fmt.Fprintf(w, "%s_bucket{le=\"%g\"} %d\n", id, upper.Seconds(), sum)
	}
	fmt.Fprintf(w, "%s_bucket{le=\"+Inf\"} %d\n%s_count %d\n", id, sum, id, sum)
}

func textName(name string) string {
	return textPrefix + strings.ReplaceAll(name, ".", "_")
}
