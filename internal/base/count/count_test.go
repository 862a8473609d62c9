package count_test

import (
	"bytes"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"hawthorncourse/internal/base/count"
)

// TestHistogramText checks that a histogram is written with its buckets, its sum and its count, and that the sum is no counter of its own.
func TestHistogramText(t *testing.T) {
	is := is.New(t)
	s := count.New()
	h := s.Latency("answer")
	for _, ms := range []int{3, 5, 12} {
		h.RecordDuration(time.Duration(ms) * time.Millisecond)
	}
	is.NoErr(s.Close())
	var out bytes.Buffer
	s.WriteText(&out)
	text := out.String()
	for _, want := range []string{
		"hawthorncourse_answer_seconds_sum 0.02\n", "hawthorncourse_answer_seconds_count 3\n",
		"hawthorncourse_answer_seconds_bucket{le=\"0.008\"} 2\n", "hawthorncourse_answer_seconds_bucket{le=\"+Inf\"} 3\n",
	} {
		if !strings.Contains(text, want) {
			t.Errorf("missing %q in\n%s", want, text)
		}
	}
	is.Equal(len(s.Totals()), 0)
}
