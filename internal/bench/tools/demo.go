package tools

import (
	"context"
	"flag"
	"io"
	"os"
	"path/filepath"

	"github.com/rotisserie/eris"

	"hawthorncourse/internal/bench/demo"
	"hawthorncourse/internal/bench/fleet"
	"hawthorncourse/internal/bench/report"
)

// demoCommand runs the demo on one or both set-ups and writes its report.
type demoCommand struct {
	setup                     string
	out                       string
	streams, bookers, readers int
	seed                      uint64
}

func newDemo() *command {
	c := &demoCommand{}
	return &command{
		name:     "demo",
		synopsis: "run the users' set-ups through the operations and faults of a day",
		usage:    "[-setup regie|ikirere|both] [-out DIR]\n  Exit with status 1 if an invariant was violated.",
		flags:    c.setFlags,
		run:      c.run,
	}
}

const (
	demoStreams = 200
	demoBookers = 10
	demoReaders = 6
)

func (c *demoCommand) setFlags(f *flag.FlagSet) {
	f.StringVar(&c.setup, "setup", "both", "set-up to run: regie, ikirere or both")
	f.StringVar(&c.out, "out", "out", "folder for report.json, report.html and the logs of the instances")
	f.IntVar(&c.streams, "streams", demoStreams, "callers of each service that keep a stream open")
	f.IntVar(&c.bookers, "bookers", demoBookers, "callers of each service that send bookings")
	f.IntVar(&c.readers, "readers", demoReaders, "callers of each service that send reads")
	f.Uint64Var(&c.seed, "seed", 1, "seed of all random number generators")
}

// setups maps the values of the -setup flag to set-ups.
var setups = map[string][]fleet.Setup{
	"regie":   {fleet.Regie()},
	"ikirere": {fleet.Ikirere()},
	"both":    {fleet.Regie(), fleet.Ikirere()},
}

// errViolation is returned if a run has violated an invariant; the report lists the violations.
var errViolation = eris.New("an invariant was violated; see the report")

func (c *demoCommand) run(ctx context.Context) error {
	list := setups[c.setup]
	if list == nil {
		return eris.Errorf("unknown set-up %q; must be regie, ikirere or both", c.setup)
	}
	var runs []report.Run
	for _, setup := range list {
		run, err := c.runSetup(ctx, setup)
		if err != nil {
			return err
		}
		runs = append(runs, run)
	}
	report.WriteText(os.Stdout, runs)
	if err := c.write(runs); err != nil {
		return err
	}
	for _, r := range runs {
		if len(r.Breaches) > 0 {
			return errViolation
		}
	}
	return nil
}

func (c *demoCommand) runSetup(ctx context.Context, setup fleet.Setup) (run report.Run, err error) {
	dir := filepath.Join(c.out, setup.Name)
	if err := os.MkdirAll(dir, 0o750); err != nil {
		return run, err
	}
	binary, err := entryBinary(ctx, c.out)
	if err != nil {
		return run, err
	}
	return demo.Run(ctx, demo.Config{
		Setup:   setup,
		Binary:  binary,
		Dir:     dir,
		Streams: c.streams,
		Bookers: c.bookers,
		Readers: c.readers,
		Seed:    c.seed,
		Out:     os.Stderr,
	})
}

func (c *demoCommand) write(runs []report.Run) error {
	if err := writeFile(filepath.Join(c.out, "report.json"), runs, report.WriteJSON); err != nil {
		return err
	}
	return writeFile(filepath.Join(c.out, "report.html"), runs, report.WritePage)
}

func writeFile(path string, runs []report.Run, write func(io.Writer, []report.Run) error) (err error) {
	f, err := os.Create(path)
	if err != nil {
		return err
	}
	defer func() {
		if closeErr := f.Close(); err == nil {
			err = closeErr
		}
	}()
	return write(f, runs)
}
