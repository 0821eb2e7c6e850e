package steer_test

import (
	"net/netip"
	"slices"
	"time"
)

// The network of a world: it loses, doubles, delays and cuts.

// datagram is a datagram on its way.
type datagram struct {
	due      time.Duration
	from, to netip.AddrPort
	bytes    []byte
}

// link is a direction between two processes.
type link struct{ from, to netip.AddrPort }

func (w *simFleet) send(from, to netip.AddrPort, b []byte) {
	if w.cuts[link{from, to}] > w.now {
		return
	}
	copies := 1
	if w.random.Float64() < w.loss {
		copies = 0
	}
	if w.random.Float64() < w.loss/2 {
		copies++
	}
	for range copies {
		late := time.Duration(w.random.Int64N(int64(4 * time.Millisecond)))
		if w.random.Float64() < w.loss/4 {
			late = time.Duration(w.random.Int64N(int64(maxDelay)))
		}
		w.inFlight = append(w.inFlight, datagram{due: w.now + late, from: from, to: to, bytes: append([]byte(nil), b...)})
	}
}

// cutLink loses all that one of the two sends the other for a while. Where
// absent agents are passed over, a cut makes one look so, as it shall. An agent
// whose entry has lapsed and that is silent for 2 s is gone, as it shall, too: so
// the entry is back before a cut, and does not lapse during one. A balancer that
// the store refuses learns of newer lists from agents; where the only one that
// could tell it is cut off, it can't know: so no balancer is refused meanwhile.
func (w *simFleet) cutLink(b *balancer, s *simAgent) {
	refused := slices.ContainsFunc(w.balancers, func(b *balancer) bool { return b.refused })
	if w.absentAfter != 0 || refused || w.now < w.cutEnd {
		return
	}
	w.sendList(b, nil)
	lost := link{b.addr, s.addr}
	if w.random.IntN(2) == 0 {
		lost = link{s.addr, b.addr}
	}
	w.cutEnd = w.now + time.Duration(w.random.Int64N(int64(5*time.Second)))
	w.cuts[lost] = w.cutEnd
}

// cut reports whether one of the two does not hear the other.
func (w *simFleet) cut(b *balancer, s *simAgent) bool {
	return w.cuts[link{b.addr, s.addr}] > w.now || w.cuts[link{s.addr, b.addr}] > w.now
}

// run lets time pass and delivers what is due.
func (w *simFleet) run(d time.Duration) {
	for end := w.now + d; w.now < end; w.now += time.Millisecond {
		due := w.inFlight
		w.inFlight = nil
		for _, l := range due {
			if l.due > w.now {
				w.inFlight = append(w.inFlight, l)
				continue
			}
			w.deliver(l)
		}
		if w.now%(5*time.Millisecond) == 0 {
			for _, b := range w.balancers {
				w.readRestoredStore(b)
				w.fromBalancer(b.addr, b.core.Tick(w.now))
			}
			for _, s := range w.agents {
				w.fromAgent(s, s.gate.Tick(w.now))
				w.registerDue(s)
			}
		}
	}
}

func (w *simFleet) deliver(l datagram) {
	if b := w.balancerByAddr[l.to]; b != nil {
		r, err := b.core.FromAgent(w.now, l.from, l.bytes)
		if err != nil {
			w.t.Fatalf("balancer refused %x: %v", l.bytes, err)
		}
		w.fromBalancer(l.to, r)
	}
	if s := w.agentByAddr[l.to]; s != nil {
		r, err := s.gate.FromBalancer(w.now, l.from, l.bytes)
		if err != nil {
			w.t.Fatalf("agent refused %x: %v", l.bytes, err)
		}
		w.fromAgent(s, r)
	}
}
