package model_test

import (
	"testing"

	"github.com/matryer/is"

	"hawthorncourse/internal/core/model"
)

func entry(id model.UpstreamID, rev model.Revision) model.Registration {
	return model.Registration{ID: id, Revision: rev}
}

// TestApply checks what a listing becomes by changes: in place, ended, new, unreadable and readable again.
func TestApply(t *testing.T) {
	is := is.New(t)
	have := model.Listing[model.Registration]{Items: []model.Registration{entry("a", 1), entry("b", 2), entry("c", 3)}, Unreadable: []string{"x", "y"}, Revision: 5}
	got := have.Apply(model.Changes[model.Registration]{
		Items: []model.Registration{entry("d", 9), entry("b", 8), entry("x", 7)}, Deleted: []string{"a", "y", "z"}, Unreadable: []string{"c"}, Revision: 9,
	}, model.UpstreamName)
	is.Equal(got, model.Listing[model.Registration]{
		Items: []model.Registration{entry("b", 8), entry("d", 9), entry("x", 7)}, Unreadable: []string{"c"}, Revision: 9,
	})
	is.Equal(have.Items[1], entry("b", 2))
}
