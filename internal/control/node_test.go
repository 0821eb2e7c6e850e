package control_test

import (
	"context"
	"net/netip"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/saltbend/saltbend/internal/control"
	"github.com/saltbend/saltbend/internal/member"
)

var _ = Describe("Membership", func() {
	It("propagates each process's joining, change of state and departure", func() {
		f := newFleet()
		bs, as := f.startMany(4, 2)
		other := f.start(agentAt(2, "intake"))
		for _, n := range bs {
			Eventually(n.memberState(other.addr), waitTimeout).Should(Equal(member.StateStarting))
		}
		a := as[0]
		a.SetState(member.StateDraining)
		for _, n := range append(bs, as[1]) {
			Eventually(n.memberState(a.addr), waitTimeout).Should(Equal(member.StateDraining))
		}
		a.Leave(context.Background())
		for _, n := range append(bs, as[1]) {
			Eventually(n.memberState(a.addr), waitTimeout).Should(Equal(member.StateGone))
		}
		Expect(as[1].memberState(other.addr)()).To(Equal(member.StateGone), "an agent does not receive the agents of another service")
	})

	It("declares a crashed process gone, and accepts a new process at the same address", func() {
		f := newFleet()
		bs, as := f.startMany(4, 3)
		as[0].crash()
		for _, n := range append(bs, as[1:]...) {
			Eventually(n.memberState(as[0].addr), waitTimeout).Should(Equal(member.StateGone))
		}
		for _, n := range bs {
			Expect(n.goneAddrs()).To(Equal([]netip.AddrPort{as[0].addr}))
		}
		Expect(as[1].goneAddrs()).To(BeEmpty(), "only balancers publish gone agents")
		f.start(agentAt(0, "results")).SetState(member.StateReady)
		for _, n := range append(bs, as[1:]...) {
			Eventually(n.memberState(as[0].addr), waitTimeout).Should(Equal(member.StateReady))
		}
	})

	It("declares an unreachable host gone, and accepts it again once it is reachable", func() {
		f := newFleet()
		bs, as := f.startMany(4, 3)
		lost := as[0]
		f.mesh.SetCut(func(a, _ netip.AddrPort) bool { return a == lost.addr })
		for _, n := range append(bs, as[1:]...) {
			Eventually(n.memberState(lost.addr), waitTimeout).Should(Equal(member.StateGone))
		}
		f.mesh.SetCut(nil)
		for _, n := range append(bs, as[1:]...) {
			Eventually(n.memberState(lost.addr), waitTimeout).Should(Equal(member.StateReady))
			Expect(n.goneAddrs()).To(BeEmpty())
		}
	})

	It("declares no member gone during a partition between two halves of the balancers", func() {
		f := newFleet()
		bs, as := f.startMany(4, 4)
		side := func(a netip.AddrPort) bool { return a.Addr().As4()[3]%2 == 0 }
		f.mesh.SetCut(func(a, b netip.AddrPort) bool { return side(a) != side(b) })
		for _, n := range bs {
			Eventually(func() int { return n.eventCount(control.EventRetained) }, waitTimeout).Should(BeNumerically(">", 0))
		}
		f.mesh.SetCut(nil)
		for _, n := range bs {
			Eventually(func() int { return n.Status().Suspected }, waitTimeout).Should(BeZero())
			Expect(n.eventCount(control.EventDeclared)).To(BeZero(), "%v", n.events.Since(0))
			Expect(n.readyMembers()).To(Equal(8))
		}
		_ = as
	})
})
