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

// forwarder decides on the datagrams of one face; it belongs to one goroutine.
type forwarder struct {
	view
	face   *Face
	header encap.Header
}

func newForwarder(self, public netip.AddrPort) *forwarder {
	return &forwarder{header: encap.Header{Kind: encap.KindForward, Face: public, Balancer: self}}
}

// serveFace carries the datagrams of one face until its socket is closed.
func (p *Path) serveFace(s *Socket) {
	defer s.replies.close()
	f := newForwarder(p.self, s.face)
	buffer := make([]byte, bufferSize)
	for {
		end, caller, err := receive(s.conn, buffer, encap.HeaderSize)
		if err != nil {
			return
		}
		f.use(p.snapshot.Load())
		agent, counter := f.decide(buffer, end, caller, p.forward)
		counter.Inc()
		if agent.IsValid() {
			buffer = p.toAgents.add(buffer, 0, end, agent)
		}
	}
}

// use makes the snapshot the one that decide acts on.
func (f *forwarder) use(s *Snapshot) {
	if !f.view.use(s) {
		return
	}
	f.face = s.Faces[f.header.Face]
	f.header.Revision = s.Revision
}

// decide runs the datagram behind the buffer's headroom through classify and
// route and writes its header. It returns the agent and what to count; the
// agent is invalid for a datagram to be dropped.
func (f *forwarder) decide(buffer []byte, end int, caller netip.AddrPort, c *forwardCounters) (netip.AddrPort, *metrics.Counter) {
	if f.face == nil {
		return netip.AddrPort{}, c.drops[NoFace]
	}
	if !caller.Addr().Is4() {
		return netip.AddrPort{}, c.drops[BadSource]
	}
	v := classify(buffer[encap.HeaderSize:end], f.face, f.keys.Tokens)
	if v.drop != None {
		return netip.AddrPort{}, c.drops[v.drop]
	}
	agent, reason := route(f.face, caller, &v)
	if reason != None {
		return netip.AddrPort{}, c.drops[reason]
	}
	f.header.Caller, f.header.Service = caller, v.service
	if f.keys.Headers.Encode(buffer, &f.header) != nil {
		return netip.AddrPort{}, c.drops[BadHeader]
	}
	if v.agent.IsValid() {
		return agent, c.flows
	}
	return agent, c.initials
}
