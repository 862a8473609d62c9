// Command standin2 plays the cases of the second review: it starts relay processes by the command of the deploy file, with stand-ins for the
// platform, the endpoints and the requesters, and checks one rule.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
)

// outcome is the exit status of a case.
type outcome int

const (
	held    outcome = 0
	broken  outcome = 1
	couldNt outcome = 2
)

var cases = map[string]func(rec *record, trouble bool) (outcome, error){
	"restart":    playRestart,
	"foreign":    playForeign,
	"planned":    playPlanned,
	"priority":   playPriority,
	"taken-back": playTakenBack,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin2 CASE RECORD")
		os.Exit(int(couldNt))
	}
	rec, err := newRecord(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(int(couldNt))
	}
	defer rec.close()
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, os.Interrupt)
	go func() {
		<-stop
		// The relay processes end with this one.
		os.Exit(int(couldNt))
	}()
	result, err := cases[os.Args[1]](rec, os.Getenv("TROUBLE") != "0")
	if err != nil {
		rec.say("the case could not run: %v", err)
		result = couldNt
	}
	rec.say("exit status %d", result)
	os.Exit(int(result))
}
