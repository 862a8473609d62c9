package model_test

import (
	"testing"

	"github.com/matryer/is"

	"hawthorncourse/internal/core/model"
)

func reg(id model.UpstreamID, rev model.Revision) model.Registration {
	return model.Registration{ID: id, Revision: rev}
}

// TestApply checks that changes replace, delete and add items, and that items become unreadable and readable again.
func TestApply(t *testing.T) {
	is := is.New(t)
	have := model.Listing[model.Registration]{Items: []model.Registration{reg("a", 1), reg("b", 2), reg("c", 3)}, Unreadable: []string{"x", "y"}, Revision: 5}
	got := have.Apply(model.Changes[model.Registration]{
		Items: []model.Registration{reg("d", 9), reg("b", 8), reg("x", 7)}, Deleted: []string{"a", "y", "z"}, Unreadable: []string{"c"}, Revision: 9,
	}, model.UpstreamName)
	is.Equal(got, model.Listing[model.Registration]{
		Items: []model.Registration{reg("b", 8), reg("d", 9), reg("x", 7)}, Unreadable: []string{"c"}, Revision: 9,
	})
	is.Equal(have.Items[1], reg("b", 2))
}
