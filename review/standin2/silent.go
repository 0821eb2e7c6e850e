package main

import (
	"net/netip"
	"time"
)

const (
	// contact is contactMs of the settings, apply is configApplyMs.
	contact = 4 * time.Second
	apply   = 3 * time.Second
)

// silentChannels makes all open channels to the store go silent. Soon after, a configuration
// drops a route.
func silentChannels(f *fleet, trouble bool) error {
	p, err := newProxy(netip.AddrPortFrom(f.nextIP(), f.ports[portControl]).String(), f.storeAddr, f.rec)
	if err != nil {
		return err
	}
	f.storeAddr = p.listener.Addr().String()
	s, err := startSite(f, 4, 3, 3)
	if err != nil {
		return err
	}
	if err := s.callers(4, s.resultsFace, 40*time.Millisecond); err != nil {
		return err
	}
	time.Sleep(8 * time.Second)
	silence := time.Now()
	if trouble {
		p.silence()
	}
	time.Sleep(500 * time.Millisecond)
	f.configure(4, s.timingRoute())
	confirmed := time.Now()
	due := confirmed.Add(apply)
	if trouble && silence.Add(contact).After(due) {
		due = silence.Add(contact)
	}
	f.rec.line("configuration 4 is due in %s", time.Until(due))
	f.onSYN = func(b *backend, src, face netip.AddrPort) {
		late := f.r.openedAt(src).Sub(due)
		if face == s.resultsFace && late > 0 {
			f.rec.broken("CONFIG", "flow %s to %s, opened by its client %s after configuration 4, which has no route for it, was due, is taken by backend %s of service %s", src, face, late, b.id, b.service)
		}
	}
	time.Sleep(10 * time.Second)
	return s.finish()
}
