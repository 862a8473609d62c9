package engine_test

import (
	"testing"

	"github.com/matryer/is"

	"hawthorncourse/internal/core/model"
)

// TestDocumentAfterRestore checks that a document written after a restore of the store is applied although its version is lower, and that one
// from before the restore is not.
func TestDocumentAfterRestore(t *testing.T) {
	is := is.New(t)
	a := newSingleInstance(t, nil)
	lost, later := *a.doc, *a.doc
	lost.Era, lost.Version = 1, 9
	later.Era, later.Version = 2, 5
	is.True(a.e.SetDocument(a.now, &lost))
	is.True(a.e.SetDocument(a.now, &later))
	is.True(!a.e.SetDocument(a.now, &lost))
	is.Equal(a.e.Version(), model.Version(5))
}
