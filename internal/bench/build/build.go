// Package build compiles the hawthorncourse program for experiments and end-to-end tests.
package build

import (
	"context"
	"os/exec"
	"path/filepath"

	"github.com/rotisserie/eris"
)

// Program compiles the hawthorncourse program into dir and returns its absolute path.
func Program(ctx context.Context, dir string) (path string, err error) {
	if path, err = filepath.Abs(filepath.Join(dir, "hawthorncourse")); err != nil {
		return "", err
	}
	out, err := exec.CommandContext(ctx, "go", "build", "-o", path, "hawthorncourse/cmd/hawthorncourse").CombinedOutput()
	if err != nil {
		return "", eris.Wrapf(err, "build hawthorncourse: %s", out)
	}
	return path, nil
}
