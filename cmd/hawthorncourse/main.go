// Command hawthorncourse runs a load balancer instance (entry or relay) or one of the operators' commands.
package main

import (
	"context"
	"flag"
	"os"

	"github.com/google/subcommands"

	"hawthorncourse/internal/oper/shell"
)

func main() {
	c := subcommands.NewCommander(flag.CommandLine, "hawthorncourse")
	shell.Register(c)
	flag.Parse()
	os.Exit(int(c.Execute(context.Background())))
}
