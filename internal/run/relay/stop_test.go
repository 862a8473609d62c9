package relay

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestShutdownWhileSuspended checks when a graceful shutdown ends: once routers have noticed and no packet arrives, and in any case before the
// process would be killed, also if the machine was suspended in between.
func TestShutdownWhileSuspended(t *testing.T) {
	const within = 6 * time.Second
	cases := map[string]struct {
		steady, suspended, quiet time.Duration
		want                     bool
	}{
		"routers have not noticed":              {steady: time.Second, quiet: time.Second},
		"packets arrive":                        {steady: 3 * time.Second, quiet: 100 * time.Millisecond},
		"quiet":                                 {steady: 2 * time.Second, quiet: 600 * time.Millisecond, want: true},
		"packets arrive to the end":             {steady: 5600 * time.Millisecond, quiet: time.Millisecond, want: true},
		"suspended until shortly before a kill": {steady: 2 * time.Second, suspended: 3600 * time.Millisecond, quiet: time.Millisecond, want: true},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			start := time.Now()
			steady, boot := time.Duration(0), time.Duration(0)
			watch := startStopwatch(func() time.Time { return start.Add(steady) }, func() time.Duration { return boot })
			steady, boot = tc.steady, tc.steady+tc.suspended
			is.New(t).Equal(shutdownComplete(watch.elapsed(), tc.quiet, within), tc.want)
		})
	}
}
