package stage_test

import (
	"context"
	"path/filepath"
	"testing"
	"time"

	"github.com/matryer/is"

	"hawthorncourse/internal/stand/stage"
)

// TestFailedStart checks that an environment whose first process cannot be started reports the error and closes what it has started.
func TestFailedStart(t *testing.T) {
	is := is.New(t)
	_, err := stage.New(context.Background(), stage.Config{
		Binary: filepath.Join(t.TempDir(), "missing"), Dir: t.TempDir(), Subnet: 39, Domains: []string{"east"}, Instances: 1, MaxStaleness: time.Second,
	})
	is.True(err != nil)
}
