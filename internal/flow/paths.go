package flow

import (
	"net/netip"
	"slices"
	"time"
)

// Timeouts and limits for selecting the balancer of a reply.
const (
	// silentAfter is the time without a datagram from the caller after which a
	// flow counts as silent: its replies no longer depend on the balancer that
	// carried the caller's last datagram.
	silentAfter = 100 * time.Millisecond
	// rotateEvery is how long the replies of a silent flow go through one
	// balancer. It is long enough to keep a burst in order, and shorter than
	// QUIC's shortest probe timeout, so that each retransmission goes through
	// another balancer. An active flow keeps its balancer for at least as long.
	rotateEvery = 20 * time.Millisecond
	// flowTTL is how long a flow is kept after the caller's last datagram. It is
	// longer than MaxIdleTimeout, after which QUIC closes the connection.
	flowTTL = MaxIdleTimeout + 30*time.Second
	// balancerTTL is how long a balancer that is not, or not yet, in the fleet's
	// membership is used after it last carried a datagram.
	balancerTTL = time.Second
	// maxFlows is the size limit of the flow table. When it is full, each new
	// flow evicts a random one. The replies of an evicted flow rotate over all
	// balancers, like those of a silent flow, until its caller's next datagram.
	maxFlows = 1 << 15
)

// Key identifies a flow by the caller's address and the face, the public
// address that the caller sends to.
type Key struct {
	Caller netip.AddrPort
	Face   netip.AddrPort
}

// Flow is the state of the traffic between a caller and a face. The QUIC
// library uses it as the caller's net.Addr, so that the address passed to WriteTo
// identifies the flow of the reply.
type Flow struct {
	Key
	text         string
	balancer     netip.AddrPort
	chosenAt     time.Time // when balancer was set
	lastReceived time.Time
	// rotation counts how often a silent flow changed its balancer; rotatedAt
	// is the time of the last change.
	rotation  uint64
	rotatedAt time.Time
}

// Network implements net.Addr.
func (f *Flow) Network() string { return "udp" }

// String implements net.Addr. It contains both the caller and the face, because
// the QUIC library treats two addresses with equal strings as one path.
func (f *Flow) String() string { return f.text }

// Paths selects the balancer that each reply is sent through. It does no I/O and
// does not read the clock: its methods take the current time and the received
// datagrams as arguments. It is not safe for concurrent use.
type Paths struct {
	flows     map[Key]*Flow
	balancers map[netip.AddrPort]*balancer
	live      []netip.AddrPort
	ordered   []*balancer // all known balancers, sorted by address
	probes    probes
}

// NewPaths returns a Paths without flows. The first probe has the nonce nonce+1.
// The nonces should not overlap those of an earlier run of the agent.
func NewPaths(nonce uint64) *Paths {
	return &Paths{
		flows:     map[Key]*Flow{},
		balancers: map[netip.AddrPort]*balancer{},
		probes:    probes{nonce: nonce},
	}
}

// Arrived records that the balancer at the address via carried a datagram from
// the caller, and returns the caller's flow.
func (p *Paths) Arrived(now time.Time, key Key, via netip.AddrPort) *Flow {
	f := p.flows[key]
	if f == nil {
		if len(p.flows) >= maxFlows {
			p.evictOne()
		}
		f = &Flow{Key: key, rotation: uint64(key.Caller.Port()), text: key.Caller.String() + " at " + key.Face.String()}
		p.flows[key] = f
	}
	if now.Sub(f.chosenAt) >= rotateEvery {
		f.balancer, f.chosenAt = via, now
	}
	f.lastReceived = now
	p.recordCarrier(now, via)
	return f
}

// evictOne deletes a random flow; Go starts the iteration over a map at a random
// element.
func (p *Paths) evictOne() {
	for key := range p.flows {
		delete(p.flows, key)
		return
	}
}

