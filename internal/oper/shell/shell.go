// Package shell implements the commands of the hawthorncourse program.
package shell

import (
	"context"
	"flag"
	"fmt"
	"io"
	"net/netip"
	"os"
	"os/user"
	"strings"
	"time"

	"github.com/google/subcommands"

	"hawthorncourse/internal/plat/object"
)

// Version is the version that the version command prints.
const Version = "0.1.0"

// Exit codes of all commands.
const (
	exitSuccess = subcommands.ExitSuccess
	exitFailure = subcommands.ExitFailure
	exitUsage   = subcommands.ExitUsageError
)

const commandTimeout = 15 * time.Second

// Register adds all commands to c.
func Register(c *subcommands.Commander) {
	c.Register(c.HelpCommand(), "")
	c.Register(c.CommandsCommand(), "")
	for _, cmd := range []subcommands.Command{&entryCommand{}, &relayCommand{}} {
		c.Register(cmd, "instances")
	}
	for _, cmd := range []subcommands.Command{&checkCommand{}, &applyCommand{}, &showCommand{}, &statusCommand{},
		newDrainCommand(), newRestoreCommand(), &consoleCommand{}, &explainCommand{}} {
		c.Register(cmd, "operators")
	}
	c.Register(&versionCommand{}, "")
}

// platformFlags holds the flags of commands that read or write the document on the platform.
type platformFlags struct {
	platform string
	author   string
}

func (p *platformFlags) setFlags(f *flag.FlagSet) {
	f.StringVar(&p.platform, "platform", os.Getenv("HAWTHORN_PLATFORM"), "URL of the platform's object API (or HAWTHORN_PLATFORM)")
	f.StringVar(&p.author, "author", currentUser(), "author recorded with the change")
}

func (p *platformFlags) client() *object.Client {
	return object.NewClient(p.platform, netip.Addr{})
}

// requirePlatform reports whether the platform URL is set, and prints an error if not.
func (p *platformFlags) requirePlatform() bool {
	if p.platform == "" {
		printError("Specify the platform with -platform or HAWTHORN_PLATFORM.")
		return false
	}
	return true
}

// currentUser returns the login name of the user who runs the command.
func currentUser() string {
	if u, err := user.Current(); err == nil {
		return u.Username
	}
	return "unknown"
}

// printError prints a formatted message to standard error.
func printError(format string, args ...any) {
	fmt.Fprintf(os.Stderr, format+"\n", args...)
}

// exitWithError prints an error as one sentence and returns exitFailure.
func exitWithError(err error) subcommands.ExitStatus {
	text := err.Error()
	printError("%s.", strings.TrimSuffix(strings.ToUpper(text[:1])+text[1:], "."))
	return exitFailure
}

func withCommandTimeout(ctx context.Context) (context.Context, context.CancelFunc) {
	return context.WithTimeout(ctx, commandTimeout)
}

// readInput reads a file, or standard input for "-".
func readInput(path string) ([]byte, error) {
	if path == "-" {
		return io.ReadAll(os.Stdin)
	}
	return os.ReadFile(path)
}

type versionCommand struct{}

func (*versionCommand) Name() string           { return "version" }
func (*versionCommand) Synopsis() string       { return "print the version" }
func (*versionCommand) Usage() string          { return "version\n" }
func (*versionCommand) SetFlags(*flag.FlagSet) {}
func (*versionCommand) Execute(context.Context, *flag.FlagSet, ...any) subcommands.ExitStatus {
	fmt.Println("hawthorncourse " + Version)
	return exitSuccess
}
