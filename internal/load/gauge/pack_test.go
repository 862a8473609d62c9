package gauge_test

import (
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"hawthorncourse/internal/load/gauge"
)

// TestPackRoundTrip checks that a list of reports keeps its order and its sums, and that what is invalid becomes unknown.
func TestPackRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		is := is.New(t)
		number := rapid.OneOf(rapid.IntRange(-2, 70_000), rapid.Int())
		reports := rapid.SliceOf(rapid.Custom(func(t *rapid.T) gauge.Report {
			return gauge.Report{Running: number.Draw(t, "running"), Queued: number.Draw(t, "queued"), Slots: rapid.IntRange(0, 3).Draw(t, "slots")}
		})).Draw(t, "reports")
		packed := gauge.Pack(reports)
		is.Equal(len(packed), 2*len(reports))
		works, ok := gauge.Unpack(packed)
		is.True(ok)
		is.Equal(len(works), len(reports))
		for i, r := range reports {
			is.Equal(works[i].Known, r.Valid())
			if r.Valid() {
				is.Equal(works[i].Sum, min(r.Running+r.Queued, gauge.MaxPacked))
			}
		}
	})
}

// TestUnpackAnyBytes checks that any bytes of an even length are a list of loads within bounds, and that an odd length is none.
func TestUnpackAnyBytes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		is := is.New(t)
		packed := rapid.SliceOf(rapid.Byte()).Draw(t, "packed")
		works, ok := gauge.Unpack(packed)
		is.Equal(ok, len(packed)%2 == 0)
		for _, w := range works {
			is.True(w.Sum >= 0 && w.Sum <= gauge.MaxPacked && (w.Known || w.Sum == 0))
		}
	})
}
