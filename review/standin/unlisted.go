package main

import (
	"fmt"
	"net"
	"net/http"
	"net/http/httputil"
	"net/url"
	"sync/atomic"
	"syscall"
	"time"
)

// machineHeader names the machine that makes a call of the store.
const machineHeader = "Stand-In-Machine"

// doorway is a machine's way to the store. The store can turn the machine away there.
type doorway struct {
	closed   atomic.Bool
	listener net.Listener
}

func newDoorway(f *fleet, m *machine) (*doorway, error) {
	listener, err := net.Listen("tcp4", net.JoinHostPort(f.nextAddr().String(), "0"))
	if err != nil {
		return nil, err
	}
	d := &doorway{listener: listener}
	forward := httputil.NewSingleHostReverseProxy(&url.URL{Scheme: "http", Host: f.store.address()})
	go http.Serve(listener, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if d.closed.Load() {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		r.Header.Set(machineHeader, m.name)
		forward.ServeHTTP(w, r)
	}))
	m.storeAt = listener.Addr().String()
	return d, nil
}

// Times of the case.
const (
	turnedAwayFor = 9 * time.Second        // the site file's figure
	shortDelay    = 600 * time.Millisecond // from the end of a process to its next start
)

// unlistedAgent restarts a front node as planned while the store turns one side machine away
// and has taken its keys. The seeds in the settings are machines that have left.
func unlistedAgent(f *fleet, rec *recorder, trouble bool) error {
	at := end{f.nextAddr(), 8443}
	f.configure(4, []string{"alpha"}, route{at, "alpha", "unsafe"})
	var fronts, sides []*machine
	for i := range 5 {
		fronts = append(fronts, f.add(fmt.Sprintf("front-%d", i+1), "hall-a", ""))
	}
	for i := range 4 {
		sides = append(sides, f.add(fmt.Sprintf("side-%d", i+1), "hall-a", "alpha"))
	}
	away := sides[0]
	door, err := newDoorway(f, away)
	if err != nil {
		return err
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
		for _, m := range fronts {
			if !m.ready() {
				return false
			}
		}
		return true
	}); err != nil {
		return err
	}
	for _, m := range fronts[:3] { // planned: they leave
		rec.note("SIGTERM to the process on %s, which leaves", m.name)
		m.signal(syscall.SIGTERM)
		<-m.ended
	}
	router.remove(fronts[:3])
	time.Sleep(time.Second)
	l, err := startLongFlows(f, router, rec, at, 48, 300*time.Millisecond)
	if err != nil {
		return err
	}
	time.Sleep(6 * time.Second)

	began := time.Now()
	if trouble {
		door.closed.Store(true)
		rec.note("the store turns %s away; %d keys of it are taken away", away.name, f.store.revoke(away.name))
	}
	time.Sleep(300 * time.Millisecond)
	rolled := fronts[3]
	rec.note("SIGTERM to the process on %s", rolled.name)
	rolled.signal(syscall.SIGTERM)
	<-rolled.ended
	time.Sleep(shortDelay)
	if err := rolled.start(); err != nil {
		return err
	}
	sleepUntil(began.Add(turnedAwayFor))
	door.closed.Store(false)
	rec.note("the store serves %s again", away.name)
	time.Sleep(5 * time.Second)
	resets := l.end()
	for _, r := range resets {
		if owner := rec.ownerOf(r.id); owner != nil {
			rec.fault("FLOW: client %s:%d gets a reset %.1f s after the store turned a machine away, on a flow that is open at %s, which lives and sent none",
				r.id.client.addr, r.id.client.port, r.at.Sub(began).Seconds(), owner.id)
		}
	}
	rec.note("%d requests ran, %d resets on open flows", len(rec.allRuns()), len(resets))
	if len(rec.allRuns()) < 500 {
		return fmt.Errorf("only %d requests ran", len(rec.allRuns()))
	}
	return nil
}
