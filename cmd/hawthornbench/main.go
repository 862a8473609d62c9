// Command hawthornbench runs experiments on entry processes and stand-ins for everything around them.
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
