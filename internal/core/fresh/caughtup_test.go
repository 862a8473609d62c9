package fresh_test

import (
	"testing"

	"github.com/matryer/is"

	"hawthorncourse/internal/core/fresh"
	"hawthorncourse/internal/core/model"
)

// TestCaughtUp checks changes of three kinds of objects against a store at revision 20.
func TestCaughtUp(t *testing.T) {
	cases := map[string]struct {
		newest   model.Revision
		complete []model.Revision
		want     bool
	}{
		"last change seen":               {newest: 20, complete: []model.Revision{20, 20, 20}, want: true},
		"store changed during the reads": {newest: 22, complete: []model.Revision{22, 21, 20}, want: true},
		"one kind incomplete":            {newest: 20, complete: []model.Revision{20, 19, 20}},
		"last change not seen":           {newest: 19, complete: []model.Revision{20, 20, 20}},
		"no changes seen":                {complete: []model.Revision{20, 20, 20}},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			is.New(t).Equal(fresh.CaughtUp(20, tc.newest, tc.complete...), tc.want)
		})
	}
}
