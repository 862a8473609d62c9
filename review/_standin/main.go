// Command standin runs one review case: it starts relay instances as processes, with stand-ins of the platform's store, routers, upstreams and
// callers around them, injects the disruption of the case and checks one rule from what callers and upstreams have seen.
//
// It exits with 1 if the rule was broken, with 0 if it held, and with 2 if the case could not run.
package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"time"
)

// The exit codes.
const (
	exitHeld = iota
	exitBroken
	exitNotRun
)

// runLimit bounds a run, so that it ends within the 120 s that a case may take.
const runLimit = 110 * time.Second

// cases holds the cases by name. Each returns what it saw of the rule being broken; without trouble it leaves out the disruption.
var cases = map[string]func(*scenario) (violations []string, err error){
	"foreign-service": runForeignService,
	"late-write":      runLateWrite,
	"zone-loss":       runZoneLoss,
	"missing-fields":  runMissingFields,
	"node-cut":        runNodeCut,
}

func main() {
	name := flag.String("case", "", "name of the case")
	binary := flag.String("binary", "", "path of the program under review")
	recordPath := flag.String("record", "record.txt", "path of the record")
	flag.Parse()
	os.Exit(run(*name, *binary, *recordPath, os.Getenv("TROUBLE") != "0"))
}

func run(name, binary, recordPath string, trouble bool) int {
	runCase := cases[name]
	if runCase == nil {
		fmt.Fprintf(os.Stderr, "unknown case %q\n", name)
		return exitNotRun
	}
	rec, err := newRecord(recordPath)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer rec.Close()
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer os.RemoveAll(dir)
	ctx, cancel := context.WithTimeout(context.Background(), runLimit)
	defer cancel()
	s := &scenario{ctx: ctx, binary: binary, dir: dir, rec: rec, trouble: trouble}
	defer s.close()
	violations, err := runCase(s)
	s.recordExecutions()
	if err == nil {
		// A run that was cut short proves nothing.
		err = ctx.Err()
	}
	if err != nil {
		rec.Printf("the case could not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	for _, v := range violations {
		rec.Printf("RULE BROKEN: %s", v)
	}
	fmt.Printf("%s, trouble %t: %d violations\n", name, trouble, len(violations))
	if len(violations) > 0 {
		fmt.Println(violations[0])
		return exitBroken
	}
	rec.Printf("the rule held")
	return exitHeld
}
