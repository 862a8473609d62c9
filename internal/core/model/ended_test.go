package model_test

import (
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"hawthorncourse/internal/core/model"
)

// TestEndedDigest guards against lists that are sent again although nothing has changed, and against changes that are not sent.
func TestEndedDigest(t *testing.T) {
	run := func(id model.UpstreamID, boot model.BootID, service model.ServiceID) model.EndedRun {
		return model.EndedRun{Registration: model.Registration{ID: id, Boot: boot, Service: service}}
	}
	list := []model.EndedRun{run("a", 1, "desk"), run("b", 1, "desk")}
	cases := map[string]struct {
		edit func([]model.EndedRun) []model.EndedRun
		same bool
	}{
		"another order":   {edit: func(l []model.EndedRun) []model.EndedRun { slices.Reverse(l); return l }, same: true},
		"other ages":      {edit: func(l []model.EndedRun) []model.EndedRun { l[0].Age = time.Second; return l }, same: true},
		"replaced":        {edit: func(l []model.EndedRun) []model.EndedRun { l[0].Replaced = true; return l }},
		"the other":       {edit: func(l []model.EndedRun) []model.EndedRun { l[1].Replaced = true; return l }},
		"another run":     {edit: func(l []model.EndedRun) []model.EndedRun { l[0].Boot = 2; return l }},
		"another service": {edit: func(l []model.EndedRun) []model.EndedRun { l[0].Service = "claims"; return l }},
		"one fewer":       {edit: func(l []model.EndedRun) []model.EndedRun { return l[1:] }},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			is.New(t).Equal(model.EndedDigest(tc.edit(slices.Clone(list))) == model.EndedDigest(list), tc.same)
		})
	}
	is.New(t).Equal(model.EndedDigest(nil), uint64(0))
}
