package control

import (
	"fmt"
	"net/netip"
	"time"

	"github.com/saltbend/saltbend/internal/adopt"
	"github.com/saltbend/saltbend/internal/config"
	"github.com/saltbend/saltbend/internal/event"
	"github.com/saltbend/saltbend/internal/gossip"
	"github.com/saltbend/saltbend/internal/member"
)

// Events of the configuration.
const (
	EventAdopted event.Kind = "Configuration adopted."
	EventServing event.Kind = "Configuration in force."
	EventRefused event.Kind = "Configuration refused."
	// EventUnconfigured: an agent's service is not in the configuration.
	EventUnconfigured event.Kind = "Service is not configured."
)

// adopted is the adopted configuration with its record as it travels.
type adopted struct {
	revision uint64
	// value is the store's value, a compressed record; nil at an agent that
	// fetched only the section of its service.
	value  []byte
	config *config.Config
}

// claim is what the process says of its configuration to another one.
func (n *Node) claim(now time.Time, to netip.AddrPort) gossip.Claim {
	return gossip.Claim{
		Revision:  n.adopt.Revision(),
		Serving:   n.serving != nil && n.options.Self.Role == member.RoleBalancer,
		Reading:   n.adopt.Reading(now),
		Balancers: n.balancersBesides(to),
	}
}

// balancersBesides returns the number of live balancers but for the process at
// the address.
func (n *Node) balancersBesides(addr netip.AddrPort) int {
	count := n.engine.Table().LiveBalancers()
	m, known := n.engine.Table().Get(addr)
	if known && m.Role == member.RoleBalancer && m.State != member.StateGone {
		count--
	}
	return count
}

// heard notes the claim in an answer to a call of our own.
func (n *Node) heard(now time.Time, from netip.AddrPort, c gossip.Claim, trip time.Duration) {
	a := answerOf(from, c)
	if c.Reading != nil {
		a.Reading = &adopt.Reading{Revision: c.Reading.Revision, Age: c.Reading.Age + trip}
	}
	n.adopt.Heard(a, now)
}

// heardFrom notes the claim in a call of another process. Its reading of the
// store is left out: how long the call was under way is not known.
func (n *Node) heardFrom(now time.Time, from netip.AddrPort, c gossip.Claim) {
	n.adopt.Heard(answerOf(from, c), now)
}

func answerOf(from netip.AddrPort, c gossip.Claim) adopt.Answer {
	return adopt.Answer{Peer: from, Revision: c.Revision, Serving: c.Serving, Balancers: c.Balancers}
}

// decideConfig fetches and serves what the adoption rule says.
func (n *Node) decideConfig(now time.Time) {
	n.adopt.Expect(n.balancersBesides(n.options.Self.Control))
	d := n.adopt.Decide(now)
	if d.Fetch > 0 && !n.fetching {
		n.fetching = true
		go n.fetch(d.From, n.adopted)
	}
	if d.Serve && n.serving != n.adopted.config {
		n.serving, n.dirty = n.adopted.config, true
		n.engine.SetRevision(n.adopted.revision)
		n.event(EventServing, fmt.Sprintf("revision %d: %s", n.adopted.revision, d.Reason))
	}
}

// revision returns the adopted revision from any goroutine.
func (n *Node) revision() (revision uint64) {
	n.ask(n.ctx, func(time.Time) { revision = n.adopt.Revision() })
	return revision
}

// take parses a record and adopts it if it is newer.
func (n *Node) take(value []byte, revision uint64) {
	if revision <= n.adopt.Revision() {
		return
	}
	c, err := n.options.Decode(value, revision)
	if err != nil {
		n.event(EventRefused, fmt.Sprintf("revision %d: %v", revision, err))
		return
	}
	n.adoptConfig(adopted{revision: revision, value: value, config: c})
}

// adoptConfig adopts a parsed configuration if it is newer.
func (n *Node) adoptConfig(a adopted) {
	if !n.adopt.Adopt(a.revision) {
		return
	}
	n.adopted = a
	n.event(EventAdopted, fmt.Sprintf("revision %d", a.revision))
}
