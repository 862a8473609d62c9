// Package tools implements the commands of hawthornbench, the tool for load tests and experiments.
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

// Register registers all commands.
func Register(c *subcommands.Commander) {
	c.Register(c.HelpCommand(), "")
	c.Register(c.CommandsCommand(), "")
	for _, cmd := range []*command{newDemo(), newBalance(), newSlopes(), newFlows(), newPath(), newReplay()} {
		c.Register(cmd, "")
	}
}

// command is an experiment as a subcommand of hawthornbench. It implements subcommands.Command.
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

// withFleet starts a fleet, waits until all instances have applied the document, calls run and closes the fleet.
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

// startTimeout is the maximum time until all instances have applied the document.
const startTimeout = 2 * time.Minute

// entryBinary returns the path of the hawthorncourse program that the entry processes run: the one in the folder of this executable,
// or else one compiled into dir.
func entryBinary(ctx context.Context, dir string) (path string, err error) {
	defer func() {
		if err != nil {
			err = eris.Wrap(err, "find the hawthorncourse program")
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
