package main

import (
	"fmt"
	"time"
)

// Numbers of side nodes: those that start with the system, and the least and the most in all.
const firstSides, leastSides, mostSides = 4, 10, 13

// silentAfter is the time from the start to the silence. It lies between two renewals of the
// agents' leases, which come each 10 s: one right after it would use up an idle channel.
const silentAfter = 17500 * time.Millisecond

// silentChannels lets the channels that are open to the platform's store go silent. The
// operator then drops a route. New channels to the store work all the while.
func silentChannels(f *fleet, rec *recorder, trouble bool) error {
	proxies := map[*machine]*proxy{}
	face := f.nextAddr()
	kept, dropped := end{face, 8443}, end{face, 8080}
	services := []string{"alpha", "beta"}
	f.configure(4, services, route{kept, "beta", "safe"}, route{dropped, "alpha", "unsafe"})

	var fronts []*machine
	for i := range 3 {
		fronts = append(fronts, f.add(fmt.Sprintf("front-%d", i+1), "hall-a", ""))
	}
	start := func(m *machine) error {
		p, err := newProxy(f.nextAddr().String(), f.store.address())
		if err != nil {
			return err
		}
		proxies[m], m.storeAt = p, p.address()
		return m.start()
	}
	started := time.Now()
	for _, m := range fronts {
		if err := start(m); err != nil {
			return err
		}
	}
	// The last side nodes are added while the system runs, until each front node has written
	// the entry of one and has two channels to the store.
	written := func() bool {
		for _, m := range fronts {
			if proxies[m].count() < 2 {
				return false
			}
		}
		return true
	}
	for i := 0; i < leastSides || i < mostSides && !written(); i++ {
		if i >= firstSides {
			time.Sleep(600 * time.Millisecond)
		}
		m := f.add(fmt.Sprintf("side-%d", i+1), "hall-a", services[i%2])
		if err := start(m); err != nil {
			return err
		}
		if _, err := startBackend(m, m.service, m.at(f.ports.control), nil, rec); err != nil {
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
	keptLoad, err := startLoad(f, router, rec, "kept", kept, 4, 250*time.Millisecond)
	if err != nil {
		return err
	}
	droppedLoad, err := startLoad(f, router, rec, "dropped", dropped, 8, 200*time.Millisecond)
	if err != nil {
		return err
	}
	sleepUntil(started.Add(silentAfter))
	silentAt := time.Now()
	if trouble {
		for _, m := range f.machines {
			rec.note("the %d open channels of %s to the store go silent; new ones work", proxies[m].silence(), m.name)
		}
	}
	time.Sleep(500 * time.Millisecond)
	confirmed := f.configure(9, services, route{kept, "beta", "safe"})
	time.Sleep(14 * time.Second)
	all := droppedLoad.end()
	keptAll := keptLoad.end()
	rec.note("kept route: %d of %d requests served", served(keptAll), len(keptAll))

	// Machines are in touch again contactMs after the silence, and configApplyMs after the
	// confirmation the new configuration must hold.
	from := confirmed.Add(configApply)
	if inTouch := silentAt.Add(contact); trouble && inTouch.After(from) {
		from = inTouch
	}
	if served(keptAll)*2 < len(keptAll) {
		return fmt.Errorf("only %d of %d requests on the kept route were served", served(keptAll), len(keptAll))
	}
	before := 0
	for _, r := range rec.allRuns() {
		a, ok := all[r.attempt]
		switch {
		case !ok:
		case a.sentAt.Before(confirmed):
			before++
		case a.sentAt.After(from):
			rec.fault("CONFIG: %s was sent %.3f s after the confirmation of version 9, which drops its route, and %.3f s after the silence began, through %s, and ran at %s",
				a.id, a.sentAt.Sub(confirmed).Seconds(), a.sentAt.Sub(silentAt).Seconds(), a.node, r.backend.id)
		}
	}
	rec.note("dropped route: %d requests ran that were sent before the confirmation", before)
	if before == 0 {
		return fmt.Errorf("no request ran on the route before it was dropped")
	}
	return nil
}
