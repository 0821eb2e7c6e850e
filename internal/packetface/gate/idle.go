package gate

import (
	"net/netip"
	"slices"
	"time"

	"github.com/saltbend/saltbend/internal/packetface/inner"
)

// An agent that no balancer calls may be missing in the store, so that none knows it. It
// asks a balancer, which answers with a poll; so does each of thousands of idle agents,
// and the store hears of none of them. Only where no balancer answers is the store asked.

const (
	// idleCheck is the time without a word of any balancer after which one is asked.
	idleCheck = 2 * time.Second
	// checkPatience is how long its answer is waited for, checksMost how many are asked.
	checkPatience = 300 * time.Millisecond
	checksMost    = 2
	// maxRecent bounds the balancers that are remembered to be asked.
	maxRecent = 8
)

// idle is what an agent knows of its being called.
type idle struct {
	// recent are balancers that have called lately, seeds those that the settings name.
	recent, seeds []netip.AddrPort
	// heard and turn count balancers that were remembered and that were asked: each
	// replaces the oldest, each is asked in its turn.
	heard, turn int
	// checked is when one was asked last, asked how many were since one has called.
	checked time.Duration
	asked   int
	// alone tells that none has answered.
	alone bool
}

// called notes that a balancer has called.
func (i *idle) called(from netip.AddrPort) {
	i.asked = 0
	if slices.Contains(i.recent, from) {
		return
	}
	if len(i.recent) < maxRecent {
		i.recent = append(i.recent, from)
		return
	}
	i.recent[i.heard%maxRecent] = from
	i.heard++
}

// next returns the balancer to ask; ok is false where none is known.
func (i *idle) next() (to netip.AddrPort, ok bool) {
	known := i.recent
	if len(known) == 0 || i.asked > 0 && len(i.seeds) > 0 {
		known = i.seeds
	}
	if len(known) == 0 {
		return netip.AddrPort{}, false
	}
	i.turn++
	return known[i.turn%len(known)], true
}

// SetSeeds names where balancers take datagrams that the settings name; they may be gone.
func (g *Gate) SetSeeds(seeds []netip.AddrPort) { g.idle.seeds = seeds }

// CheckListed asks a balancer whether the store lists this agent, if none has called for
// a while. written tells that nothing is left to be written: an entry that has only just
// been is not known to balancers yet. TakeAlone tells when none answers.
func (g *Gate) CheckListed(now time.Duration, written bool) *Result {
	g.begin()
	i := &g.idle
	if !written {
		i.checked, i.asked = now, 0
		return &g.out
	}
	wait := idleCheck
	if i.asked > 0 {
		wait = checkPatience
	}
	if now-max(g.asked, i.checked) < wait {
		return &g.out
	}
	i.checked = now
	to, ok := i.next()
	if !ok || i.asked >= checksMost {
		i.asked, i.alone = 0, true
		return &g.out
	}
	i.asked++
	start := len(g.buffer)
	g.buffer = inner.AppendCheck(g.buffer)
	g.sendBuffer(ToBalancer, to, start)
	return &g.out
}

// TakeAlone reports whether no balancer has answered since the last call.
func (g *Gate) TakeAlone() bool {
	alone := g.idle.alone
	g.idle.alone = false
	return alone
}
