package shell

import (
	"context"
	"flag"
	"io"
	"os"

	"github.com/google/subcommands"

	"hawthorncourse/internal/oper/story"
)

// explainCommand prints the history of one flow, reconstructed from logs.
type explainCommand struct{}

func (*explainCommand) Name() string     { return "explain" }
func (*explainCommand) Synopsis() string { return "explain from logs what happened to one flow" }
func (*explainCommand) Usage() string {
	return "explain FLOW [LOG...]\n  Explain what happened to a flow, identified by its caller's address and port, from the logs of all instances.\n" +
		"  Without LOG arguments, logs are read from standard input.\n  Example: hawthorncourse explain 100.64.0.7:40001 east-1.log east-2.log\n" +
		"  Exit codes: 0 success, 1 no log line mentions the flow or a log cannot be read, 2 usage error.\n"
}
func (*explainCommand) SetFlags(*flag.FlagSet) {}

func (*explainCommand) Execute(_ context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if f.NArg() == 0 {
		printError("Specify a flow by its caller's address and port, such as 100.64.0.7:40001.")
		return exitUsage
	}
	entries, err := readLogs(f.Args()[1:])
	if err != nil {
		return exitWithError(err)
	}
	explanation, err := story.Explain(entries, f.Arg(0))
	if err != nil {
		return exitWithError(err)
	}
	explanation.Write(os.Stdout)
	return exitSuccess
}

// readLogs reads every file, or standard input if paths is empty.
func readLogs(paths []string) (all []story.Entry, err error) {
	if len(paths) == 0 {
		return story.Read(os.Stdin)
	}
	var logs []io.Reader
	for _, path := range paths {
		file, err := os.Open(path)
		if err != nil {
			return nil, err
		}
		defer file.Close()
		logs = append(logs, file)
	}
	return story.Read(io.MultiReader(logs...))
}
