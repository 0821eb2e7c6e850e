package balancer

import (
	"net/netip"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/saltbend/saltbend/internal/config"
	"github.com/saltbend/saltbend/internal/control"
	"github.com/saltbend/saltbend/internal/member"
	"github.com/saltbend/saltbend/internal/token"
)

func TestGoneAddressesFollowTheSnapshot(t *testing.T) {
	g := NewWithT(t)
	at := func(port uint16, incarnation uint64) member.Member {
		return member.Member{
			Control: netip.AddrPortFrom(loopback, uint16(incarnation)), Data: netip.AddrPortFrom(loopback, port),
			Service: "results", Incarnation: incarnation,
		}
	}
	g.Expect(goneAddresses(nil).update(&control.Snapshot{})).To(BeEmpty())
	first := goneAddresses(nil).update(&control.Snapshot{Gone: []member.Member{at(1, 12), at(1, 11), at(1, 12), at(2, 13)}})
	g.Expect(first).To(HaveLen(2))
	entry := first[netip.AddrPortFrom(loopback, 1)]
	g.Expect(entry.Service).To(Equal(config.TagOf("results")))
	g.Expect(entry.Incarnations).To(Equal([]uint16{token.IncarnationTag(12), token.IncarnationTag(11)}))

	// An address keeps its entry only if its gone agents have not changed, and is
	// removed if an agent is live there.
	next := first.update(&control.Snapshot{
		Gone: []member.Member{at(2, 14), at(1, 12), at(1, 11), at(2, 13), at(3, 15)}, Agents: []member.Member{at(3, 16)},
	})
	g.Expect(next).To(HaveLen(2))
	g.Expect(next).To(HaveKeyWithValue(netip.AddrPortFrom(loopback, 1), BeIdenticalTo(entry)))
	second := netip.AddrPortFrom(loopback, 2)
	g.Expect(next[second]).NotTo(BeIdenticalTo(first[second]))
	g.Expect(next).NotTo(HaveKey(netip.AddrPortFrom(loopback, 3)), "an agent is live at the address")
}
