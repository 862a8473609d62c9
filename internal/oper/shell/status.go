package shell

import (
	"context"
	"flag"
	"fmt"
	"os"
	"strconv"
	"text/tabwriter"

	"github.com/google/subcommands"

	"hawthorncourse/internal/oper/status"
)

// statusCommand prints the status reports of instances.
type statusCommand struct {
	counters, relay bool
}

func (*statusCommand) Name() string     { return "status" }
func (*statusCommand) Synopsis() string { return "print the status of instances" }
func (*statusCommand) Usage() string {
	return "status [-counters | -relay] ADDRESS [ADDRESS ...]\n  Fetch status from entry instances at their admin addresses, or from relay instances at their metrics addresses.\n"
}

func (c *statusCommand) SetFlags(f *flag.FlagSet) {
	f.BoolVar(&c.counters, "counters", false, "also print all counters")
	f.BoolVar(&c.relay, "relay", false, "the addresses are metrics addresses of relay instances")
}

func (c *statusCommand) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if f.NArg() == 0 {
		printError("Specify the address of at least one instance.")
		return exitUsage
	}
	exitStatus := exitSuccess
	for _, addr := range f.Args() {
		if err := c.printInstance(ctx, addr); err != nil {
			exitStatus = exitWithError(err)
		}
	}
	return exitStatus
}

// printInstance fetches and prints the report of one instance.
func (c *statusCommand) printInstance(ctx context.Context, addr string) error {
	if c.relay {
		w, err := status.FetchRelay(ctx, addr)
		if err == nil {
			printRelay(w)
		}
		return err
	}
	w, err := status.Fetch(ctx, addr)
	if err == nil {
		c.printEntry(w)
	}
	return err
}

// printRelay prints the report of a relay instance.
func printRelay(w status.WireRelayReport) {
	fmt.Printf("%s in %s: ready %t, configuration %d with %d routes, store at era %d, revision %d confirmed %d ms ago, number %d of %d, %d flows\n",
		w.Instance, w.Domain, w.Ready, w.Version, w.Routes, w.Era, w.Revision, w.AgeMs, w.OrdinalIndex, w.OrdinalCount, w.Flows)
	if len(w.DomainsOut) > 0 {
		fmt.Printf("  failure domains out: %v\n", w.DomainsOut)
	}
	if len(w.Unreadable) > 0 {
		fmt.Printf("  entries that cannot be read: %v\n", w.Unreadable)
	}
	printRoutes(w)
	tw := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintln(tw, "  upstream\tservice\tdomain\taddress\tstate\tdraining\tcold\treachable\trunning\tflows\tanswer")
	for _, u := range w.Upstreams {
		fmt.Fprintf(tw, "  %s\t%s\t%s\t%s\t%s\t%t\t%t\t%t\t%d\t%d\t%d ms\n",
			u.ID, u.Service, u.Domain, u.Address, u.State, u.Draining, u.Cold, u.Reachable, u.Running, u.Flows, u.AnswerMs)
	}
	_ = tw.Flush()
}

// printRoutes prints the routes and the services that have a health path, if the instance reports them.
func printRoutes(w status.WireRelayReport) {
	tw := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	if len(w.RouteList) > 0 {
		fmt.Fprintln(tw, "  route\taddress\tkind\tpriority\ttarget latency\ttimeout")
	}
	for _, r := range w.RouteList {
		fmt.Fprintf(tw, "  %s\t%s\t%s\t%d\t%s\t%s\n", r.Name, r.Address, r.Kind, r.Priority, formatMs(r.TargetMs), formatMs(r.TimeoutMs))
	}
	_ = tw.Flush()
	for _, s := range w.ServiceList {
		if s.HealthPath != "" {
			fmt.Printf("  health path of service %s: %s\n", s.ID, s.HealthPath)
		}
	}
}

// formatMs formats a time in milliseconds, of which zero means that none is stated.
func formatMs(ms float64) string {
	if ms == 0 {
		return "not stated"
	}
	return strconv.FormatFloat(ms, 'f', -1, 64) + " ms"
}

// printEntry prints the report of an entry instance.
func (c *statusCommand) printEntry(w status.WireReport) {
	fmt.Printf("%s in %s: document version %d, keys version %d\n", w.Instance, w.Domain, w.Document, w.Keys)
	tw := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintln(tw, "  instance\tdomain\tstate")
	for _, m := range w.Members {
		fmt.Fprintf(tw, "  %s\t%s\t%s\n", m.ID, m.Domain, m.State)
	}
	fmt.Fprintln(tw, "  upstream\tservice\tdomain\towned\tusable\trunning\tstreams\tcold\tunsure\tclosed")
	for _, u := range w.Upstreams {
		fmt.Fprintf(tw, "  %s\t%s\t%s\t%d\t%d\t%d\t%d\t%t\t%t\t%t\n",
			u.ID, u.Service, u.Domain, u.Owned, u.Limit, u.Running, u.Streams, u.Cold, u.Unsure, u.Closed)
	}
	if c.counters {
		for _, n := range w.Counters {
			fmt.Fprintf(tw, "  %s\t%d\n", n.Name, n.Value)
		}
	}
	_ = tw.Flush()
}
