package gate

import (
	"net/netip"
	"time"

	"github.com/saltbend/saltbend/internal/packetface/inner"
	"github.com/saltbend/saltbend/platform"
)

// flowState is where a flow stands in its life.
type flowState uint8

const (
	flowOpening flowState = iota + 1
	flowOpen
	flowClosed
)

// flow is what the agent knows of a flow.
type flow struct {
	state flowState
	// balancer sent the last packet.
	balancer netip.AddrPort
	// began is when the upstream last accepted the opening, or else when the flow
	// was first seen; seen is when its last packet came.
	began, seen time.Duration
	// openedLate is the age of the opening packet that was let in; repeatedAfter is
	// how long before the caller may have opened another flow for the same request.
	openedLate, repeatedAfter time.Duration
	// opening is the opening packet, until it is answered.
	opening []byte
	// answered tells that the upstream has accepted the opening; accepted is
	// the sequence of its answer.
	answered bool
	accepted uint32
	// acknowledged is the caller's last count.
	acknowledged uint32
	// sent is the caller's count after the data that the upstream got; sentKnown
	// tells that any was seen. What a caller repeats is no new request.
	sent      uint32
	sentKnown bool
	// running tells that a request is not answered yet, asked since when.
	running bool
	asked   time.Duration
	// terms are those of the route; served tells that a request of the flow has
	// been answered; waiting is the request that waits, if any.
	terms   inner.Terms
	served  bool
	waiting *waiting
	// callerDone and upstreamDone tell that the end has closed its direction.
	callerDone, upstreamDone bool
	// probing tells that the agent has handed on a packet without knowing
	// whether the upstream holds the flow.
	probing bool
}

// remember makes room for a flow; a full table forgets any closed one first.
func (g *Gate) remember(id platform.Flow, now time.Duration, state flowState) *flow {
	if len(g.flows) >= maxFlows {
		g.makeRoom()
	}
	f := &flow{began: now, seen: now}
	g.flows[id] = f
	g.setState(f, state)
	return f
}

func (g *Gate) makeRoom() {
	for id, f := range g.flows {
		if f.state == flowClosed {
			g.forget(id, f)
			return
		}
	}
	g.upstream.whole, g.upstream.firstCold = false, 0 // a living flow is forgotten: the upstream tells
	for id, f := range g.flows {
		g.forget(id, f)
		return
	}
}

func (g *Gate) forget(id platform.Flow, f *flow) {
	g.setState(f, flowClosed)
	delete(g.flows, id)
}

// setState keeps the counts of open flows and running requests true.
func (g *Gate) setState(f *flow, state flowState) {
	if f.state == flowOpen {
		g.open--
	}
	if state == flowOpen {
		g.open++
	}
	if state == flowClosed {
		g.setRunning(f, false)
		g.drop(f)
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

// owns reports whether a packet with this count belongs to the flow as this
// upstream has opened it: copies of an opening packet may have reached several,
// and the caller goes on with the one whose answer came first.
func (g *Gate) owns(f *flow, acknowledged uint32) bool {
	if f.state != flowOpening || f.probing {
		return true
	}
	const window = 1 << 17 // more than 16 packets of data
	return f.answered && acknowledged-f.accepted < window
}

// countRequest notes that data of a request goes to the upstream.
func (g *Gate) countRequest(now time.Duration, f *flow, p *platform.Packet) {
	if !f.isNew(p) {
		return
	}
	f.sent, f.sentKnown = p.Sequence+uint32(p.Length), true
	if f.state != flowOpen {
		return
	}
	if !f.running {
		f.asked = now
	}
	g.setRunning(f, true)
}

// isNew reports whether a packet brings data that the upstream has not got.
func (f *flow) isNew(p *platform.Packet) bool {
	end := p.Sequence + uint32(p.Length)
	return p.Length > 0 && (!f.sentKnown || int32(end-f.sent) > 0)
}

// closeIfDone closes a flow that was reset or that both ends have closed.
func (g *Gate) closeIfDone(f *flow, p *platform.Packet) {
	if p.Flags.Has(platform.FlagRST) || (f.callerDone && f.upstreamDone) {
		g.setState(f, flowClosed)
	}
}

// sweep forgets flows that were closed or never opened, and those that are
// older than a flow may be.
func (g *Gate) sweep(now time.Duration) {
	g.swept = now
	for balancer, at := range g.balancers {
		if now-at > balancerTime {
			delete(g.balancers, balancer)
		}
	}
	for id, f := range g.flows {
		if f.running && now-f.asked > runningTime {
			g.setRunning(f, false) // its caller has gone, or a packet was lost
		}
		limit := g.settings.FlowMaxAge
		switch f.state {
		case flowOpening:
			limit = openingTime
		case flowClosed:
			limit = closedTime
		}
		if now-f.seen > limit {
			g.forget(id, f)
		}
	}
}
