package control

import (
	"fmt"
	"net/netip"
	"time"

	"github.com/saltbend/saltbend/internal/adopt"
	"github.com/saltbend/saltbend/internal/confdelta"
	"github.com/saltbend/saltbend/internal/config"
	"github.com/saltbend/saltbend/internal/event"
	"github.com/saltbend/saltbend/internal/gossip"
	"github.com/saltbend/saltbend/internal/member"
	"github.com/saltbend/saltbend/internal/record"
)

// Events about the configuration.
const (
	EventAdopted event.Kind = "configuration-adopted"
	EventServing event.Kind = "configuration-in-force"
	EventRefused event.Kind = "configuration-refused"
	// EventUnconfigured: the agent's service is not in the configuration.
	EventUnconfigured event.Kind = "service-not-configured"
)

// adopted is the adopted configuration, parsed and as text.
type adopted struct {
	revision uint64
	// log holds the text and its recent changes. It is empty in an agent, which
	// fetches only the section of its service.
	log    confdelta.Log
	config *config.Config
}

// claim returns what the process states about its configuration in a message to
// another process.
func (n *Node) claim(now time.Time, to netip.AddrPort) gossip.Claim {
	return gossip.Claim{
		Revision:  n.adopt.Revision(),
		Serving:   n.serving != nil && n.options.Self.Role == member.RoleBalancer,
		Reading:   n.adopt.Reading(now),
		Balancers: n.balancersExcept(to),
	}
}

// balancersExcept returns the number of live balancers, not counting the process
// at addr.
func (n *Node) balancersExcept(addr netip.AddrPort) int {
	count := n.engine.Table().LiveBalancers()
	m, known := n.engine.Table().Get(addr)
	if known && m.Role == member.RoleBalancer && m.State != member.StateGone {
		count--
	}
	return count
}

// recordReplyClaim records what another process claims about its configuration
// in a reply to a call of this process. trip, the round-trip time of the call,
// is added to the age of the store reading in the claim.
func (n *Node) recordReplyClaim(now time.Time, from netip.AddrPort, c gossip.Claim, trip time.Duration) {
	a := answerFrom(from, c)
	if c.Reading != nil {
		a.Reading = &adopt.Reading{Revision: c.Reading.Revision, Age: c.Reading.Age + trip}
	}
	n.adopt.RecordAnswer(a, now)
}

// recordRequestClaim records the claim in a request of another process. It
// ignores the store reading in the claim: the time that the request took to
// arrive is unknown, so the age of the reading is unknown as well.
func (n *Node) recordRequestClaim(now time.Time, from netip.AddrPort, c gossip.Claim) {
	n.adopt.RecordAnswer(answerFrom(from, c), now)
}

// answerFrom converts a claim into an answer for the adoption rules. It leaves out
// c.Reading, the claim's reading of the store.
func answerFrom(from netip.AddrPort, c gossip.Claim) adopt.Answer {
	return adopt.Answer{Peer: from, Revision: c.Revision, Serving: c.Serving, Balancers: c.Balancers}
}

// decideConfig fetches and serves configurations as the adoption rules decide.
func (n *Node) decideConfig(now time.Time) {
	n.adopt.SetBalancers(n.balancersExcept(n.options.Self.Control))
	d := n.adopt.Decide(now)
	if d.Fetch > 0 && !n.fetching {
		n.fetching = true
		go n.fetch(d.From, n.adopted)
	}
	if d.Serve && n.serving != n.adopted.config {
		n.serving, n.dirty = n.adopted.config, true
		n.engine.SetRevision(n.adopted.revision)
		n.recordEvent(EventServing, fmt.Sprintf("revision %d: %s", n.adopted.revision, d.Reason))
	}
}

// revision returns the adopted revision. Any goroutine may call it.
func (n *Node) revision() (revision uint64) {
	n.runTask(n.ctx, func(time.Time) { revision = n.adopt.Revision() })
	return revision
}

// adoptValue parses a stored value and adopts it if its revision is newer.
func (n *Node) adoptValue(value []byte, revision uint64) {
	if revision <= n.adopt.Revision() {
		return
	}
	a, err := n.parseValue(value, revision)
	if err != nil {
		n.recordEvent(EventRefused, fmt.Sprintf("revision %d: %v", revision, err))
		return
	}
	n.adoptConfig(a)
}

// parseValue parses a stored value and computes the changes from the adopted text
// to the new one.
func (n *Node) parseValue(value []byte, revision uint64) (adopted, error) {
	text, err := n.options.Decode(value)
	if err != nil {
		return adopted{}, err
	}
	c, err := record.ParseConfigJSON(text, revision)
	if err != nil {
		return adopted{}, err
	}
	log, err := n.adopted.log.Advance(revision, text)
	return adopted{revision: revision, log: log, config: c}, err
}

// adoptConfig adopts a parsed configuration if its revision is newer.
func (n *Node) adoptConfig(a adopted) {
	if !n.adopt.Adopt(a.revision) {
		return
	}
	n.adopted = a
	if n.options.Self.Role == member.RoleAgent && sectionOf(a.config, n.options.Self.Service) == nil {
		n.recordEvent(EventUnconfigured, fmt.Sprintf("revision %d has no service %s", a.revision, n.options.Self.Service))
	}
	n.recordEvent(EventAdopted, fmt.Sprintf("revision %d", a.revision))
}
