package main

import (
	"net/netip"
	"syscall"
	"time"
)

const (
	// outages is how often the store is down.
	outages = 3
	// outageTime is how long the store is down.
	outageTime = 3500 * time.Millisecond
	// restartDelay is the short delay after which the platform starts a process again.
	restartDelay = 500 * time.Millisecond
	// graceful is how long a balancer takes to stop.
	graceful = 1600 * time.Millisecond
)

// lapsedLeases stops and starts a balancer as in planned work, so that it starts as the store
// is back after an outage in which all leases have run out.
func lapsedLeases(f *fleet, trouble bool) error {
	p, err := newProxy(netip.AddrPortFrom(f.nextIP(), f.ports[portControl]).String(), f.storeAddr, f.rec)
	if err != nil {
		return err
	}
	f.storeAddr = p.listener.Addr().String()
	s, err := startSite(f, 2, 4, 4)
	if err != nil {
		return err
	}
	if err := s.callers(4, s.resultsFace, 50*time.Millisecond); err != nil {
		return err
	}
	time.Sleep(3 * time.Second)
	for range 4 {
		if err := s.longFlows(10, s.resultsFace, 300*time.Millisecond); err != nil {
			return err
		}
	}
	time.Sleep(2 * time.Second)
	for range outages {
		if err := s.rollInOutage(p, f.front[1], trouble); err != nil {
			return err
		}
		time.Sleep(8 * time.Second)
		for range 2 { // in place of the flows that were reset
			if err := s.longFlows(10, s.resultsFace, 300*time.Millisecond); err != nil {
				return err
			}
		}
		time.Sleep(2 * time.Second)
	}
	return s.finish()
}

// rollInOutage stops a balancer so that it starts when an outage of the store is over.
func (s *site) rollInOutage(p *proxy, rolled *machine, trouble bool) error {
	rec, began := s.f.rec, time.Now()
	until := func(d time.Duration) { time.Sleep(time.Until(began.Add(d))) }
	if trouble {
		p.outage()
	}
	until(outageTime - graceful - restartDelay + 100*time.Millisecond)
	rec.line("process of %s gets SIGTERM", rolled.name)
	rolled.signal(syscall.SIGTERM)
	<-rolled.done
	rec.line("process of %s has ended", rolled.name)
	ended := time.Now()
	if trouble {
		until(outageTime)
		s.f.store.lapse()
		p.restore()
	}
	time.Sleep(time.Until(ended.Add(restartDelay)))
	return rolled.start()
}
