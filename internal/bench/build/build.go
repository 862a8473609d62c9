// Package build makes the program of the instances for experiments and proofs.
package build

import (
	"context"
	"os/exec"
	"path/filepath"

	"github.com/rotisserie/eris"
)

// Program builds the program into the folder and returns its path.
func Program(ctx context.Context, dir string) (path string, err error) {
	if path, err = filepath.Abs(filepath.Join(dir, "hawthorncourse")); err != nil {
		return "", err
	}
	out, err := exec.CommandContext(ctx, "go", "build", "-o", path, "hawthorncourse/cmd/hawthorncourse").CombinedOutput()
	if err != nil {
		return "", eris.Wrapf(err, "build the program: %s", out)
	}
	return path, nil
}
