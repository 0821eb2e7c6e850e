package main

import (
	"context"
	"net"
	"sync/atomic"
	"time"
)

// reuseAfter is the time (reuseAfterS) after which an address is used again.
const reuseAfter = 2 * time.Second

// reuseAddress lets the backend of a machine fall silent for good, and starts one of another
// service at its address reuseAfter later.
func (s *site) reuseAddress(m *machine, service string, dial func(ctx context.Context, network, addr string) (net.Conn, error)) error {
	old := s.backends[m]
	old.goDark()
	time.Sleep(reuseAfter)
	old.release()
	b, err := startBackend(m, service, work, dial)
	s.backends[m] = b
	return err
}

// reuseSlowStore reuses the addresses of backends while the store is slow.
func reuseSlowStore(f *fleet, trouble bool) error {
	s, err := startSite(f, 2, 4, 4)
	if err != nil {
		return err
	}
	if err := s.callers(2, s.timingFace, 30*time.Millisecond); err != nil {
		return err
	}
	if err := s.callers(2, s.resultsFace, 100*time.Millisecond); err != nil {
		return err
	}
	time.Sleep(5 * time.Second)
	if trouble {
		f.rec.line("the store turns slow")
		f.store.setAnswerTime(60 * usualAnswer)
		if err := s.reuseAddress(f.side[4], results, nil); err != nil {
			return err
		}
		time.Sleep(2 * time.Second)
		f.store.setAnswerTime(usualAnswer)
		f.rec.line("the store is as before")
	}
	time.Sleep(5 * time.Second)
	return s.finish()
}

// resetFirst returns a dial function whose first connection is reset before it carries
// anything.
func resetFirst(rec *record) func(ctx context.Context, network, addr string) (net.Conn, error) {
	var dialed atomic.Int64
	return func(ctx context.Context, network, addr string) (net.Conn, error) {
		conn, err := (&net.Dialer{}).DialContext(ctx, network, addr)
		if err == nil && dialed.Add(1) == 1 {
			rec.line("the first channel of the new lifetime is reset")
			_ = conn.(*net.TCPConn).SetLinger(0)
			conn.Close()
		}
		return conn, err
	}
}

// reuseLostCheckIn reuses an address; the channel of the new lifetime's first check-in is
// reset.
func reuseLostCheckIn(f *fleet, trouble bool) error {
	s, err := startSite(f, 2, 4, 4)
	if err != nil {
		return err
	}
	if err := s.callers(2, s.timingFace, 100*time.Millisecond); err != nil {
		return err
	}
	if err := s.callers(2, s.resultsFace, 100*time.Millisecond); err != nil {
		return err
	}
	time.Sleep(5 * time.Second)
	if trouble {
		if err := s.reuseAddress(f.side[4], results, resetFirst(f.rec)); err != nil {
			return err
		}
	}
	time.Sleep(8 * time.Second)
	return s.finish()
}
