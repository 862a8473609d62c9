package gauge_test

import (
	"math"
	"testing"
	"time"

	"github.com/matryer/is"

	"hawthorncourse/internal/core/model"
	"hawthorncourse/internal/load/gauge"
)

const start = model.Instant(time.Minute)

// at returns the instant d after start.
func at(d time.Duration) model.Instant { return start.Add(d) }

// TestWork checks what is known of an upstream's load after sequences of reports.
func TestWork(t *testing.T) {
	report := func(now time.Duration, running, queued int, age time.Duration) func(*gauge.Gauge) {
		return func(g *gauge.Gauge) {
			g.Report(at(now), gauge.Report{Running: running, Queued: queued, Slots: 2, Age: age})
		}
	}
	invalid := func(r gauge.Report) func(*gauge.Gauge) { return func(g *gauge.Gauge) { g.Report(at(time.Second), r) } }
	type steps []func(*gauge.Gauge)
	cases := map[string]struct {
		steps steps
		now   time.Duration
		want  int
		known bool
	}{
		"no report":                             {},
		"a report":                              {steps: steps{report(0, 2, 14, 0)}, want: 16, known: true},
		"a report of an idle upstream":          {steps: steps{report(0, 0, 0, 0)}, known: true},
		"a report that was old at its arrival":  {steps: steps{report(0, 2, 6, time.Second)}, now: 2 * time.Second, want: 8, known: true},
		"a report that is too old by then":      {steps: steps{report(0, 2, 6, time.Second)}, now: 2*time.Second + 1},
		"a report of three seconds":             {steps: steps{report(0, 2, 6, 0)}, now: gauge.MaxAge, want: 8, known: true},
		"a report older than three seconds":     {steps: steps{report(0, 2, 6, 0)}, now: gauge.MaxAge + 1},
		"a newer report":                        {steps: steps{report(0, 2, 6, 0), report(time.Second, 1, 0, 0)}, now: time.Second, want: 1, known: true},
		"a report older than the known one":     {steps: steps{report(0, 2, 6, 0), report(time.Second, 1, 0, 1100*time.Millisecond)}, now: time.Second, want: 8, known: true},
		"negative":                              {steps: steps{report(0, 2, 6, 0), invalid(gauge.Report{Running: -1, Slots: 2})}, now: time.Second},
		"negative queue":                        {steps: steps{report(0, 2, 6, 0), invalid(gauge.Report{Queued: math.MinInt, Slots: 2})}, now: time.Second},
		"absurd":                                {steps: steps{report(0, 2, 6, 0), invalid(gauge.Report{Queued: 1_000_001, Slots: 2})}, now: time.Second},
		"no slots":                              {steps: steps{report(0, 2, 6, 0), invalid(gauge.Report{Running: 1})}, now: time.Second},
		"invalid, but older than the known one": {steps: steps{report(0, 2, 6, 0), invalid(gauge.Report{Age: 2 * time.Second})}, now: time.Second, want: 8, known: true},
		"valid after invalid":                   {steps: steps{invalid(gauge.Report{}), report(time.Second, 2, 0, 0)}, now: time.Second, want: 2, known: true},
		"an age below zero":                     {steps: steps{report(0, 2, 6, -time.Hour), report(time.Second, 1, 0, 0)}, now: time.Second, want: 1, known: true},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var g gauge.Gauge
			for _, step := range tc.steps {
				step(&g)
			}
			work, known := g.Work(at(tc.now))
			is.Equal(known, tc.known)
			is.Equal(work, tc.want)
			age, knownAge := g.Age(at(tc.now))
			is.Equal(knownAge, tc.known)
			is.True(age >= 0 && age <= gauge.MaxAge)
		})
	}
}
