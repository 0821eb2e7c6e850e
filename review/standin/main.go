// Command standin plays one case of the review: it starts the project's programs as
// processes on loopback, with stand-ins of the platform, its backends and its clients,
// writes what was sent, answered and run, and checks one rule.
//
// It exits with 0 if the rule held, 1 if it was broken and 2 if the case could not run.
package main

import (
	"errors"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"runtime"
	"syscall"
	"time"
)

// scenario plays a case; trouble is false for the same run without the disruption.
type scenario func(f *fleet, rec *recorder, trouble bool) error

var scenarios = map[string]scenario{
	"late-check-in":       lateCheckin,
	"late-check-in-reuse": lateCheckinReuse,
	"silent-channels":     silentChannels,
	"rolling-restart":     rollingRestart,
	"unlisted-agent":      unlistedAgent,
}

// limit is the longest time that a case may take.
const limit = 110 * time.Second

func main() {
	runtime.LockOSThread() // processes end with the thread that started them
	record := flag.String("record", "record.txt", "file for the record")
	flag.Parse()
	os.Exit(play(flag.Arg(0), *record, os.Getenv("TROUBLE") != "0"))
}

func play(name, record string, trouble bool) int {
	s, ok := scenarios[name]
	if !ok {
		fmt.Fprintln(os.Stderr, "unknown case", name)
		return 2
	}
	rec, err := newRecorder(record)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	f, err := newFleet(rec)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer f.close()
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		select {
		case <-stop:
		case <-time.After(limit):
		}
		rec.note("RESULT 2: the case was stopped")
		f.close()
		os.Exit(2)
	}()
	rec.note("case %s, disruption %v", name, trouble)
	err = s(f, rec, trouble)
	broken := rec.broken()
	switch {
	case err != nil:
		rec.note("RESULT 2: %s", err)
		fmt.Println("could not run:", err)
		return 2
	case len(broken) > 0:
		rec.note("RESULT 1: the rule was broken %d times", len(broken))
		fmt.Printf("broken %d times, first: %s\n", len(broken), broken[0])
		return 1
	}
	rec.note("RESULT 0: the rule held")
	fmt.Println("held")
	return 0
}

// until waits for a condition.
func until(what string, most time.Duration, cond func() bool) error {
	for end := time.Now().Add(most); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if cond() {
			return nil
		}
	}
	return errors.New("timed out: " + what)
}
