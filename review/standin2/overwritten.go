package main

import "time"

// rounds is how often overwrittenEntry does the same. A site has as many spare machines.
const rounds = 3

// overwrittenEntry lets another writer overwrite the entry of an agent in the store. Then a
// balancer is added as in planned work.
func overwrittenEntry(f *fleet, trouble bool) error {
	s, err := startSite(f, 1, 2, 2)
	if err != nil {
		return err
	}
	if err := s.callers(8, s.resultsFace, 20*time.Millisecond); err != nil {
		return err
	}
	time.Sleep(2 * time.Second)
	for range 4 {
		if err := s.longFlows(10, s.resultsFace, 300*time.Millisecond); err != nil {
			return err
		}
	}
	time.Sleep(2 * time.Second)
	for i := range rounds {
		if trouble {
			key := "saltbend/agents/" + f.side[i%2].addr(portPackets).String()
			f.store.put(key, []byte{0, 1, 2, 3})
			f.rec.line("another writer overwrites %s", key)
		}
		time.Sleep(100 * time.Millisecond)
		added := f.addFront()
		if err := added.start(); err != nil {
			return err
		}
		time.Sleep(4 * time.Second)
	}
	return s.finish()
}
