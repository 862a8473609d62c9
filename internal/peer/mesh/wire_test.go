package mesh

import (
	"testing"

	"github.com/matryer/is"

	"hawthorncourse/internal/core/model"
)

// TestPosition checks how the version of a peer's object compares with this instance's.
func TestPosition(t *testing.T) {
	own := model.Position{Era: 2, Revision: 50}
	cases := map[string]struct {
		version, era uint64
		later        bool
	}{
		"higher version of the same era":            {version: 51, era: 2, later: true},
		"the same":                                  {version: 50, era: 2},
		"higher version of an earlier era":          {version: 88, era: 1},
		"lower version of a later era":              {version: 9, era: 3, later: true},
		"higher version, from a build without eras": {version: 51, later: true},
		"lower version, from a build without eras":  {version: 49},
		"no object": {},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			is.New(t).Equal(position(tc.version, tc.era, own).Compare(own) > 0, tc.later)
		})
	}
}
