// Package build compiles the hawthorncourse program for experiments and end-to-end tests.
package build

import (
	"context"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"

	"github.com/rotisserie/eris"
)

// WithProgram compiles the hawthorncourse program into a temporary directory, calls run with its path and returns the exit code of run. The
// exit code is 1 if the program cannot be compiled. Packages with end-to-end tests call it from TestMain.
func WithProgram(run func(path string) int) int {
	dir, err := os.MkdirTemp("", "hawthorncourse")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer func() { _ = os.RemoveAll(dir) }()
	path, err := Program(context.Background(), dir)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	return run(path)
}

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
