package control_test

import (
	"context"
	"log/slog"
	"net/netip"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/saltbend/saltbend/internal/config"
	"github.com/saltbend/saltbend/internal/control"
	"github.com/saltbend/saltbend/internal/gossip"
	"github.com/saltbend/saltbend/internal/member"
)

// fastTiming shortens the periods, so that a test waits for conditions only
// briefly. No test depends on the values.
func fastTiming() gossip.Timing {
	t := gossip.DefaultTiming()
	t.Renew = 300 * time.Millisecond
	t.Digest = 300 * time.Millisecond
	t.Avoid = 600 * time.Millisecond
	return t
}

// fleet starts nodes on one mesh.
type fleet struct {
	mesh *mesh
	join []netip.AddrPort
}

func (f *fleet) start(self member.Member) (*control.Node, context.CancelFunc) {
	ctx, cancel := context.WithCancel(context.Background())
	DeferCleanup(cancel)
	node, err := control.Start(ctx, control.Options{
		Self:   self,
		Peer:   f.mesh.open(self.Control),
		Join:   f.join,
		Timing: fastTiming(),
		Logger: slog.New(slog.DiscardHandler),
		Decode: func(_ []byte, revision uint64) (*config.Config, error) {
			return &config.Config{Revision: revision}, nil
		},
	})
	Expect(err).NotTo(HaveOccurred())
	return node, func() {
		f.mesh.crash(self.Control)
		cancel()
	}
}

func balancers(n *control.Node) func() int { return func() int { return len(n.Snapshot().Balancers) } }
func agents(n *control.Node) func() int    { return func() int { return len(n.Snapshot().Agents) } }

func stateOf(n *control.Node, addr netip.AddrPort) func() member.State {
	return func() member.State {
		for _, m := range n.Snapshot().Agents {
			if m.Control == addr {
				return m.State
			}
		}
		return member.StateGone
	}
}

var _ = Describe("A fleet", func() {
	It("learns of each process that joins and of each change it makes", func() {
		f := &fleet{mesh: newMesh(), join: []netip.AddrPort{addrOf(1, 0)}}
		var all []*control.Node
		for i := range 4 {
			n, _ := f.start(balancerAt(i))
			all = append(all, n)
		}
		a, _ := f.start(agentAt(0, "results"))
		b, _ := f.start(agentAt(1, "results"))
		_, _ = f.start(agentAt(2, "intake"))
		for _, n := range all {
			Eventually(balancers(n), patience).Should(Equal(4))
			Eventually(agents(n), patience).Should(Equal(3))
		}
		for _, n := range []*control.Node{a, b} {
			Eventually(agents(n), patience).Should(Equal(2))
			Eventually(balancers(n), patience).Should(Equal(4))
		}
		a.SetState(member.StateReady)
		for _, n := range append(all, b) {
			Eventually(stateOf(n, addrOf(2, 0)), patience).Should(Equal(member.StateReady))
		}
		a.SetState(member.StateDraining)
		a.Leave(context.Background())
		for _, n := range append(all, b) {
			Eventually(stateOf(n, addrOf(2, 0)), patience).Should(Equal(member.StateGone))
		}
	})
})
