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

	It("lets processes join each other and distributes each change to all of them", func() {
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

	It("may be unavailable while all balancers are replaced one by one", func() {
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

	It("merges parts of a fleet that started separately", func() {
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

	It("is called only by seeds, regardless of the number of balancers", func() {
		f := newFleet().withStore()
		revision := f.apply(0)
		bs, as := f.startMany(9, 3)
		for _, n := range append(bs, as...) {
			Eventually(n.inForce, waitTimeout).Should(Equal(revision))
		}
		Eventually(seeds(bs), waitTimeout).Should(Equal(seed.Slots))
		// The first balancers to start may hold the leases at first; they release them
		// to those of higher rank after a while.
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

	It("distributes a change although the first-ranked seeds cannot reach the store", func() {
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
		for range 2 { // watches already waiting in the store still deliver the first change
			revision = f.apply(revision)
			for _, n := range append(bs, as...) {
				Eventually(n.inForce, waitTimeout).Should(Equal(revision))
			}
		}
	})

	It("moves the lease away from a frozen seed without any member being lost", func() {
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
