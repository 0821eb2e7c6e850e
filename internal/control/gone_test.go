package control

import (
	"net/netip"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/saltbend/saltbend/internal/gossip"
	"github.com/saltbend/saltbend/internal/member"
)

// An agent must leave the snapshot's list of gone agents after GoneFor, even if
// nothing else causes a new snapshot.
func TestExpiredGoneAgentsLeaveSnapshotWithoutOtherChanges(t *testing.T) {
	g := NewWithT(t)
	at := func(port uint16) netip.AddrPort { return netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), port) }
	now := time.Unix(1000, 0)
	self := member.Member{Control: at(1), Role: member.RoleBalancer, Incarnation: 1, State: member.StateReady}
	n := &Node{options: Options{Now: func() time.Time { return now }}, engine: gossip.New(self, gossip.DefaultTiming(), newRand(self))}
	n.publish()
	n.engine.Table().Merge(member.Member{Control: at(2), Role: member.RoleAgent, Incarnation: 1, State: member.StateGone}, now)
	n.publishChanges(now)
	g.Expect(n.Snapshot().Gone).To(HaveLen(1))
	published := n.Snapshot()
	now = now.Add(GoneFor - 1)
	n.publishChanges(now)
	g.Expect(n.Snapshot()).To(BeIdenticalTo(published), "no new snapshot while nothing has changed")
	now = now.Add(2)
	n.publishChanges(now)
	g.Expect(n.Snapshot().Gone).To(BeEmpty())
}
