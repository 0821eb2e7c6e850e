package steer_test

import (
	"net/netip"
	"slices"
	"time"
)

// The network of a world: it loses, doubles, delays and cuts.

// letter is a datagram on its way.
type letter struct {
	due      time.Duration
	from, to netip.AddrPort
	bytes    []byte
}

// way is a direction between two processes.
type way struct{ from, to netip.AddrPort }

func (w *world) post(from, to netip.AddrPort, b []byte) {
	if w.cuts[way{from, to}] > w.now {
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
			late = time.Duration(w.random.Int64N(int64(maxLate)))
		}
		w.letters = append(w.letters, letter{due: w.now + late, from: from, to: to, bytes: append([]byte(nil), b...)})
	}
}

// cutOneWay loses all that one of the two sends the other for a while. Where
// absent agents are passed over, a cut makes one look so, as it shall. An agent
// whose entry has lapsed and that is silent for 2 s is gone, as it shall, too: so
// the entry is back before a cut, and does not lapse during one. A balancer that
// the store refuses learns of newer lists from agents; where the only one that
// could tell it is cut off, it can't know: so no balancer is refused meanwhile.
func (w *world) cutOneWay(b *balancer, s *site) {
	refused := slices.ContainsFunc(w.balancers, func(b *balancer) bool { return b.refused })
	if w.absentAfter != 0 || refused || w.now < w.cutEnd {
		return
	}
	w.list(b, nil)
	lost := way{b.addr, s.addr}
	if w.random.IntN(2) == 0 {
		lost = way{s.addr, b.addr}
	}
	w.cutEnd = w.now + time.Duration(w.random.Int64N(int64(5*time.Second)))
	w.cuts[lost] = w.cutEnd
}

// cut reports whether one of the two does not hear the other.
func (w *world) cut(b *balancer, s *site) bool {
	return w.cuts[way{b.addr, s.addr}] > w.now || w.cuts[way{s.addr, b.addr}] > w.now
}

// run lets time pass and delivers what is due.
func (w *world) run(d time.Duration) {
	for end := w.now + d; w.now < end; w.now += time.Millisecond {
		due := w.letters
		w.letters = nil
		for _, l := range due {
			if l.due > w.now {
				w.letters = append(w.letters, l)
				continue
			}
			w.deliver(l)
		}
		if w.now%(5*time.Millisecond) == 0 {
			for _, b := range w.balancers {
				w.notice(b)
				w.fromBalancer(b.addr, b.core.Tick(w.now))
			}
			for _, s := range w.sites {
				w.fromAgent(s, s.gate.Tick(w.now))
				w.register(s)
			}
		}
	}
}

func (w *world) deliver(l letter) {
	if b := w.balancerAt[l.to]; b != nil {
		r, err := b.core.FromAgent(w.now, l.from, l.bytes)
		if err != nil {
			w.t.Fatalf("balancer refused %x: %v", l.bytes, err)
		}
		w.fromBalancer(l.to, r)
	}
	if s := w.siteAt[l.to]; s != nil {
		r, err := s.gate.FromBalancer(w.now, l.from, l.bytes)
		if err != nil {
			w.t.Fatalf("agent refused %x: %v", l.bytes, err)
		}
		w.fromAgent(s, r)
	}
}
