package count

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"time"
)

// metricPrefix is the prefix of all metric names in the text format.
const metricPrefix = "hawthorncourse_"

// WriteText writes all metrics in the Prometheus text format, sorted by name within each type. It does not report write errors.
func (s *Set) WriteText(w io.Writer) {
	t := s.totals
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, name := range slices.Sorted(maps.Keys(t.values)) {
		id := metricName(name) + "_total"
		fmt.Fprintf(w, "# TYPE %s counter\n%s %d\n", id, id, t.values[name])
	}
	for _, name := range slices.Sorted(maps.Keys(t.gauges)) {
		id := metricName(name)
		fmt.Fprintf(w, "# TYPE %s gauge\n%s %g\n", id, id, t.gauges[name])
	}
	for _, name := range slices.Sorted(maps.Keys(t.latencies)) {
		t.writeLatency(w, name)
	}
}

// writeLatency writes one histogram with cumulative buckets. t.mu must be held.
func (t *totals) writeLatency(w io.Writer, name string) {
	id := metricName(name) + "_seconds"
	fmt.Fprintf(w, "# TYPE %s histogram\n", id)
	var samples int64
	for _, upper := range slices.Sorted(maps.Keys(t.latencies[name])) {
		samples += t.latencies[name][upper]
		fmt.Fprintf(w, "%s_bucket{le=\"%g\"} %d\n", id, upper.Seconds(), samples)
	}
	sum := time.Duration(t.latencySums[name]) * time.Microsecond
	fmt.Fprintf(w, "%s_bucket{le=\"+Inf\"} %d\n%s_sum %g\n%s_count %d\n", id, samples, id, sum.Seconds(), id, samples)
}

func metricName(name string) string {
	return metricPrefix + strings.ReplaceAll(name, ".", "_")
}
