package control_test

import (
	"net/netip"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/saltbend/saltbend/internal/control"
	"github.com/saltbend/saltbend/internal/member"
	"github.com/saltbend/saltbend/internal/seed"
	"github.com/saltbend/saltbend/test/storefake"
)

var _ = Describe("The store", func() {
	seeds := func(nodes []*node) func() int {
		return func() int {
			count := 0
			for _, n := range nodes {
				if n.Status().Seed {
					count++
				}
			}
			return count
		}
	}

	It("brings processes together and its changes to all", func() {
		f := newFleet().withStore()
		revision := f.apply(0)
		bs, as := f.startMany(5, 2)
		Eventually(seeds(bs), waitTimeout).Should(Equal(seed.Slots))
		for range 3 {
			revision = f.apply(revision)
			for _, n := range append(bs, as...) {
				Eventually(n.inForce, waitTimeout).Should(Equal(revision))
			}
		}
	})

	It("may be down while all processes are replaced one by one", func() {
		f := newFleet().withStore()
		revision := f.apply(0)
		bs, as := f.startMany(3, 2)
		for _, n := range append(bs, as...) {
			Eventually(n.inForce, waitTimeout).Should(Equal(revision))
		}
		f.fake.SetFaults(storefake.Faults{Down: true})
		for i := range 3 {
			next := balancerAt(10 + i)
			f.join = nil
			for _, b := range bs {
				f.join = append(f.join, b.addr)
			}
			n := f.start(next)
			n.SetState(member.StateReady)
			Eventually(n.inForce, waitTimeout).Should(Equal(revision))
			Eventually(n.readyMembers, waitTimeout).Should(Equal(6))
			bs[0].crash()
			bs = append(bs[1:], n)
			for _, b := range append(bs, as...) {
				Eventually(b.readyMembers, waitTimeout).Should(Equal(5))
			}
		}
		late := f.start(agentAt(9, "results"))
		late.SetState(member.StateReady)
		for _, n := range append(bs, as...) {
			Eventually(n.memberState(late.addr), waitTimeout).Should(Equal(member.StateReady))
		}
		Eventually(late.inForce, waitTimeout).Should(Equal(revision))
	})

	It("makes parts meet that formed apart", func() {
		f := newFleet().withStore()
		parts := f.client
		f.client = nil
		a := f.start(balancerAt(0))
		f.join = []netip.AddrPort{a.addr}
		f.client = parts
		b := f.start(balancerAt(1))
		f.join, f.client = nil, nil
		c := f.start(balancerAt(2))
		f.join = []netip.AddrPort{c.addr}
		f.client = parts
		d := f.start(balancerAt(3))
		for _, n := range []*node{a, b, c, d} {
			n.SetState(member.StateReady)
		}
		for _, n := range []*node{a, b, c, d} {
			Eventually(n.readyMembers, waitTimeout).Should(Equal(4))
		}
	})

	It("is called by seeds only, however many balancers there are", func() {
		f := newFleet().withStore()
		revision := f.apply(0)
		bs, as := f.startMany(9, 3)
		for _, n := range append(bs, as...) {
			Eventually(n.inForce, waitTimeout).Should(Equal(revision))
		}
		Eventually(seeds(bs), waitTimeout).Should(Equal(seed.Slots))
		// The first to start may hold the leases at first; they give way soon.
		callers := func() int {
			before := make(map[*node]int64)
			for _, n := range append(bs, as...) {
				before[n] = n.store.calls.Load()
			}
			Eventually(func() (calls int64) {
				for n, then := range before {
					calls += n.store.calls.Load() - then
				}
				return calls
			}, waitTimeout).Should(BeNumerically(">", 20))
			count := 0
			for n, calls := range before {
				if n.store.calls.Load() > calls {
					count++
				}
			}
			return count
		}
		Eventually(callers, waitTimeout).Should(Equal(seed.Slots))
	})

	It("brings a change to all though those who come first as seeds have lost it", func() {
		f := newFleet().withStore()
		revision := f.apply(0)
		bs, as := f.startMany(4, 1)
		var first []*node
		Eventually(func() int {
			first = nil
			for _, n := range bs {
				s := n.Snapshot()
				if n.Status().Seed && member.Rank(s.Self, s.Balancers) < seed.Slots {
					first = append(first, n)
				}
			}
			return len(first)
		}, waitTimeout).Should(Equal(seed.Slots))
		for _, n := range first {
			DeferCleanup(n.store.freeze())
		}
		for range 2 { // watches that are at the store already bring the first
			revision = f.apply(revision)
			for _, n := range append(bs, as...) {
				Eventually(n.inForce, waitTimeout).Should(Equal(revision))
			}
		}
	})

	It("loses a frozen seed its lease and nobody a route", func() {
		f := newFleet().withStore()
		revision := f.apply(0)
		bs, as := f.startMany(4, 2)
		Eventually(seeds(bs), waitTimeout).Should(Equal(seed.Slots))
		var frozen *node
		for _, n := range bs {
			if n.Status().Seed {
				frozen = n
			}
		}
		thaw := frozen.store.freeze()
		Eventually(func() bool { return frozen.Status().Seed }, waitTimeout).Should(BeFalse())
		revision = f.apply(revision)
		for _, n := range append(bs, as...) {
			Eventually(n.inForce, waitTimeout).Should(Equal(revision))
			Expect(n.readyMembers()).To(Equal(6))
		}
		thaw()
		Eventually(seeds(bs), waitTimeout).Should(Equal(seed.Slots))
		for _, n := range append(bs, as...) {
			Expect(n.inForce()).To(Equal(revision))
			Expect(n.eventCount(control.EventDeclared)).To(BeZero())
		}
	})
})
