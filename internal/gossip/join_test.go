package gossip

import (
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/saltbend/saltbend/internal/member"
)

func joinBalancer(port int) member.Member {
	return member.Member{
		Control: netip.MustParseAddrPort("192.0.2.1:" + string(rune('0'+port))), Role: member.RoleBalancer,
		Incarnation: 1, State: member.StateReady,
	}
}

// announcedTo returns the balancers to which the engine sends renewals at now.
func announcedTo(e *Engine, now time.Time) (to []netip.AddrPort) {
	for _, a := range e.Actions(now) {
		if s, ok := a.(SendAnnounce); ok {
			to = append(to, s.To)
		}
	}
	return to
}

// If a process stopped announcing to its join addresses as soon as another
// balancer announced itself, the two could form a group that never meets the rest
// of the fleet.
func TestJoinAddressIsAnnouncedToAfterAnotherBalancerAppears(t *testing.T) {
	g := NewWithT(t)
	self, early, join := joinBalancer(1), joinBalancer(2), joinBalancer(3)
	e := New(self, DefaultTiming(), rand.New(rand.NewPCG(1, 1)))
	e.SetJoin([]netip.AddrPort{self.Control, join.Control})
	now := time.Unix(1_000_000, 0)
	e.HandleAnnounce(now, Announce{Self: early})
	g.Expect(announcedTo(e, now)).To(ConsistOf(early.Control, join.Control))

	e.AnnounceFailed(now, join.Control)
	now = now.Add(2 * DefaultTiming().Renew)
	g.Expect(announcedTo(e, now)).To(ConsistOf(early.Control), "a join address that does not answer is skipped during its back-off")

	now = now.Add(DefaultTiming().Backoff)
	g.Expect(announcedTo(e, now)).To(ContainElement(join.Control))
	e.AnnounceDone(now, join.Control, Announce{Self: self}, AnnounceReply{Epoch: 1, Members: []member.Member{join}})
	now = now.Add(2 * DefaultTiming().Renew)
	g.Expect(announcedTo(e, now)).To(ConsistOf(early.Control, join.Control))
}
