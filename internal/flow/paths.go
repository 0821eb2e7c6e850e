package flow

import (
	"net/netip"
	"slices"
	"time"
)

// Times and bounds of the return path.
const (
	// silentAfter is the time without a datagram of the caller after which a
	// flow no longer relies on the balancer that carried its last one.
	silentAfter = 100 * time.Millisecond
	// rotateEvery is how long the packets of a silent flow go through one
	// balancer: long enough for a burst to stay in order, shorter than QUIC's
	// shortest probe timeout, so that each retransmission takes another way. A
	// flow whose caller speaks keeps its balancer for as long, too.
	rotateEvery = 20 * time.Millisecond
	// flowFor is how long a flow without a datagram of its caller is
	// remembered; it is longer than MaxIdleTimeout, after which QUIC has given
	// up the connection.
	flowTTL = MaxIdleTimeout + 30*time.Second
	// balancerFor is how long a balancer that the fleet's membership doesn't
	// (or not yet) name is used after it last carried a datagram.
	balancerTTL = time.Second
	// maxFlows bounds the remembered flows. Beyond it a random one is forgotten
	// for each new one: its replies then take all balancers in turn, as those of
	// a silent flow do, until its caller speaks again.
	maxFlows = 1 << 15
)

// Key identifies a flow's addresses: who sent and which public face took it.
type Key struct {
	Caller netip.AddrPort
	Face   netip.AddrPort
}

// Flow is a caller at a face. It is the net.Addr that QUIC knows the caller
// by, so that a reply finds its way without a look-up.
type Flow struct {
	Key
	text         string
	balancer     netip.AddrPort
	chosenAt     time.Time // when the balancer was chosen
	lastReceived time.Time
	// turn counts the ways that a silent flow has taken, turned is when it
	// took the last one.
	rotation  uint64
	rotatedAt time.Time
}

// Network implements net.Addr.
func (f *Flow) Network() string { return "udp" }

// String implements net.Addr. It names caller and face: QUIC takes two
// addresses for one path when their strings are equal.
func (f *Flow) String() string { return f.text }

// Paths decides through which balancer a reply returns. It is pure: time and
// what was heard come in, decisions go out. It is not safe for concurrent use.
type Paths struct {
	flows     map[Key]*Flow
	balancers map[netip.AddrPort]*balancer
	live      []netip.AddrPort
	ordered   []*balancer // all known balancers, in the order of their addresses
	probes    probes
}

// NewPaths returns a Paths that knows no flow. The first nonce of a probe is
// nonce+1; a start's nonces should not overlap those of an earlier one.
func NewPaths(nonce uint64) *Paths {
	return &Paths{
		flows:     map[Key]*Flow{},
		balancers: map[netip.AddrPort]*balancer{},
		probes:    probes{nonce: nonce},
	}
}

// Arrived records that a balancer carried a datagram of the caller.
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

// forgetOne makes room. Go's maps start at a random place.
func (p *Paths) evictOne() {
	for key := range p.flows {
		delete(p.flows, key)
		return
	}
}

// heard notes that a balancer carried a datagram to here. That says nothing of
// the way back, so it lifts no suspicion.
func (p *Paths) recordCarrier(now time.Time, via netip.AddrPort) {
	b := p.balancers[via]
	if b == nil {
		b = &balancer{addr: via}
		p.balancers[via] = b
		p.rebuild()
	}
	b.lastReceived = now
}

// SetLive names the balancers that the fleet's membership knows to live.
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

// Choose returns the balancer through which a datagram to the flow's caller
// goes now: the one that last carried the flow while the caller speaks and the
// balancer is usable, else the usable ones in turn.
func (p *Paths) Choose(now time.Time, f *Flow) netip.AddrPort {
	if current := p.flows[f.Key]; current != nil {
		f = current // QUIC keeps the first address, also of a flow that was forgotten
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
		return f.balancer // nothing better is known
	}
	chosen.lastUsed = now
	return chosen.addr
}

// usableAt returns the balancer whose turn it is, or the next usable one. The
// turns count the unusable ones as well: else each new suspicion would number
// the others anew, and a good one could be passed over turn after turn.
func (p *Paths) usableAt(now time.Time, rotation uint64) *balancer {
	n := uint64(len(p.ordered))
	for i := range n {
		if b := p.ordered[(rotation+i)%n]; b.usable(now) {
			return b
		}
	}
	return nil
}

// Tick expires what is old and returns the probes to send.
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

// Answered records a balancer's answer to a probe: both ways work.
func (p *Paths) Answered(now time.Time, addr netip.AddrPort, nonce uint64) {
	if b := p.balancers[addr]; b != nil {
		b.recordAnswer(now, nonce)
	}
}

// Expire forgets flows whose callers have long been silent.
func (p *Paths) Expire(now time.Time) {
	for key, f := range p.flows {
		if now.Sub(f.lastReceived) > flowTTL {
			delete(p.flows, key)
		}
	}
}

// Flows returns the number of remembered flows.
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

// rebuild lists the known balancers in the order of their addresses.
func (p *Paths) rebuild() {
	p.ordered = p.ordered[:0]
	for _, b := range p.balancers {
		p.ordered = append(p.ordered, b)
	}
	slices.SortFunc(p.ordered, func(a, b *balancer) int { return a.addr.Compare(b.addr) })
}
