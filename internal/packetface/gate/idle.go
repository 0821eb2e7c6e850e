package gate

import (
	"net/netip"
	"slices"
	"time"

	"github.com/saltbend/saltbend/internal/packetface/inner"
)

// An agent that gets no datagrams from balancers may be missing in the store, so that no
// balancer knows it. It sends a check to a balancer, which answers with a poll. There may
// be thousands of idle agents, and these checks keep them from querying the store. The
// agent queries the store only if no balancer answers.

const (
	// idleTimeout is the time without a datagram from any balancer after which a check is
	// sent.
	idleTimeout = 2 * time.Second
	// checkTimeout is the time to wait for the answer to a check.
	checkTimeout = 300 * time.Millisecond
	// maxChecks is the number of unanswered checks after which the agent queries the store.
	maxChecks = 2
	// maxRecent bounds the recent balancers that are kept as receivers of checks.
	maxRecent = 8
)

// idle tracks whether balancers use the agent, and which of them to send a check to.
type idle struct {
	// recent are balancers that have recently sent datagrams, seeds are those named in the
	// settings.
	recent, seeds []netip.AddrPort
	// replaced and turns are round-robin counters: replaced selects the entry of recent to
	// overwrite next, turns the balancer to send the next check to.
	replaced, turns int
	// lastCheck is when the last check was sent; unanswered is the number of checks sent
	// since a balancer last sent a datagram.
	lastCheck  time.Duration
	unanswered int
	// allSilent is true if no balancer has answered the checks.
	allSilent bool
}

// noteDatagram records that a balancer has sent a datagram.
func (i *idle) noteDatagram(from netip.AddrPort) {
	i.unanswered = 0
	if slices.Contains(i.recent, from) {
		return
	}
	if len(i.recent) < maxRecent {
		i.recent = append(i.recent, from)
		return
	}
	i.recent[i.replaced%maxRecent] = from
	i.replaced++
}

// next returns the balancer to send the next check to; ok is false if none is known.
func (i *idle) next() (to netip.AddrPort, ok bool) {
	known := i.recent
	if len(known) == 0 || i.unanswered > 0 && len(i.seeds) > 0 {
		known = i.seeds
	}
	if len(known) == 0 {
		return netip.AddrPort{}, false
	}
	i.turns++
	return known[i.turns%len(known)], true
}

// SetSeeds sets the addresses of the balancers named in the settings. They may no longer
// exist.
func (g *Gate) SetSeeds(seeds []netip.AddrPort) { g.idle.seeds = seeds }

// CheckListed sends a check to a balancer, asking whether the store lists this agent, if no
// balancer has sent a datagram for idleTimeout. written is true if no write to the store is
// pending: balancers do not know an entry yet that has just been written. If no balancer
// answers, TakeNoBalancerAnswered returns true.
func (g *Gate) CheckListed(now time.Duration, written bool) *Result {
	g.resetResult()
	i := &g.idle
	if !written {
		i.lastCheck, i.unanswered = now, 0
		return &g.out
	}
	wait := idleTimeout
	if i.unanswered > 0 {
		wait = checkTimeout
	}
	if now-max(g.lastDatagram, i.lastCheck) < wait {
		return &g.out
	}
	i.lastCheck = now
	to, ok := i.next()
	if !ok || i.unanswered >= maxChecks {
		i.unanswered, i.allSilent = 0, true
		return &g.out
	}
	i.unanswered++
	start := len(g.buffer)
	g.buffer = inner.AppendCheck(g.buffer)
	g.sendBuffer(ToBalancer, to, start)
	return &g.out
}

// TakeNoBalancerAnswered reports whether checks have been left unanswered by all balancers
// since the last call of TakeNoBalancerAnswered.
func (g *Gate) TakeNoBalancerAnswered() bool {
	allSilent := g.idle.allSilent
	g.idle.allSilent = false
	return allSilent
}
