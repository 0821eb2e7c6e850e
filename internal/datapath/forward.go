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
	// resets counts datagrams answered with a stateless reset because their
	// agent is gone; probes counts the probes sent to such agents.
	resets, probes *metrics.Counter
}

func newForwardCounters() *forwardCounters {
	return &forwardCounters{
		counters: newCounters("forward"),
		flows:    metrics.GetOrCreateCounter(`saltbend_balancer_forwarded_total{kind="flow"}`),
		initials: metrics.GetOrCreateCounter(`saltbend_balancer_forwarded_total{kind="initial"}`),
		resets:   metrics.GetOrCreateCounter(`saltbend_balancer_resets_total`),
		probes:   metrics.GetOrCreateCounter(`saltbend_balancer_gone_probes_total`),
	}
}

// forwarder decides where to forward the datagrams of one face. It must be used
// by one goroutine only.
type forwarder struct {
	view
	face   *Face
	header encap.Header
	resets *rate.Limiter
	// resetAgent is the data address of the agent on whose behalf the caller is to
	// be sent a reset; decide sets it when it returns the resets counter.
	resetAgent netip.AddrPort
}

func newForwarder(self, public netip.AddrPort, resets *rate.Limiter) *forwarder {
	return &forwarder{resets: resets, header: encap.Header{Kind: encap.KindForward, Face: public, Balancer: self}}
}

// serveFace forwards the datagrams received at one face until its socket is
// closed.
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

// use makes decide act on the snapshot.
func (f *forwarder) use(s *Snapshot) {
	if !f.view.use(s) {
		return
	}
	f.face = s.Faces[f.header.Face]
	f.header.Revision = s.Revision
}

// decide classifies and routes the datagram that follows the headroom at the
// start of the buffer, and writes the encapsulation header into the headroom. It
// returns the agent to send to and the counter to increment. The agent is invalid
// if the datagram is to be dropped, or answered with a reset on behalf of
// f.resetAgent.
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
	if len(f.snapshot.GoneAddresses) != 0 && f.shouldReset(buffer[encap.HeaderSize:end], &v) {
		f.resetAgent = v.agent
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

// shouldReset reports whether to answer the datagram with a stateless reset
// because the flow's agent is gone and the rate limit allows another reset.
func (f *forwarder) shouldReset(datagram []byte, v *verdict) bool {
	return f.snapshot.GoneAddresses[v.agent].needsReset(datagram, v.incarnation) && f.resets.Allow()
}
