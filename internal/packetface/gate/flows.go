package gate

import (
	"net/netip"
	"time"

	"github.com/saltbend/saltbend/internal/packetface/admission"
	"github.com/saltbend/saltbend/internal/packetface/inner"
	"github.com/saltbend/saltbend/platform"
)

// flowState is the phase of a flow's life cycle.
type flowState uint8

const (
	flowOpening flowState = iota + 1
	flowOpen
	flowClosed
)

// flow is the agent's state for one flow.
type flow struct {
	state flowState
	// balancer is the address of the balancer that forwarded the flow's last packet.
	balancer netip.AddrPort
	// openedAt is when the upstream last accepted the opening packet, or when the agent
	// first saw the flow if the upstream has not accepted the packet; lastPacket is when
	// the flow's last packet arrived.
	openedAt, lastPacket time.Duration
	// openingAge is the time from the caller's first transmission of the opening packet to
	// the transmission of the admitted copy, 0 if that copy is the first. retryOffset is
	// how long before its first transmission the caller may have opened another flow for
	// the same request.
	openingAge, retryOffset time.Duration
	// opening is the opening packet, kept until the upstream answers it.
	opening []byte
	// answered is true once the upstream has accepted the opening packet; acceptedSequence
	// is the sequence number of that reply.
	answered         bool
	acceptedSequence uint32
	// acknowledged is the acknowledgement number of the caller's last packet.
	acknowledged uint32
	// sent is the sequence number after the last data forwarded to the upstream, valid if
	// sentKnown. Data below it is a retransmission and not a new request.
	sent      uint32
	sentKnown bool
	// running is true while a request forwarded to the upstream is unanswered; requestedAt
	// is when it was forwarded.
	running     bool
	requestedAt time.Duration
	// timed is set if the upstream began on the running request at once, so that the time
	// until the answer is its service time.
	timed bool
	// terms are the terms of the flow's route; served is true once a request of the flow
	// has been answered; waiting is the request that is queued for a slot, nil if none.
	terms   inner.Terms
	served  bool
	waiting *waiting
	// expected is true from the admission of the flow until its first request arrives, for
	// requestTimeout at most.
	expected bool
	// callerDone is true once the caller has closed its direction of the flow, upstreamDone
	// once the upstream has.
	callerDone, upstreamDone bool
	// probing is true after the agent has forwarded a packet without knowing whether the
	// upstream holds the flow, until the upstream answers.
	probing bool
}

// addFlow adds a flow to the table. If the table is full, a closed flow is evicted first,
// or any flow if none is closed.
func (g *Gate) addFlow(id platform.Flow, now time.Duration, state flowState) *flow {
	if len(g.flows) >= maxFlows {
		g.evictFlow()
	}
	f := &flow{openedAt: now, lastPacket: now}
	g.flows[id] = f
	g.setState(f, state)
	return f
}

func (g *Gate) evictFlow() {
	for id, f := range g.flows {
		if f.state == flowClosed {
			g.removeFlow(id, f)
			return
		}
	}
	g.upstream.fullyObserved, g.upstream.initialWarmupLeft = false, 0 // an open flow is removed, so from now on only the upstream knows all its flows
	for id, f := range g.flows {
		g.removeFlow(id, f)
		return
	}
}

func (g *Gate) removeFlow(id platform.Flow, f *flow) {
	g.setState(f, flowClosed)
	delete(g.flows, id)
}

// setState changes a flow's state and updates the counts of open flows and running
// requests.
func (g *Gate) setState(f *flow, state flowState) {
	if f.state == flowOpen {
		g.open--
	}
	if state == flowOpen {
		g.open++
	}
	if state == flowClosed {
		g.unexpect(f)
		g.setRunning(f, false)
		g.dequeue(f)
	}
	f.state = state
}

func (g *Gate) setRunning(f *flow, running bool) {
	if f.running == running {
		return
	}
	f.running = running
	if running {
		g.running++
	} else {
		g.running--
	}
}

// owns reports whether a packet with this acknowledgement number belongs to the flow as
// accepted by this upstream. Retransmissions of an opening packet may have reached several
// upstreams, and the caller continues with the one whose answer arrived first.
func (g *Gate) owns(f *flow, acknowledged uint32) bool {
	if f.state != flowOpening || f.probing {
		return true
	}
	const window = 1 << 17 // more than 16 packets of data
	return f.answered && acknowledged-f.acceptedSequence < window
}

// countRequest records that data of a request is forwarded to the upstream, and marks the
// request as running if the data is new.
func (g *Gate) countRequest(now time.Duration, f *flow, p *platform.Packet) {
	if !f.isNew(p) {
		return
	}
	if f.state == flowOpen {
		g.noteRequest(now, f)
	}
	f.sent, f.sentKnown = p.Sequence+uint32(p.Length), true
	if f.state != flowOpen {
		return
	}
	if f.running {
		return
	}
	f.requestedAt = now
	g.setRunning(f, true)
	f.timed = g.hasTime(f)
}

// noteRequest records the arrival of a request. The first one of a flow has been counted
// with the flow's opening packet.
func (g *Gate) noteRequest(now time.Duration, f *flow) {
	g.requestArrived(now, f)
	if f.served && !f.running {
		g.openings.Arrived(now, admission.Request{Priority: f.terms.Priority})
	}
}

// isNew reports whether a packet carries data that has not been forwarded to the upstream.
func (f *flow) isNew(p *platform.Packet) bool {
	end := p.Sequence + uint32(p.Length)
	return p.Length > 0 && (!f.sentKnown || int32(end-f.sent) > 0)
}

// closeIfDone marks a flow as closed if it was reset or both ends have closed it.
func (g *Gate) closeIfDone(f *flow, p *platform.Packet) {
	if p.Flags.Has(platform.FlagRST) || (f.callerDone && f.upstreamDone) {
		g.setState(f, flowClosed)
	}
}

// sweep removes flows that were closed or never opened once their retention time is over,
// open flows without a packet for FlowMaxAge, and balancers that have been silent for
// inner.BalancerTTL. Requests without an answer for maxRunningTime no longer count as running.
func (g *Gate) sweep(now time.Duration) {
	g.swept = now
	for balancer, at := range g.balancers {
		if now-at > inner.BalancerTTL {
			delete(g.balancers, balancer)
			delete(g.loadReceivers, balancer)
		}
	}
	for id, f := range g.flows {
		if f.running && now-f.requestedAt > maxRunningTime {
			g.setRunning(f, false) // the caller has given up, or a packet was lost
		}
		limit := g.settings.FlowMaxAge
		switch f.state {
		case flowOpening:
			limit = openingTTL
		case flowClosed:
			limit = closedTTL
		}
		if now-f.lastPacket > limit {
			g.removeFlow(id, f)
		}
	}
}
