package shell

import (
	"context"
	"flag"
	"os"
	"os/signal"
	"syscall"

	"github.com/google/subcommands"

	"hawthorncourse/internal/base/logs"
	"hawthorncourse/internal/conf/setup"
	"hawthorncourse/internal/run/entry"
)

// entryCommand runs one entry instance, which forwards callers' packets to upstreams and the answers back to the callers.
type entryCommand struct {
	settings string
}

func (*entryCommand) Name() string     { return "entry" }
func (*entryCommand) Synopsis() string { return "run one entry instance" }
func (*entryCommand) Usage() string {
	return "entry -settings FILE\n  Run one entry instance; SIGTERM starts a graceful shutdown.\n"
}

func (c *entryCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.settings, "settings", "", "settings file of the instance")
}

func (c *entryCommand) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if c.settings == "" {
		printError("Specify the settings file with -settings FILE.")
		return exitUsage
	}
	cfg, err := setup.Load(c.settings)
	if err != nil {
		return exitWithError(err)
	}
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGTERM, os.Interrupt)
	defer stop()
	e, err := entry.New(cfg, logs.New(os.Stderr, cfg.LogLevel))
	if err != nil {
		return exitWithError(err)
	}
	if err := e.Run(ctx); err != nil {
		return exitWithError(err)
	}
	return exitSuccess
}
