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

// TestAccounted checks whether the changes of one kind explain every revision of the store from 11 to 14.
func TestAccounted(t *testing.T) {
	cases := map[string]struct {
		revisions []model.Revision
		want      bool
	}{
		"every revision":                      {revisions: []model.Revision{11, 12, 13, 14}, want: true},
		"in any order, and some twice":        {revisions: []model.Revision{14, 12, 12, 11, 13}, want: true},
		"with earlier and later ones":         {revisions: []model.Revision{9, 10, 11, 12, 13, 14, 15}, want: true},
		"one revision is of another kind":     {revisions: []model.Revision{11, 12, 14}},
		"the last one is of another kind":     {revisions: []model.Revision{11, 12, 13}},
		"the first one is of another kind":    {revisions: []model.Revision{12, 13, 14, 15}},
		"as many revisions, but not the same": {revisions: []model.Revision{9, 10, 11, 12}},
		"no change":                           {},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			is.New(t).Equal(fresh.Accounted(10, 14, tc.revisions), tc.want)
		})
	}
}
