package integration_test

import (
	"fmt"
	"slices"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	packetreport "github.com/saltbend/saltbend/internal/packetface/report"
	"github.com/saltbend/saltbend/platform"
	"github.com/saltbend/saltbend/test/packetfleet"
	"github.com/saltbend/saltbend/test/packetplatform"
)

// returnTimeout limits waits for changes after the store was restored from a copy. They
// take about 2 s if the machine is not overloaded.
const returnTimeout = 25 * time.Second

// sharedWatchBalancers is a number of balancers that is large enough for them to share
// watches of the store.
const sharedWatchBalancers = 14

// balancerReport fetches a balancer's report of its state.
func balancerReport(ctx SpecContext, b *packetfleet.Node) packetreport.Balancer {
	believed, err := packetreport.Fetch(ctx, b.Host.Control())
	Expect(err).NotTo(HaveOccurred())
	return believed
}

// configure writes a version of the configuration.
func (f *packetFleet) configure(version int) {
	f.Configure(version, packetplatform.Route{Face: packetFace, Service: results, Safe: true},
		packetplatform.Route{Face: packetOther, Service: exams, Safe: true})
}

// expectVersion waits until all balancers have the version in force.
func (f *packetFleet) expectVersion(ctx SpecContext, version int) {
	GinkgoHelper()
	Eventually(func() (behind []string) {
		for _, b := range f.Balancers {
			if in := balancerReport(ctx, b).Version; in != uint64(version) {
				behind = append(behind, fmt.Sprintf("%s has %d", b.Host.Name, in))
			}
		}
		return behind
	}, returnTimeout, "100ms").Should(BeEmpty(), "version %d", version)
}

// expectListeners waits until at least half of the balancers receive changes through the
// watch of another balancer.
func (f *packetFleet) expectListeners(ctx SpecContext) {
	GinkgoHelper()
	Eventually(func() (listen int) {
		for _, b := range f.Balancers {
			if balancerReport(ctx, b).ListensTo != "" {
				listen++
			}
		}
		return listen
	}, waitTimeout).Should(BeNumerically(">=", sharedWatchBalancers/2))
}

// writeKeysToLose writes keys that are lost when the store is restored from a copy taken
// before.
func (f *packetFleet) writeKeysToLose() {
	for i := range 5 {
		f.Store.Put(fmt.Sprintf("op/other-%d", i), nil)
	}
}

