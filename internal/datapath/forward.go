package datapath

import (
	"net/netip"

	"github.com/VictoriaMetrics/metrics"
	"golang.org/x/time/rate"

	"github.com/saltbend/saltbend/internal/encap"
)

type forwardCounters struct {
	*counters
	flows, initials *metrics.Counter
	// resets counts datagrams answered for an agent that is gone, asks the
	// probes of such agents.
	resets, asks *metrics.Counter
}

func newForwardCounters() *forwardCounters {
	return &forwardCounters{
		counters: newCounters("forward"),
		flows:    metrics.GetOrCreateCounter(`saltbend_balancer_forwarded_total{kind="flow"}`),
		initials: metrics.GetOrCreateCounter(`saltbend_balancer_forwarded_total{kind="initial"}`),
		resets:   metrics.GetOrCreateCounter(`saltbend_balancer_resets_total`),
		asks:     metrics.GetOrCreateCounter(`saltbend_balancer_gone_probes_total`),
	}
}

// forwarder decides on the datagrams of one face; it belongs to one goroutine.
type forwarder struct {
	view
	face   *Face
	header encap.Header
	resets *rate.Limiter
	// agent is the one in whose place decide wants the caller told.
	agent netip.AddrPort
}

func newForwarder(self, public netip.AddrPort, resets *rate.Limiter) *forwarder {
	return &forwarder{resets: resets, header: encap.Header{Kind: encap.KindForward, Face: public, Balancer: self}}
}

// serveFace carries the datagrams of one face until its socket is closed.
func (p *Path) serveFace(s *Socket) {
	defer s.replies.close()
	f := newForwarder(p.self, s.face, p.resets)
	buffer := make([]byte, bufferSize)
	for {
		end, caller, err := receive(s.conn, buffer, encap.HeaderSize)
		if err != nil {
			return
		}
		f.use(p.snapshot.Load())
		agent, counter := f.decide(buffer, end, caller, p.forward)
		counter.Inc()
		switch {
		case agent.IsValid():
			buffer = p.toAgents.add(buffer, 0, end, agent)
		case counter == p.forward.resets:
			buffer = p.resetFlow(s, f, buffer, end, caller)
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
// agent is invalid for a datagram to be dropped, or answered in the place of
// f.agent.
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
	if len(f.snapshot.Gone) != 0 && f.tells(buffer[encap.HeaderSize:end], &v) {
		f.agent = v.agent
		return netip.AddrPort{}, c.resets
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

// tells reports whether the caller is to be told that the flow's agent is gone.
func (f *forwarder) tells(datagram []byte, v *verdict) bool {
	return f.snapshot.Gone[v.agent].resets(datagram, v.incarnation) && f.resets.Allow()
}
