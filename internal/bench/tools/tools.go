// Package tools holds the commands of the load and experiment tool.
package tools

import (
	"context"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"

	"github.com/google/subcommands"
	"github.com/rotisserie/eris"
)

// Register adds every command.
func Register(c *subcommands.Commander) {
	c.Register(c.HelpCommand(), "")
	c.Register(c.CommandsCommand(), "")
	c.Register(&demoCommand{}, "")
	c.Register(&balanceCommand{}, "")
	c.Register(&slopesCommand{}, "")
	c.Register(&flowsCommand{}, "")
	c.Register(&pathCommand{}, "")
}

func fail(err error) subcommands.ExitStatus {
	fmt.Fprintln(os.Stderr, err)
	return subcommands.ExitFailure
}

// program returns the program of the entry processes: the one beside this program, or one built into dir.
func program(ctx context.Context, dir string) (path string, err error) {
	defer func() {
		if err != nil {
			err = eris.Wrap(err, "find the program of the entry processes")
		}
	}()
	self, err := os.Executable()
	if err != nil {
		return "", err
	}
	path = filepath.Join(filepath.Dir(self), "hawthorncourse")
	if _, err := os.Stat(path); err == nil {
		return path, nil
	}
	path = filepath.Join(dir, "hawthorncourse")
	out, err := exec.CommandContext(ctx, "go", "build", "-o", path, "hawthorncourse/cmd/hawthorncourse").CombinedOutput()
	if err != nil {
		return "", eris.Wrap(err, string(out))
	}
	return path, nil
}
