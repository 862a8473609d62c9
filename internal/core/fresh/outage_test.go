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
		// restored is set if the store was restored from an older copy before the last confirmation.
		restored bool
		want     time.Duration
	}{
		"first confirmation after start":              {confirmed: []float64{5}, want: grace},
		"regular confirmations":                       {confirmed: []float64{5, 6, 7, 8, 9}},
		"one read delayed by a retry":                 {confirmed: []float64{5, 6, 7, 8, 9.8}, want: grace},
		"regular again after the grace period":        {confirmed: []float64{5, 8, 9, 10, 11}},
		"reader in its grace period":                  {confirmed: []float64{5, 6, 7, 8, 9}, peerGrace: time.Second, want: time.Second},
		"no confirmation during an outage":            {confirmed: []float64{5, 6, 7, 8, 13}, want: grace},
		"a restore between two regular confirmations": {confirmed: []float64{5, 6, 7, 8, 9}, restored: true, want: grace},
		"second confirmation after an outage":         {confirmed: []float64{5, 8, 9}, want: grace - time.Second},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			tracker := fresh.NewOutageTracker(maxStaleness, grace)
			var graceLeft time.Duration
			for n, s := range tc.confirmed {
				now, era := model.Instant(s*float64(time.Second)), model.Era(1)
				if tc.restored && n == len(tc.confirmed)-1 {
					era++
				}
				graceLeft = tracker.Confirm(now, now, era, 0)
			}
			if tc.peerGrace > 0 {
				now := model.Instant(tc.confirmed[len(tc.confirmed)-1] * float64(time.Second))
				graceLeft = tracker.Confirm(now, now, 1, tc.peerGrace)
			}
			is.Equal(graceLeft, tc.want)
		})
	}
}