// recordCarrier records that the balancer at the address via carried a datagram to
// this agent.
// It does not clear a suspicion, because replies may still get lost on the path
// through this balancer.
func (p *Paths) recordCarrier(now time.Time, via netip.AddrPort) {
	b := p.balancers[via]
	if b == nil {
		b = &balancer{addr: via}
		p.balancers[via] = b
		p.rebuild()
	}
	b.lastReceived = now
}

// SetLive sets the balancers that the fleet's membership lists as live.
func (p *Paths) SetLive(now time.Time, live []netip.AddrPort) {
	p.live = slices.Clone(live)
	for _, b := range p.balancers {
		b.member = false
	}
	for _, addr := range p.live {
		b := p.balancers[addr]
		if b == nil {
			b = &balancer{addr: addr}
			p.balancers[addr] = b
		}
		b.member = true
	}
	p.rebuild()
}

// Choose returns the balancer for a datagram to the flow's caller. While the
// caller is active, it is the balancer that carried the caller's datagrams, if
// usable. Otherwise Choose rotates over the usable balancers.
func (p *Paths) Choose(now time.Time, f *Flow) netip.AddrPort {
	if current := p.flows[f.Key]; current != nil {
		f = current // QUIC keeps the first address, even if its flow was evicted
	}
	last := p.balancers[f.balancer]
	if now.Sub(f.lastReceived) <= silentAfter && last != nil && last.usable(now) {
		last.lastUsed = now
		return last.addr
	}
	if now.Sub(f.rotatedAt) >= rotateEvery {
		f.rotation++
		f.rotatedAt = now
	}
	chosen := p.usableAt(now, f.rotation)
	if chosen == nil {
		return f.balancer // no balancer is usable, try the flow's last one
	}
	chosen.lastUsed = now
	return chosen.addr
}

// usableAt returns the balancer at the position given by rotation, or the next
// usable one. Unusable balancers keep their positions: otherwise each new
// suspicion would renumber the others, and a working balancer could be skipped
// in several successive rotations.
func (p *Paths) usableAt(now time.Time, rotation uint64) *balancer {
	n := uint64(len(p.ordered))
	for i := range n {
		if b := p.ordered[(rotation+i)%n]; b.usable(now) {
			return b
		}
	}
	return nil
}

// Tick removes balancers that are not in the membership and no longer carry
// datagrams, and returns the probes to send.
func (p *Paths) Tick(now time.Time) []Probe {
	before := len(p.balancers)
	for addr, b := range p.balancers {
		if !b.member && now.Sub(b.lastReceived) > balancerTTL {
			delete(p.balancers, addr)
		}
	}
	if len(p.balancers) != before {
		p.rebuild()
	}
	return p.probes.due(now, p.balancers)
}

// Answered records a balancer's answer to a probe. The answer shows that the
// path works in both directions.
func (p *Paths) Answered(now time.Time, addr netip.AddrPort, nonce uint64) {
	if b := p.balancers[addr]; b != nil {
		b.recordAnswer(now, nonce)
	}
}

// Expire deletes flows without a datagram from the caller for flowTTL.
func (p *Paths) Expire(now time.Time) {
	for key, f := range p.flows {
		if now.Sub(f.lastReceived) > flowTTL {
			delete(p.flows, key)
		}
	}
}

// Flows returns the number of flows in the flow table.
func (p *Paths) Flows() int { return len(p.flows) }

// Suspects returns the number of balancers that don't answer probes.
func (p *Paths) Suspects() int {
	n := 0
	for _, b := range p.balancers {
		if b.suspected {
			n++
		}
	}
	return n
}

// rebuild sorts the known balancers by address into p.ordered.
func (p *Paths) rebuild() {
	p.ordered = p.ordered[:0]
	for _, b := range p.balancers {
		p.ordered = append(p.ordered, b)
	}
	slices.SortFunc(p.ordered, func(a, b *balancer) int { return a.addr.Compare(b.addr) })
}
