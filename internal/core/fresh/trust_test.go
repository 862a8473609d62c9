package fresh_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"hawthorncourse/internal/core/fresh"
	"hawthorncourse/internal/core/model"
)

// TestTrust replays when confirmations reach an instance, and checks for how long the last one leaves missing entries open.
func TestTrust(t *testing.T) {
	const grace = 2500 * time.Millisecond
	cases := map[string]struct {
		// confirmed are the seconds at which the store confirmed; each is heard at once.
		confirmed []float64
		told      time.Duration
		want      time.Duration
	}{
		"the first word after a start":         {confirmed: []float64{5}, want: grace},
		"a steady rhythm":                      {confirmed: []float64{5, 6, 7, 8, 9}},
		"one read had to be repeated":          {confirmed: []float64{5, 6, 7, 8, 9.8}, want: grace},
		"a rhythm that is steady again":        {confirmed: []float64{5, 8, 9, 10, 11}},
		"the reader itself is unsure":          {confirmed: []float64{5, 6, 7, 8, 9}, told: time.Second, want: time.Second},
		"nothing was heard through an outage":  {confirmed: []float64{5, 6, 7, 8, 13}, want: grace},
		"soon after an outage, not long after": {confirmed: []float64{5, 8, 9}, want: grace - time.Second},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			trust := fresh.NewOutageTracker(bound, grace)
			var unsure time.Duration
			for _, s := range tc.confirmed {
				now := model.Instant(s * float64(time.Second))
				unsure = trust.Confirm(now, now, 0)
			}
			if tc.told > 0 {
				now := model.Instant(tc.confirmed[len(tc.confirmed)-1] * float64(time.Second))
				unsure = trust.Confirm(now, now, tc.told)
			}
			is.Equal(unsure, tc.want)
		})
	}
}
