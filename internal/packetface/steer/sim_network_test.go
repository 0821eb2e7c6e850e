package steer_test

import (
	"net/netip"
	"slices"
	"time"

	"github.com/saltbend/saltbend/platform"
)

// The simulated network: it loses, duplicates and delays datagrams, and cuts links.

// datagram is a datagram in flight.
type datagram struct {
	due      time.Duration
	from, to netip.AddrPort
	bytes    []byte
}

// link is one direction between two processes.
type link struct{ from, to netip.AddrPort }

func (w *simFleet) send(from, to netip.AddrPort, b []byte) {
	if w.cuts[link{from, to}] > w.now {
		return
	}
	copies := 1
	if w.random.Float64() < w.loss {
		copies = 0
	}
	if w.random.Float64() < w.loss/2 && (w.neverDoubled == nil || !w.neverDoubled(b)) {
		copies++
	}
	for range copies {
		delay := time.Duration(w.random.Int64N(int64(4 * time.Millisecond)))
		if w.random.Float64() < w.loss/4 {
			delay = time.Duration(w.random.Int64N(int64(maxDelay)))
		}
		w.inFlight = append(w.inFlight, datagram{due: w.now + delay, from: from, to: to, bytes: append([]byte(nil), b...)})
	}
}

// cutLink drops everything that the balancer sends to the agent, or the agent to the
// balancer, for a while. It does nothing where a cut could make even a correct balancer
// reset a flow that is held. If absent agents may be skipped, an agent that is cut off
// counts as absent. An agent that is unlisted and silent for 2 s is removed, so the agent
// is listed before the cut, and its entry does not expire during it. A balancer that the
// store refuses to serve learns of newer lists from agents only, possibly just from the
// one that is cut off, so there is no cut while a balancer is refused, and no balancer is
// refused during a cut.
func (w *simFleet) cutLink(b *balancer, s *simAgent) {
	refused := slices.ContainsFunc(w.balancers, func(b *balancer) bool { return b.refused })
	if w.absentAfter != 0 || refused || w.now < w.cutEnd {
		return
	}
	w.sendList(b, nil)
	cut := link{b.addr, s.addr}
	if w.random.IntN(2) == 0 {
		cut = link{s.addr, b.addr}
	}
	w.cutEnd = w.now + time.Duration(w.random.Int64N(int64(5*time.Second)))
	w.cuts[cut] = w.cutEnd
}

// cut reports whether the link from the balancer to the agent or the one back is cut.
func (w *simFleet) cut(b *balancer, s *simAgent) bool {
	return w.cuts[link{b.addr, s.addr}] > w.now || w.cuts[link{s.addr, b.addr}] > w.now
}

// run advances the time and delivers the datagrams that are due.
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
		w.answer()
		if w.now%(5*time.Millisecond) == 0 {
			for _, b := range w.balancers {
				w.readRestoredStore(b)
				w.fromBalancer(b.addr, b.core.Tick(w.now))
			}
			for _, s := range w.agents {
				w.restartDue(s)
				if s.isDown(w.now) {
					continue
				}
				w.fromAgent(s, s.gate.Tick(w.now))
				w.registerDue(s)
			}
		}
	}
}

// answer sends the answers that are due, of upstreams that still hold the flow.
func (w *simFleet) answer() {
	due := w.answers
	w.answers = nil
	for _, a := range due {
		if a.due > w.now {
			w.answers = append(w.answers, a)
			continue
		}
		if p, err := platform.ParsePacket(a.bytes); err == nil && a.from.held[p.FromUpstream()] {
			w.reply(a.from, a.bytes)
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
	if s := w.agentByAddr[l.to]; s != nil && !s.isDown(w.now) {
		r, err := s.gate.FromBalancer(w.now, l.from, l.bytes)
		if err != nil {
			w.t.Fatalf("agent refused %x: %v", l.bytes, err)
		}
		w.fromAgent(s, r)
	}
}
