// Package count keeps the counters that operators read.
package count

import (
	"io"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"
)

const reportInterval = 500 * time.Millisecond

// Set is a scope of counters with their totals.
type Set struct {
	scope  tally.Scope
	closer io.Closer
	totals *totals
	mu     sync.Mutex
	// counters holds each counter by name, so that a name is looked up once.
	counters map[string]tally.Counter
}

// New returns an empty set.
func New() *Set {
	t := &totals{values: map[string]int64{}, gauges: map[string]float64{}, latencies: map[string]map[time.Duration]int64{}}
	scope, closer := tally.NewRootScope(tally.ScopeOptions{Reporter: t, OmitCardinalityMetrics: true}, reportInterval)
	return &Set{scope: scope, closer: closer, totals: t, counters: map[string]tally.Counter{}}
}

// Close stops reporting; the last counts are in Totals afterwards.
func (s *Set) Close() error {
	return s.closer.Close()
}

// Counter returns the counter of the name.
func (s *Set) Counter(name string) tally.Counter {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := s.counters[name]
	if c == nil {
		c = s.scope.Counter(name)
		s.counters[name] = c
	}
	return c
}

// Gauge returns the gauge of the name.
func (s *Set) Gauge(name string) tally.Gauge {
	return s.scope.Gauge(name)
}

// latencyBuckets reach from a round trip within a failure domain to the longest deadline of a caller.
var latencyBuckets = tally.MustMakeExponentialDurationBuckets(time.Millisecond, 2, 14)

// Latency returns the histogram of the name for times of requests.
func (s *Set) Latency(name string) tally.Histogram {
	return s.scope.Histogram(name, latencyBuckets)
}

// Total is one counter with its value since the start.
type Total struct {
	Name  string
	Value int64
}

// Totals returns every counter that is not zero, by name.
func (s *Set) Totals() []Total {
	return s.totals.list()
}

// totals adds up what tally reports.
type totals struct {
	mu     sync.Mutex
	values map[string]int64
	gauges map[string]float64
	// latencies holds the samples of each histogram by the upper bound of their bucket.
	latencies map[string]map[time.Duration]int64
}

func (t *totals) list() []Total {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := make([]Total, 0, len(t.values))
	for _, name := range slices.Sorted(maps.Keys(t.values)) {
		out = append(out, Total{Name: name, Value: t.values[name]})
	}
	return out
}

// ReportCounter implements tally.StatsReporter.
func (t *totals) ReportCounter(name string, _ map[string]string, value int64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.values[name] += value
}

// ReportGauge implements tally.StatsReporter.
func (t *totals) ReportGauge(name string, _ map[string]string, value float64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.gauges[name] = value
}

// ReportTimer implements tally.StatsReporter; timers are not used.
func (t *totals) ReportTimer(string, map[string]string, time.Duration) {}

// ReportHistogramValueSamples implements tally.StatsReporter; histograms of plain values are not used.
func (t *totals) ReportHistogramValueSamples(string, map[string]string, tally.Buckets, float64, float64, int64) {
}

// ReportHistogramDurationSamples implements tally.StatsReporter.
func (t *totals) ReportHistogramDurationSamples(name string, _ map[string]string, _ tally.Buckets, _, upper time.Duration, samples int64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.latencies[name] == nil {
		t.latencies[name] = map[time.Duration]int64{}
	}
	t.latencies[name][upper] += samples
}

// Capabilities implements tally.StatsReporter.
func (t *totals) Capabilities() tally.Capabilities { return t }

// Reporting implements tally.Capabilities.
func (t *totals) Reporting() bool { return true }

// Tagging implements tally.Capabilities.
func (t *totals) Tagging() bool { return false }

// Flush implements tally.StatsReporter.
func (t *totals) Flush() {}
