// Package count collects the metrics of a process: counters, gauges and latency histograms.
package count

import (
	"io"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"
)

// reportInterval is how often tally adds its counts to the totals; totals lag behind by up to that time.
const reportInterval = 500 * time.Millisecond

// Set is a set of named metrics with their totals since the start. It is safe for concurrent use.
type Set struct {
	scope  tally.Scope
	closer io.Closer
	totals *totals
	mu     sync.Mutex
	// counters caches the counters by name, guarded by mu.
	counters map[string]tally.Counter
}

// New returns an empty set.
func New() *Set {
	t := &totals{values: map[string]int64{}, gauges: map[string]float64{}, latencies: map[string]map[time.Duration]int64{}, latencySums: map[string]int64{}}
	scope, closer := tally.NewRootScope(tally.ScopeOptions{Reporter: t, OmitCardinalityMetrics: true}, reportInterval)
	return &Set{scope: scope, closer: closer, totals: t, counters: map[string]tally.Counter{}}
}

// Close flushes the last counts into Totals and stops the reporting.
func (s *Set) Close() error {
	return s.closer.Close()
}

// Counter returns the counter with the name and creates it on first use.
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

// Gauge returns the gauge with the name and creates it on first use.
func (s *Set) Gauge(name string) tally.Gauge {
	return s.scope.Gauge(name)
}

// latencyBuckets holds 14 upper bounds from 1 ms, a round trip within a failure domain, to about 8 s, the longest deadline of a caller.
var latencyBuckets = tally.MustMakeExponentialDurationBuckets(time.Millisecond, 2, 14)

// Latency returns the histogram with the name for request latencies and creates it on first use.
func (s *Set) Latency(name string) tally.Histogram {
	return latency{Histogram: s.scope.Histogram(name, latencyBuckets), sum: s.Counter(name + sumSuffix)}
}

// sumSuffix follows the name of a histogram in the name of the counter of its sum, in microseconds. Tally reports buckets only; a counter is
// reported together with them.
const sumSuffix = ".sum_us"

// latency is a histogram that also counts the sum of its samples.
type latency struct {
	tally.Histogram
	sum tally.Counter
}

// RecordDuration implements tally.Histogram.
func (l latency) RecordDuration(d time.Duration) {
	l.Histogram.RecordDuration(d)
	l.sum.Inc(d.Microseconds())
}

// Total is the value of one counter since the start.
type Total struct {
	Name  string
	Value int64
}

// Totals returns all counters that are not zero, sorted by name.
func (s *Set) Totals() []Total {
	return s.totals.list()
}

// totals accumulates the values that tally reports.
type totals struct {
	mu     sync.Mutex
	values map[string]int64
	gauges map[string]float64
	// latencies holds the number of samples in each bucket, by histogram name and the bucket's upper bound.
	latencies map[string]map[time.Duration]int64
	// latencySums holds the sum of the samples, in microseconds, by histogram name.
	latencySums map[string]int64
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
	if histogram, isSum := strings.CutSuffix(name, sumSuffix); isSum {
		t.latencySums[histogram] += value
		return
	}
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

// ReportHistogramValueSamples implements tally.StatsReporter; value histograms are not used.
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
