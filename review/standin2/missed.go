package main

import (
	"os"
	"syscall"
	"time"
)

const (
	// contact is contactMs of the settings.
	contact = 4 * time.Second
	// shortMaxFlowS replaces maxFlowS of the site, so that a balancer has run for three times
	// as long within the time of a script. LONG=1 in the environment leaves maxFlowS as it is.
	shortMaxFlowS = 20
	// warmUp is how much longer than that the balancers run before they are disturbed.
	warmUp = 4 * time.Second
	// freeze is how long the balancer stands still.
	freeze = 3 * time.Second
)

// missedVersion freezes a balancer while a configuration splits the flows of a face between
// two services and the next one takes that back. The flows that were opened at the second
// service pause until the balancer has been in touch again, and go on through it.
func missedVersion(f *fleet, trouble bool) error {
	if os.Getenv("LONG") != "1" {
		f.maxFlowS = shortMaxFlowS
	}
	s, err := startSite(f, 2, 4, 4)
	if err != nil {
		return err
	}
	if err := s.callers(2, s.resultsFace, 200*time.Millisecond); err != nil {
		return err
	}
	time.Sleep(time.Duration(3*f.maxFlowS)*time.Second + warmUp)
	frozen := f.front[1]
	if trouble {
		f.rec.line("process of %s stands still", frozen.name)
		frozen.signal(syscall.SIGSTOP)
	}
	began := time.Now()
	until := func(d time.Duration) { time.Sleep(time.Until(began.Add(d))) }
	until(1200 * time.Millisecond)
	f.configure(4, s.resultsRoute(timing), s.timingRoute())
	until(1700 * time.Millisecond)
	for range 4 {
		// The next request comes when the balancer has been in touch again.
		if err := s.longFlows(10, s.resultsFace, freeze+contact); err != nil {
			return err
		}
	}
	until(2500 * time.Millisecond)
	f.configure(9, s.resultsRoute(""), s.timingRoute())
	until(freeze)
	if trouble {
		frozen.signal(syscall.SIGCONT)
		f.rec.line("process of %s goes on", frozen.name)
	}
	until(freeze + contact + 6*time.Second)
	return s.finish()
}
