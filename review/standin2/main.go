// Command standin2 runs a case of the second review: it starts the project's programs as
// processes on loopback, with stand-ins for the platform's store, its routers, clients and
// backends, brings about the disruption of the case and checks the rule.
//
// It exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run. With
// TROUBLE=0 in the environment it leaves out the disruption.
package main

import (
	"fmt"
	"os"
)

// Exit codes.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// cases are the cases by their names.
var cases = map[string]func(f *fleet, trouble bool) error{
	"reuse-slow-store":   reuseSlowStore,
	"reuse-lost-checkin": reuseLostCheckIn,
	"overwritten-entry":  overwrittenEntry,
	"missed-version":     missedVersion,
	"lapsed-leases":      lapsedLeases,
}

func main() { os.Exit(run()) }

func run() int {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin2 CASE RECORD")
		return exitNotRun
	}
	rec, err := newRecord(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	f, err := newFleet(rec)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer f.close()
	go f.closeOnSignal()
	trouble := os.Getenv("TROUBLE") != "0"
	rec.line("case %s, trouble %t", os.Args[1], trouble)
	if err := cases[os.Args[1]](f, trouble); err != nil {
		rec.line("the case could not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	rec.line("rules broken: %d times", rec.count())
	fmt.Println("rules broken:", rec.count(), "times")
	if rec.count() > 0 {
		return exitBroken
	}
	return exitHeld
}
