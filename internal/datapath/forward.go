package datapath

import (
	"net/netip"

	"github.com/VictoriaMetrics/metrics"

	"github.com/saltbend/saltbend/internal/encap"
)

type forwardCounters struct {
	*counters
	flows, initials *metrics.Counter
}

func newForwardCounters() *forwardCounters {
	return &forwardCounters{
		counters: newCounters("forward"),
		flows:    metrics.GetOrCreateCounter(`saltbend_balancer_forwarded_total{kind="flow"}`),
		initials: metrics.GetOrCreateCounter(`saltbend_balancer_forwarded_total{kind="initial"}`),
	}
}

// forwarder is what the goroutine of one face works with.
type forwarder struct {
	self     netip.AddrPort
	counters *forwardCounters
	in       *inbox
	out      *outbox
	// keys is the published value that own was cloned from.
	keys *Keys
	own  Keys
}

// serveFace carries the datagrams of one face until its socket is closed.
func (p *Path) serveFace(s *Socket) {
	f := newForwarder(p.self, p.forward)
	for {
		n, ok := receive(s.io, f.in)
		if !ok {
			return
		}
		f.process(p.snapshot.Load(), s.face, n)
		for range f.out.flush(p.io) {
			p.forward.drop(SendFailed)
		}
	}
}

func newForwarder(self netip.AddrPort, c *forwardCounters) *forwarder {
	return &forwarder{self: self, counters: c, in: newInbox(encap.HeaderSize), out: newOutbox()}
}

// process runs the filters over the first n datagrams of the inbox.
func (f *forwarder) process(s *Snapshot, public netip.AddrPort, n int) {
	face := s.Faces[public]
	if face == nil {
		f.counters.drops[NoFace].Add(n)
		return
	}
	if f.keys != s.Keys {
		f.keys, f.own = s.Keys, s.Keys.clone()
	}
	h := encap.Header{
		Kind:     encap.KindForward,
		Face:     public,
		Service:  face.Service,
		Revision: s.Revision,
		Balancer: f.self,
	}
	flows, initials := 0, 0
	for i := range n {
		h.Caller = f.in.source(i)
		if !h.Caller.IsValid() {
			f.counters.drop(BadSource)
			continue
		}
		agent, opened, reason := f.decide(face, &h, i)
		if reason != None {
			f.counters.drop(reason)
			continue
		}
		if opened {
			initials++
		} else {
			flows++
		}
		f.out.add(f.in.framed(i), agent)
	}
	f.counters.flows.Add(flows)
	f.counters.initials.Add(initials)
}

// decide runs one datagram through classify and route and writes its header.
// opened says that it opens a flow.
func (f *forwarder) decide(face *Face, h *encap.Header, i int) (agent netip.AddrPort, opened bool, _ Reason) {
	v := classify(f.in.datagram(i), face.Service, f.own.Tokens)
	if v.drop != None {
		return agent, false, v.drop
	}
	agent, reason := route(face, h.Caller, &v)
	if reason != None {
		return agent, false, reason
	}
	if err := f.own.Headers.Encode(f.in.buffers[i], h); err != nil {
		return agent, false, BadHeader
	}
	return agent, !v.agent.IsValid(), None
}
