package main

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"
)

// Services and faces of the cases.
const (
	results = "results-web"
	timing  = "timing-ingest"
)

// site is an installation with balancers and backends of two services.
type site struct {
	f                       *fleet
	resultsFace, timingFace netip.AddrPort
	// backends are the current lifetimes by machine.
	backends map[*machine]*backend
	stop     chan struct{}
	load     sync.WaitGroup
	answered atomic.Int64
}

// work is how long a request runs.
const work = 5 * time.Millisecond

// startSite starts balancers and, for each service, agents with their backends.
func startSite(f *fleet, nFront, nResults, nTiming int) (*site, error) {
	s := &site{
		f: f, backends: map[*machine]*backend{}, stop: make(chan struct{}),
		resultsFace: netip.AddrPortFrom(f.nextIP(), 8443), timingFace: netip.AddrPortFrom(f.nextIP(), 8080),
	}
	f.configure(1, s.resultsRoute(""), s.timingRoute())
	for range nFront {
		f.addFront()
	}
	for range nResults {
		f.addSide(results)
	}
	for range nTiming {
		f.addSide(timing)
	}
	for _, m := range append(append([]*machine{}, f.front...), f.side...) {
		if err := m.start(); err != nil {
			return nil, err
		}
	}
	for _, m := range f.side {
		b, err := startBackend(m, m.service, work, nil)
		if err != nil {
			return nil, err
		}
		s.backends[m] = b
	}
	if !f.waitReady(15 * time.Second) {
		return nil, errors.New("the balancers did not become ready")
	}
	return s, nil
}

// resultsRoute returns the route of resultsFace, with half of its flows to a second service
// unless that is empty.
func (s *site) resultsRoute(split string) route {
	return route{face: s.resultsFace, service: results, kind: "unsafe", split: split}
}

// timingRoute returns the route of timingFace.
func (s *site) timingRoute() route {
	return route{face: s.timingFace, service: timing, kind: "upload"}
}

// callers starts clients that each send a request on a flow of its own at the given interval.
func (s *site) callers(n int, face netip.AddrPort, interval time.Duration) error {
	for range n {
		c, err := newClient(s.f.nextIP(), s.f.ports[portPackets], s.f.r, s.f.rec)
		if err != nil {
			return err
		}
		s.load.Add(1)
		go func() {
			defer s.load.Done()
			time.Sleep(rand.N(interval)) // so that the clients don't send at the same moments
			for i := 0; ; i++ {
				select {
				case <-s.stop:
					return
				case <-time.After(interval):
				}
				s.load.Add(1)
				go func() {
					defer s.load.Done()
					s.attempt(c, face, fmt.Sprintf("POST /%s-%d", c.ip, i))
				}()
			}
		}()
	}
	return nil
}

// budget is a client's time budget.
const budget = 2500 * time.Millisecond

// attempt opens a flow, sends a request on it and closes it.
func (s *site) attempt(c *client, face netip.AddrPort, id string) {
	f, err := c.open(face)
	if err != nil {
		c.rec.line("%s on flow %s to %s: not opened: %v", id, f.src, face, err)
		return
	}
	text, err := f.request(id, budget)
	if err != nil {
		c.rec.line("%s on flow %s to %s: %v", id, f.src, face, err)
		return
	}
	s.answered.Add(1)
	c.rec.line("%s on flow %s to %s: %q", id, f.src, face, text)
	f.close()
}

// finish ends the load.
func (s *site) finish() error {
	close(s.stop)
	s.load.Wait()
	if s.answered.Load() < 50 {
		return fmt.Errorf("only %d requests were answered", s.answered.Load())
	}
	return nil
}

// longFlow keeps a flow open and sends a request on it at intervals. If the system resets the
// flow while its backend lives, FLOW is broken.
func (s *site) longFlow(c *client, face netip.AddrPort, interval time.Duration) {
	defer s.load.Done()
	f, err := c.open(face)
	if err != nil {
		c.rec.line("long flow %s to %s: not opened: %v", f.src, face, err)
		return
	}
	c.rec.line("long flow %s to %s is open", f.src, face)
	pause := time.Duration(0) // the first request follows at once
	for i := 0; ; i++ {
		select {
		case <-s.stop:
			f.close()
			return
		case <-time.After(pause):
		}
		pause = interval
		id := fmt.Sprintf("GET /%s-%d-%d", c.ip, f.src.Port(), i)
		switch _, err := f.request(id, budget); {
		case errors.Is(err, errReset):
			owner := s.f.ownerOf(f.src)
			if owner != nil && owner.lives() {
				c.rec.broken("FLOW", "the system resets the open flow %s to %s; its backend %s lives and had no disruption", f.src, face, owner.id)
			} else {
				c.rec.line("long flow %s to %s is reset, its backend has ended", f.src, face)
			}
			return
		case err != nil:
			c.rec.line("long flow %s, request %s: %v", f.src, id, err)
			return
		}
		s.answered.Add(1)
	}
}

// longFlows opens n long flows of a new client.
func (s *site) longFlows(n int, face netip.AddrPort, interval time.Duration) error {
	c, err := newClient(s.f.nextIP(), s.f.ports[portPackets], s.f.r, s.f.rec)
	if err != nil {
		return err
	}
	for range n {
		s.load.Add(1)
		go s.longFlow(c, face, interval)
	}
	return nil
}