var _ = Describe("the packet face, when the store comes back from a copy,", Label("packet"), func() {
	// Balancers that receive changes through another balancer's watch must not discard
	// writes made after the restore as older than their state because of the lower
	// revision. With that fault, three of 14 balancers still served the previous version
	// 5 s after the change; those that watch the store themselves had read it again
	// ("Store read." revision=48, 52 before).
	It("puts the next configuration in force on every balancer", func(ctx SpecContext) {
		f := startPackets(ctx, sharedWatchBalancers, results, exams)
		f.openFlows(30) // agents receive packets from all balancers
		f.expectListeners(ctx)
		old := f.Store.Copy()
		f.writeKeysToLose()
		for _, b := range f.Balancers {
			Eventually(func() string { return balancerReport(ctx, b).ListAsOf }, waitTimeout).Should(HaveSuffix(fmt.Sprintf("/%d", f.Store.Revision())))
		}
		f.Store.Return(old)
		f.configure(2)
		f.expectVersion(ctx, 2)
	}, SpecTimeout(specTimeout))

	// A balancer must not skip a configuration because its revision equals that of the
	// configuration in force: after a restore the store issues the revision again, for
	// another text, and sends no event to watches that already have the revision. With
	// that fault, no balancer adopted the new version within 5 s, with 3 balancers nor
	// with 14.
	It("puts a configuration in force that has the revision of a lost one", func(ctx SpecContext) {
		f := startPackets(ctx, 3, results, exams)
		f.configure(2)
		f.expectVersion(ctx, 2)
		old := f.Store.Copy()
		f.configure(3)
		f.expectVersion(ctx, 3)
		f.Store.Return(old)
		f.configure(4)
		f.expectVersion(ctx, 4)
	}, SpecTimeout(specTimeout))

	// The copy lacks an evacuation, which operators request again and cancel later. The
	// cancellation has a lower revision than the first request. With the fault it was
	// ignored for that reason, and the data centre received no new flows any more.
	It("keeps an evacuation that the copy lacks, and ends it when it is taken back", func(ctx SpecContext) {
		f := startPackets(ctx, 2, results)
		annex, err := f.AddAgentIn(ctx, "annex", "agent-annex", results)
		Expect(err).NotTo(HaveOccurred())
		for _, b := range f.Balancers {
			Eventually(logOf(b), waitTimeout).Should(ContainSubstring(`"reason":"annex"`))
		}
		old := f.Store.Copy()
		f.writeKeysToLose()
		f.Store.Put(platform.EvacuationKey("annex"), []byte("{}"))
		Eventually(logOf(annex), waitTimeout).Should(ContainSubstring("data-centre-evacuated"))
		lost := f.Store.Return(old)
		before := requestsRun(annex)
		f.openFlows(20)
		Expect(annex.Upstream.Runs()).To(HaveLen(before))
		f.Store.RepeatWrite(old, lost[len(lost)-1])
		f.openFlows(20)
		Expect(annex.Upstream.Runs()).To(HaveLen(before))
		f.Store.Remove(platform.EvacuationKey("annex"))
		Eventually(logOf(annex), returnTimeout).Should(ContainSubstring("data-centre-taken-back"))
		f.expectRunOnce()
	}, SpecTimeout(specTimeout))

	// The copy lacks the entries of agents that started after it, and the store issues the
	// ids of their leases again. Balancers that keep running must keep their flows, a
	// balancer that starts after the restore must find the owners of the flows, an entry
	// that a leaving agent withdrew must not return, and no process may end the lease of
	// another.
	It("lists agents again that the copy lacks", func(ctx SpecContext) {
		f := startPackets(ctx, 2, results, exams)
		old := f.Store.Copy()
		for i := range 3 {
			f.addAgent(ctx, packetfleet.Name("later", i), results)
		}
		for _, b := range f.Balancers {
			Eventually(func() int { return len(balancerReport(ctx, b).Agents) }, waitTimeout).Should(Equal(5))
		}
		flows := f.openFlows(30)
		f.Store.Return(old)
		added := f.addBalancer(ctx, "balancer-young")
		f.useReadyBalancers()
		f.requestOnAll(flows, "second")
		Eventually(func() int { return len(f.Store.Keys("saltbend/agents/")) }, returnTimeout, "50ms").Should(Equal(5))
		Eventually(func() int { return len(balancerReport(ctx, added).Agents) }, returnTimeout).Should(Equal(5))
		f.requestOnAll(flows, "third")
		Consistently(func() int { return len(f.Store.Keys("saltbend/agents/")) }, "1s").Should(Equal(5), "a process must not end the lease of another")
		f.expectRunOnce()
	}, SpecTimeout(specTimeout))

	// A balancer that starts before operators have repeated the lost write reads the
	// configuration of the copy. It must adopt the newer one in force from the agents.
	It("lets a balancer that starts in between have the configuration in force", func(ctx SpecContext) {
		f := startPackets(ctx, 2, results, exams)
		f.openFlows(5)
		old := f.Store.Copy()
		f.configure(2)
		f.expectVersion(ctx, 2)
		f.openFlows(5) // agents receive the version with the packets
		f.Store.Return(old)
		f.addBalancer(ctx, "balancer-young")
		f.useReadyBalancers()
		f.openFlows(5)
		f.expectVersion(ctx, 2)
		f.configure(3)
		f.expectVersion(ctx, 3)
		Eventually(func() bool { return balancerReport(ctx, f.Balancers[2]).Settling }, waitTimeout).Should(BeFalse(), "the balancer is still settling the new era of the store")
		f.expectRunOnce()
	}, SpecTimeout(specTimeout))

	It("goes on after two returns in a row with all processes killed in between", func(ctx SpecContext) {
		f := startPackets(ctx, 3, results, exams)
		f.openFlows(10)
		older := f.Store.Copy()
		f.configure(2)
		f.expectVersion(ctx, 2)
		old := f.Store.Copy()
		f.writeKeysToLose()
		f.Store.Return(old)
		for _, n := range f.Nodes() {
			n.Process.Kill()
		}
		f.Store.Return(older)
		for _, n := range append(slices.Clone(f.Agents), f.Balancers...) { // agents first, since a balancer without agents isn't ready
			f.run(ctx, n)
		}
		f.useReadyBalancers()
		f.openFlows(10)
		f.configure(4)
		f.expectVersion(ctx, 4)
		f.expectRunOnce()
	}, SpecTimeout(specTimeout))
})
