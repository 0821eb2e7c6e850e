package main

import (
	"fmt"
	"syscall"
	"time"
)

// restartAfter is the delay after which the platform starts a process again that has ended.
const restartAfter = 1500 * time.Millisecond

// rollingRestart is planned work: machines of both classes get SIGTERM in turn and start
// again. The restart of one side machine and that of one front machine overlap.
func rollingRestart(f *fleet, rec *recorder, trouble bool) error {
	at := end{f.nextAddr(), 8443}
	f.configure(4, []string{"alpha"}, route{at, "alpha", "safe"})
	var fronts, sides []*machine
	for i := range 3 {
		fronts = append(fronts, f.add(fmt.Sprintf("front-%d", i+1), "hall-a", ""))
	}
	for i := range 4 {
		sides = append(sides, f.add(fmt.Sprintf("side-%d", i+1), "hall-a", "alpha"))
	}
	for _, m := range f.machines {
		if err := m.start(); err != nil {
			return err
		}
	}
	for _, m := range sides {
		if _, err := startBackend(m, "alpha", m.at(f.ports.control), nil, rec); err != nil {
			return err
		}
	}
	router := newRouter(fronts)
	if err := until("all front nodes are ready", 15*time.Second, func() bool {
		return fronts[0].ready() && fronts[1].ready() && fronts[2].ready()
	}); err != nil {
		return err
	}
	time.Sleep(1500 * time.Millisecond)
	l, err := startLongFlows(f, router, rec, at, 64, 300*time.Millisecond)
	if err != nil {
		return err
	}
	time.Sleep(6 * time.Second)

	done := make(chan error, 2)
	if trouble {
		// The side node needs 0.2 s to end, and the time of its running requests. The front
		// node starts again just after that, some 1.5 s after its own end.
		go restart(fronts[0], sides[0].ended, done)
		<-fronts[0].ended
		time.Sleep(restartAfter - 400*time.Millisecond)
		go restart(sides[0], nil, done)
		for range 2 {
			if err := <-done; err != nil {
				return err
			}
		}
	}
	time.Sleep(6 * time.Second)
	resets := l.end()
	for _, r := range resets {
		if owner := rec.ownerOf(r.id); owner != nil {
			rec.fault("FLOW: client %s:%d gets a reset on a flow that is open at %s, which lives and sent none", r.id.client.addr, r.id.client.port, owner.id)
		}
	}
	rec.note("%d requests ran, %d resets on open flows", len(rec.allRuns()), len(resets))
	if len(rec.allRuns()) < 500 {
		return fmt.Errorf("only %d requests ran", len(rec.allRuns()))
	}
	return nil
}

// restart stops a machine's process as the platform does, and starts it again after the
// delay, or once another process has ended if that is not nil.
func restart(m *machine, other <-chan struct{}, done chan<- error) {
	m.fleet.rec.note("SIGTERM to the process on %s", m.name)
	m.signal(syscall.SIGTERM)
	select {
	case <-m.ended:
	case <-time.After(6 * time.Second):
		m.signal(syscall.SIGKILL)
		<-m.ended
	}
	m.fleet.rec.note("the process on %s has ended", m.name)
	if other != nil {
		<-other
	} else {
		time.Sleep(restartAfter)
	}
	done <- m.start()
}
