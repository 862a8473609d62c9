// Package tools holds the commands of the load and experiment tool.
package tools

import (
	"context"
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"github.com/google/subcommands"
	"github.com/rotisserie/eris"

	"hawthorncourse/internal/bench/build"
	"hawthorncourse/internal/bench/fleet"
)

// Register adds every command.
func Register(c *subcommands.Commander) {
	c.Register(c.HelpCommand(), "")
	c.Register(c.CommandsCommand(), "")
	for _, cmd := range []*command{newDemo(), newBalance(), newSlopes(), newFlows(), newPath(), newReplay()} {
		c.Register(cmd, "")
	}
}

// command is one experiment as a command.
type command struct {
	name, synopsis, usage string
	flags                 func(*flag.FlagSet)
	run                   func(context.Context) error
}

// Name implements subcommands.Command.
func (c *command) Name() string { return c.name }

// Synopsis implements subcommands.Command.
func (c *command) Synopsis() string { return c.synopsis }

// Usage implements subcommands.Command.
func (c *command) Usage() string { return c.name + " " + c.usage + "\n" }

// SetFlags implements subcommands.Command.
func (c *command) SetFlags(f *flag.FlagSet) { c.flags(f) }

// Execute implements subcommands.Command.
func (c *command) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if err := c.run(ctx); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return subcommands.ExitFailure
	}
	return subcommands.ExitSuccess
}

// withFleet runs an experiment on a fleet that has the document in force, and ends the fleet.
func withFleet(ctx context.Context, cfg fleet.Config, run func(*fleet.Fleet) error) (err error) {
	dir, err := os.MkdirTemp("", "hawthornbench")
	if err != nil {
		return err
	}
	defer func() { _ = os.RemoveAll(dir) }()
	if cfg.Binary, err = entryBinary(ctx, dir); err != nil {
		return err
	}
	cfg.Dir = dir
	f, err := fleet.Start(ctx, cfg)
	if err != nil {
		return err
	}
	defer f.Close()
	startCtx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	if err := f.AwaitVersion(startCtx, 1); err != nil {
		return err
	}
	return run(f)
}

const startTimeout = 2 * time.Minute

// entryBinary returns the path of the program of the entry processes: the one beside this program, or one built into dir.
func entryBinary(ctx context.Context, dir string) (path string, err error) {
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
	return build.Program(ctx, dir)
}
