package fresh_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"hawthorncourse/internal/core/fresh"
	"hawthorncourse/internal/core/model"
)

// TestOutageTracker checks the grace period that remains after a series of confirmations.
func TestOutageTracker(t *testing.T) {
	const grace = 2500 * time.Millisecond
	cases := map[string]struct {
		// confirmed holds the times, in seconds, at which the store confirmed the data; each reaches the instance without delay.
		confirmed []float64
		peerGrace time.Duration
		want      time.Duration
	}{
		"first confirmation after start":       {confirmed: []float64{5}, want: grace},
		"regular confirmations":                {confirmed: []float64{5, 6, 7, 8, 9}},
		"one read delayed by a retry":          {confirmed: []float64{5, 6, 7, 8, 9.8}, want: grace},
		"regular again after the grace period": {confirmed: []float64{5, 8, 9, 10, 11}},
		"reader in its grace period":           {confirmed: []float64{5, 6, 7, 8, 9}, peerGrace: time.Second, want: time.Second},
		"no confirmation during an outage":     {confirmed: []float64{5, 6, 7, 8, 13}, want: grace},
		"second confirmation after an outage":  {confirmed: []float64{5, 8, 9}, want: grace - time.Second},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			tracker := fresh.NewOutageTracker(maxStaleness, grace)
			var graceLeft time.Duration
			for _, s := range tc.confirmed {
				now := model.Instant(s * float64(time.Second))
				graceLeft = tracker.Confirm(now, now, 0)
			}
			if tc.peerGrace > 0 {
				now := model.Instant(tc.confirmed[len(tc.confirmed)-1] * float64(time.Second))
				graceLeft = tracker.Confirm(now, now, tc.peerGrace)
			}
			is.Equal(graceLeft, tc.want)
		})
	}
}
