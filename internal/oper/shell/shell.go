// Package shell holds the commands of the program.
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

// Version is the version of the program.
const Version = "0.1.0"

// The exit codes of every command.
const (
	exitDone    = subcommands.ExitSuccess
	exitRefused = subcommands.ExitFailure
	exitUsage   = subcommands.ExitUsageError
)

const commandTimeout = 15 * time.Second

// Register adds every command.
func Register(c *subcommands.Commander) {
	c.Register(c.HelpCommand(), "")
	c.Register(c.CommandsCommand(), "")
	for _, cmd := range []subcommands.Command{&entryCommand{}, &relayCommand{}} {
		c.Register(cmd, "instances")
	}
	for _, cmd := range []subcommands.Command{&checkCommand{}, &applyCommand{}, &showCommand{}, &statusCommand{}, newDrain(), newRestore(), &consoleCommand{}, &explainCommand{}} {
		c.Register(cmd, "operators")
	}
	c.Register(&versionCommand{}, "")
}

// remote holds the flags of commands that speak to the platform.
type remote struct {
	platform string
	author   string
}

func (r *remote) setFlags(f *flag.FlagSet) {
	f.StringVar(&r.platform, "platform", os.Getenv("HAWTHORN_PLATFORM"), "URL of the platform's object API (or HAWTHORN_PLATFORM)")
	f.StringVar(&r.author, "author", login(), "name that the change is known by")
}

func (r *remote) client() *object.Client {
	return object.NewClient(r.platform, netip.Addr{})
}

// usable reports whether the platform is named, and says what to do if not.
func (r *remote) usable() bool {
	if r.platform == "" {
		fail("Name the platform with -platform or HAWTHORN_PLATFORM.")
		return false
	}
	return true
}

func login() string {
	if u, err := user.Current(); err == nil {
		return u.Username
	}
	return "unknown"
}

func fail(format string, args ...any) {
	fmt.Fprintf(os.Stderr, format+"\n", args...)
}

// failWith prints an error as one sentence.
func failWith(err error) subcommands.ExitStatus {
	text := err.Error()
	fail("%s.", strings.TrimSuffix(strings.ToUpper(text[:1])+text[1:], "."))
	return exitRefused
}

func timed(ctx context.Context) (context.Context, context.CancelFunc) {
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
	return exitDone
}
