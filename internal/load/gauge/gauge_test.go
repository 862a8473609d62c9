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

// TestWork checks the estimate of the requests in progress, from reports and from what this instance has sent.
func TestWork(t *testing.T) {
	report := func(now time.Duration, running, queued int, age time.Duration) func(*gauge.Gauge) {
		return func(g *gauge.Gauge) {
			g.Report(at(now), gauge.Report{Running: running, Queued: queued, Slots: 2, Age: age})
		}
	}
	sent := func(now time.Duration) func(*gauge.Gauge) { return func(g *gauge.Gauge) { g.Sent(at(now)) } }
	done := func(now time.Duration) func(*gauge.Gauge) { return func(g *gauge.Gauge) { g.Done(at(now)) } }
	invalid := func(r gauge.Report) func(*gauge.Gauge) { return func(g *gauge.Gauge) { g.Report(at(time.Second), r) } }
	type steps []func(*gauge.Gauge)
	cases := map[string]struct {
		steps steps
		now   time.Duration
		want  float64
		known bool
	}{
		"no report":                                 {steps: steps{sent(0)}, want: 1},
		"a report":                                  {steps: steps{report(0, 2, 14, 0)}, want: 16, known: true},
		"a report of an idle upstream":              {steps: steps{report(0, 0, 0, 0)}, known: true},
		"half a report after a second":              {steps: steps{report(0, 2, 6, 0)}, now: time.Second, want: 4, known: true},
		"a quarter of a report after two seconds":   {steps: steps{report(0, 2, 6, 0)}, now: 2 * time.Second, want: 2, known: true},
		"a report that was old at its arrival":      {steps: steps{report(0, 2, 6, time.Second)}, want: 4, known: true},
		"a report of three seconds":                 {steps: steps{report(0, 2, 6, 0)}, now: gauge.MaxAge, want: 1, known: true},
		"a report older than three seconds":         {steps: steps{report(0, 2, 6, 0)}, now: gauge.MaxAge + 1},
		"sent after the report":                     {steps: steps{report(0, 2, 6, 0), sent(0), sent(0)}, want: 10, known: true},
		"sent after the report, and it fades":       {steps: steps{report(0, 2, 6, 0), sent(0), sent(0)}, now: time.Second, want: 6, known: true},
		"sent before the report, which contains it": {steps: steps{sent(0), report(time.Second, 1, 0, 0)}, now: time.Second, want: 1, known: true},
		"sent just before the report":               {steps: steps{sent(0), report(0, 1, 0, 0)}, want: 1, known: true},
		"in progress all the time":                  {steps: steps{sent(0), report(time.Second, 1, 0, 0)}, now: 3 * time.Second, want: 1, known: true},
		"sent between the report and its arrival": {now: time.Second, want: 1, known: true,
			steps: steps{sent(800 * time.Millisecond), report(time.Second, 0, 0, 500*time.Millisecond)}},
		"done after the report":                       {steps: steps{sent(0), report(time.Second, 1, 3, 0), done(time.Second)}, now: time.Second, want: 3, known: true},
		"done without a request":                      {steps: steps{done(0), report(0, 1, 0, 0), sent(0)}, want: 2, known: true},
		"the upstream has finished what seems to run": {steps: steps{sent(0), sent(0), report(time.Second, 0, 0, 0)}, now: time.Second, want: 0, known: true},
		"a newer report":                              {steps: steps{report(0, 2, 6, 0), report(time.Second, 1, 0, 0)}, now: time.Second, want: 1, known: true},
		"a report older than the known one":           {steps: steps{report(0, 2, 6, 0), report(time.Second, 1, 0, 1100*time.Millisecond)}, now: time.Second, want: 4, known: true},
		"negative":                                    {steps: steps{report(0, 2, 6, 0), invalid(gauge.Report{Running: -1, Slots: 2})}, now: time.Second},
		"negative queue":                              {steps: steps{report(0, 2, 6, 0), invalid(gauge.Report{Queued: math.MinInt, Slots: 2})}, now: time.Second},
		"absurd":                                      {steps: steps{report(0, 2, 6, 0), invalid(gauge.Report{Queued: 1_000_001, Slots: 2})}, now: time.Second},
		"no slots":                                    {steps: steps{report(0, 2, 6, 0), invalid(gauge.Report{Running: 1})}, now: time.Second},
		"invalid, but older than the known one":       {steps: steps{report(0, 2, 6, 0), invalid(gauge.Report{Age: 2 * time.Second})}, now: time.Second, want: 4, known: true},
		"valid after invalid":                         {steps: steps{invalid(gauge.Report{}), report(time.Second, 2, 0, 0)}, now: time.Second, want: 2, known: true},
		"an age below zero":                           {steps: steps{report(0, 2, 6, -time.Hour), report(time.Second, 1, 0, 0)}, now: time.Second, want: 1, known: true},
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
			t.Logf("work %v", work)
			is.True(math.Abs(work-tc.want) < 1e-9 || !tc.known)
			age, knownAge := g.Age(at(tc.now))
			is.Equal(knownAge, tc.known)
			is.True(age >= 0 && age <= gauge.MaxAge)
		})
	}
}

// TestFadesToOwn checks that the estimate approaches what this instance has in progress, from above and from below, without passing it.
func TestFadesToOwn(t *testing.T) {
	for name, work := range map[string]int{"busy": 40, "idle": 0} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var g gauge.Gauge
			for range 3 {
				g.Sent(start)
			}
			g.Report(at(time.Second), gauge.Report{Running: work, Slots: 2})
			last := math.Abs(float64(work) - 3)
			for d := time.Second + 100*time.Millisecond; d <= time.Second+gauge.MaxAge; d += 100 * time.Millisecond {
				got, known := g.Work(at(d))
				is.True(known)
				is.Equal(got > 3, work > 3)
				is.True(math.Abs(got-3) < last)
				last = math.Abs(got - 3)
			}
		})
	}
}

// TestWait checks the expected wait of one more request.
func TestWait(t *testing.T) {
	const answer = 100 * time.Millisecond
	cases := map[string]struct {
		report gauge.Report
		answer time.Duration
		want   time.Duration
	}{
		"unknown":             {report: gauge.Report{}, answer: answer},
		"idle":                {report: gauge.Report{Slots: 2}, answer: answer},
		"one slot is free":    {report: gauge.Report{Running: 1, Slots: 2}, answer: answer},
		"no slot is free":     {report: gauge.Report{Running: 2, Slots: 2}, answer: answer, want: answer / 2},
		"fourteen wait":       {report: gauge.Report{Running: 2, Queued: 14, Slots: 2}, answer: answer, want: 15 * answer / 2},
		"answer time unknown": {report: gauge.Report{Running: 2, Queued: 14, Slots: 2}},
		"negative time":       {report: gauge.Report{Running: 2, Queued: 14, Slots: 2}, answer: -answer},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var g gauge.Gauge
			g.Report(start, tc.report)
			is.Equal(g.Wait(start, tc.answer), tc.want)
		})
	}
}
