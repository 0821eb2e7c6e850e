package main

import "time"

// Times of lateCheckIn, counted from the start of the first lifetime.
const (
	// firstEnds is when the first lifetime crashes behind the cut, which began as its first
	// check-in was on its way.
	firstEnds = 2 * time.Second
	// cutEnds is when the cut ends.
	cutEnds = 7 * time.Second
	// lateArrival is when the check-in arrives that the cut has delayed: TCP sends it again
	// 0.2, 0.6, 1.4, 3, 6.2 and 12.6 s after the first time.
	lateArrival = 12600 * time.Millisecond
)

// lateCheckIn adds a machine. A cut delays the first check-in of its backend, which crashes
// behind the cut. The check-in arrives after a lifetime of another service has registered at
// the same address.
func lateCheckIn(f *fleet, trouble bool) error {
	s, err := startSite(f, 2, 3, 3)
	if err != nil {
		return err
	}
	if err := s.callers(2, s.timingFace, 100*time.Millisecond); err != nil {
		return err
	}
	if err := s.callers(2, s.resultsFace, 100*time.Millisecond); err != nil {
		return err
	}
	m := f.addSide(timing)
	if err := m.start(); err != nil {
		return err
	}
	time.Sleep(2 * time.Second)
	if trouble {
		err = s.crashBehindCut(m)
	} else {
		_, err = startBackend(m, timing, work, nil)
	}
	if err != nil {
		return err
	}
	time.Sleep(8 * time.Second)
	return s.finish()
}

// crashBehindCut brings about the disruption of lateCheckIn at a machine.
func (s *site) crashBehindCut(m *machine) error {
	began := time.Now()
	until := func(d time.Duration) { time.Sleep(time.Until(began.Add(d))) }
	held := make(chan struct{})
	first, err := startBackend(m, timing, work, holdUntil(held))
	if err != nil {
		return err
	}
	s.f.rec.line("a cut between the backend of %s and its agent begins", m.name)
	until(firstEnds)
	first.goDark()
	first.release()
	until(cutEnds)
	s.f.rec.line("the cut ends")
	if s.backends[m], err = startBackend(m, results, work, nil); err != nil {
		return err
	}
	until(cutEnds + 1500*time.Millisecond)
	if err := s.longFlows(12, s.resultsFace, 300*time.Millisecond); err != nil {
		return err
	}
	until(lateArrival)
	s.f.rec.line("the check-in arrives that the cut has delayed")
	close(held)
	return nil
}
