package shell

import (
	"bytes"
	"context"
	"errors"
	"flag"
	"fmt"
	"os"

	"github.com/google/subcommands"

	"hawthorncourse/internal/conf/config"
	"hawthorncourse/internal/conf/setup"
	"hawthorncourse/internal/core/model"
	"hawthorncourse/internal/oper/change"
	"hawthorncourse/platform"
)

// checkCommand validates a document, settings or route file.
type checkCommand struct {
	settings, relaySettings, relayRoutes bool
}

func (*checkCommand) Name() string     { return "check" }
func (*checkCommand) Synopsis() string { return "validate a document or settings file" }
func (*checkCommand) Usage() string {
	return "check [-settings | -relay-settings | -relay-routes] FILE\n  Print every error with its line and field.\n"
}

func (c *checkCommand) SetFlags(f *flag.FlagSet) {
	f.BoolVar(&c.settings, "settings", false, "FILE holds the settings of an entry instance")
	f.BoolVar(&c.relaySettings, "relay-settings", false, "FILE holds the settings of a relay instance")
	f.BoolVar(&c.relayRoutes, "relay-routes", false, "FILE holds a route configuration for relay instances")
}

func (c *checkCommand) Execute(_ context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	text, status := readFileArgument(f)
	if status != exitSuccess {
		return status
	}
	omitted, err := c.parse(text)
	for _, o := range omitted {
		printError("%s: %s: %s", o.Object, o.Field, o.Reason)
	}
	if err != nil {
		printError("%s", err)
	}
	if err != nil || len(omitted) > 0 {
		return exitFailure
	}
	fmt.Println("No errors found.")
	return exitSuccess
}

// parse parses text as the kind of file that the flags select. It returns the values that instances leave out.
func (c *checkCommand) parse(text []byte) (omitted []model.Omission, err error) {
	switch {
	case c.settings:
		_, err = setup.Parse(text)
	case c.relaySettings:
		_, err = platform.ParseSettings(text)
	case c.relayRoutes:
		var table model.RouteTable
		table, err = platform.ParseRoutes(text)
		omitted = table.Omitted
	default:
		_, err = config.Parse(text)
	}
	return omitted, err
}

// readFileArgument reads the file that the only argument names, or standard input for "-".
func readFileArgument(f *flag.FlagSet) ([]byte, subcommands.ExitStatus) {
	if f.NArg() != 1 {
		printError("Specify one file, or - for standard input.")
		return nil, exitUsage
	}
	text, err := readInput(f.Arg(0))
	if err != nil {
		return nil, exitWithError(err)
	}
	return text, exitSuccess
}

// applyCommand submits a document to the platform.
type applyCommand struct {
	platformFlags
	at uint64
}

func (*applyCommand) Name() string     { return "apply" }
func (*applyCommand) Synopsis() string { return "submit a document to the platform" }
func (*applyCommand) Usage() string {
	return "apply [-at VERSION] FILE\n  Submit a document; it is rejected if the document in force is no longer at VERSION.\n"
}

func (c *applyCommand) SetFlags(f *flag.FlagSet) {
	c.setFlags(f)
	f.Uint64Var(&c.at, "at", 0, "version that FILE is based on; 0 for the one in force now")
}

func (c *applyCommand) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	text, status := readFileArgument(f)
	if status != exitSuccess {
		return status
	}
	if !c.requirePlatform() {
		return exitUsage
	}
	ctx, cancel := withCommandTimeout(ctx)
	defer cancel()
	base, err := change.Read(ctx, c.client())
	if err != nil && !errors.Is(err, change.ErrNoDocument) && !errors.Is(err, change.ErrInvalidDocument) {
		return exitWithError(err)
	}
	if c.at != 0 && base.Version != model.Version(c.at) {
		return exitWithError(&change.ConflictError{Current: base})
	}
	return c.submit(ctx, base, text)
}

// submit writes text as the successor of base and prints the new version.
func (p *platformFlags) submit(ctx context.Context, base change.StoredDocument, text []byte) subcommands.ExitStatus {
	at, err := change.Submit(ctx, p.client(), base, text, p.author)
	if err != nil {
		return exitWithError(err)
	}
	fmt.Printf("Version %d is accepted.\n", at.Revision)
	return exitSuccess
}

// showCommand prints the active document.
type showCommand struct {
	platformFlags
}

func (*showCommand) Name() string     { return "show" }
func (*showCommand) Synopsis() string { return "print the document in force" }
func (*showCommand) Usage() string    { return "show\n  Print the document in force at the platform.\n" }

func (c *showCommand) SetFlags(f *flag.FlagSet) { c.setFlags(f) }

func (c *showCommand) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if !c.requirePlatform() {
		return exitUsage
	}
	ctx, cancel := withCommandTimeout(ctx)
	defer cancel()
	d, err := change.Read(ctx, c.client())
	if err != nil {
		return exitWithError(err)
	}
	fmt.Fprintf(os.Stderr, "Version %d by %s.\n", d.Version, d.Document.Author)
	fmt.Println(string(bytes.TrimSpace(d.Text)))
	return exitSuccess
}

// drainCommand takes an upstream or a failure domain out of service (drain) or brings it back (restore).
type drainCommand struct {
	platformFlags
	name, synopsis string
	// drain is the value that the command sets: true takes the entry out of service, false brings it back.
	drain            bool
	upstream, domain string
	note             string
}

func newDrainCommand() *drainCommand {
	return &drainCommand{name: "drain", synopsis: "take an upstream or a failure domain out of service", drain: true}
}

func newRestoreCommand() *drainCommand {
	return &drainCommand{name: "restore", synopsis: "bring an upstream or a failure domain back into service", drain: false}
}

func (c *drainCommand) Name() string     { return c.name }
func (c *drainCommand) Synopsis() string { return c.synopsis }
func (c *drainCommand) Usage() string {
	return c.name + " -upstream ID | -domain ID [-note TEXT]\n  " + c.synopsis + ".\n"
}

func (c *drainCommand) SetFlags(f *flag.FlagSet) {
	c.setFlags(f)
	f.StringVar(&c.upstream, "upstream", "", "upstream to change")
	f.StringVar(&c.domain, "domain", "", "failure domain to change")
	f.StringVar(&c.note, "note", "", "reason for the change, stored in the note of the entry")
}

func (c *drainCommand) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if (c.upstream == "") == (c.domain == "") || f.NArg() != 0 {
		printError("Specify either -upstream ID or -domain ID.")
		return exitUsage
	}
	if !c.requirePlatform() {
		return exitUsage
	}
	ctx, cancel := withCommandTimeout(ctx)
	defer cancel()
	base, err := change.Read(ctx, c.client())
	if err != nil {
		return exitWithError(err)
	}
	text, err := c.edit(base)
	if err != nil {
		return exitWithError(err)
	}
	return c.submit(ctx, base, text)
}

func (c *drainCommand) edit(base change.StoredDocument) ([]byte, error) {
	if c.domain != "" {
		return change.SetDomainOut(base, model.DomainID(c.domain), c.drain, c.note)
	}
	return change.SetUpstreamLeaving(base, model.UpstreamID(c.upstream), c.drain, c.note)
}
