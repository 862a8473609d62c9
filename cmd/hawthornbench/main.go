// Command hawthornbench runs load tests and experiments on hawthorncourse processes, with fakes for the platform, the upstreams and the callers.
package main

import (
	"context"
	"flag"
	"os"
	"os/signal"
	"syscall"

	"github.com/google/subcommands"

	"hawthorncourse/internal/bench/tools"
)

func main() {
	c := subcommands.NewCommander(flag.CommandLine, "hawthornbench")
	tools.Register(c)
	flag.Parse()
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	status := c.Execute(ctx)
	stop()
	os.Exit(int(status))
}
