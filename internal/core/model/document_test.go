package model_test

import (
	"testing"

	"github.com/matryer/is"

	"hawthorncourse/internal/core/model"
)

func TestDocumentDerivesFrom(t *testing.T) {
	doc := &model.Document{Operation: "c", Earlier: []string{"b", "a"}}
	cases := map[string]struct {
		other model.Document
		want  bool
	}{
		"the preceding one":                      {other: model.Document{Operation: "b", Earlier: []string{"a"}}, want: true},
		"the first one":                          {other: model.Document{Operation: "a"}, want: true},
		"the same":                               {other: model.Document{Operation: "c", Earlier: []string{"b", "a"}}},
		"an update of the preceding one":         {other: model.Document{Operation: "d", Earlier: []string{"b", "a"}}},
		"one that was written by other programs": {},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			is.New(t).Equal(doc.DerivesFrom(&tc.other), tc.want)
		})
	}
}
