package fresh_test

import (
	"testing"

	"github.com/matryer/is"

	"hawthorncourse/internal/core/fresh"
	"hawthorncourse/internal/core/model"
)

// TestExplained replays what three kinds say of a store that is at revision 20.
func TestExplained(t *testing.T) {
	cases := map[string]struct {
		newest   model.Revision
		complete []model.Revision
		want     bool
	}{
		"the last change was seen":                {newest: 20, complete: []model.Revision{20, 20, 20}, want: true},
		"more has changed meanwhile":              {newest: 22, complete: []model.Revision{22, 21, 20}, want: true},
		"one kind ends before":                    {newest: 20, complete: []model.Revision{20, 19, 20}},
		"the last change is of no kind":           {newest: 19, complete: []model.Revision{20, 20, 20}},
		"nothing is told although much has moved": {complete: []model.Revision{20, 20, 20}},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			is.New(t).Equal(fresh.CaughtUp(20, tc.newest, tc.complete...), tc.want)
		})
	}
}
