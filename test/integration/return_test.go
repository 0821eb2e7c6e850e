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

// returnPatience bounds the wait for what a store brings that came back from a copy; on
// a machine with time for the processes it takes some 2 s.
const returnPatience = 25 * time.Second

// enough is a number of balancers that share their watches of the store.
const enough = 14

// believes returns what a balancer believes.
func believes(ctx SpecContext, b *packetfleet.Node) packetreport.Balancer {
	believed, err := packetreport.Fetch(ctx, b.Host.Control())
	Expect(err).NotTo(HaveOccurred())
	return believed
}

// configure writes a version of the configuration.
func (f *packetFleet) configure(version int) {
	f.Configure(version, packetplatform.Route{Face: packetFace, Service: results, Safe: true},
		packetplatform.Route{Face: packetOther, Service: exams, Safe: true})
}

// expectVersion expects all balancers to have a version in force.
func (f *packetFleet) expectVersion(ctx SpecContext, version int) {
	GinkgoHelper()
	Eventually(func() (behind []string) {
		for _, b := range f.Balancers {
			if in := believes(ctx, b).Version; in != uint64(version) {
				behind = append(behind, fmt.Sprintf("%s has %d", b.Host.Name, in))
			}
		}
		return behind
	}, returnPatience, "100ms").Should(BeEmpty(), "version %d", version)
}

// expectListeners expects that most balancers learn from the watches of others.
func (f *packetFleet) expectListeners(ctx SpecContext) {
	GinkgoHelper()
	Eventually(func() (listen int) {
		for _, b := range f.Balancers {
			if believes(ctx, b).ListensTo != "" {
				listen++
			}
		}
		return listen
	}, patience).Should(BeNumerically(">=", enough/2))
}

// lose writes what a return of the store from a copy of before takes away.
func (f *packetFleet) lose() {
	for i := range 5 {
		f.Store.Put(fmt.Sprintf("op/other-%d", i), nil)
	}
}

var _ = Describe("the packet face, when the store comes back from a copy,", Label("packet"), func() {
	// Balancers that listened to the watch of another one took what was written after
	// the return for older than what they knew. Of 14, three still served the version
	// before 5 s after the change; those that watched the store themselves had read it
	// anew ("Store read." revision=48, 52 before).
	It("puts the next configuration in force on every balancer", func(ctx SpecContext) {
		f := startPackets(ctx, enough, results, exams)
		f.openFlows(30) // agents hear of all balancers
		f.expectListeners(ctx)
		old := f.Store.Copy()
		f.lose()
		for _, b := range f.Balancers {
			Eventually(func() string { return believes(ctx, b).ListAsOf }, patience).Should(HaveSuffix(fmt.Sprintf("/%d", f.Store.Revision())))
		}
		f.Store.Return(old)
		f.configure(2)
		f.expectVersion(ctx, 2)
	}, SpecTimeout(specTimeout))

	// A balancer compared the revision of the configuration with that of the one in
	// force and took the same revision for the same text; no watch was told either, as
	// the store had that revision again. Nobody adopted the new version within 5 s, at 3
	// balancers nor at 14.
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

	// The copy lacked an evacuation; operators wrote it again and took it back later. Its
	// end had a lower revision than the request of before, so it was passed over, and the
	// data centre got nothing more.
	It("keeps an evacuation that the copy lacks, and ends it when it is taken back", func(ctx SpecContext) {
		f := startPackets(ctx, 2, results)
		annex, err := f.AddAgentIn(ctx, "annex", "agent-annex", results)
		Expect(err).NotTo(HaveOccurred())
		for _, b := range f.Balancers {
			Eventually(logOf(b), patience).Should(ContainSubstring(`"reason":"annex"`))
		}
		old := f.Store.Copy()
		f.lose()
		f.Store.Put(platform.EvacuationKey("annex"), []byte("{}"))
		Eventually(logOf(annex), patience).Should(ContainSubstring("data-centre-evacuated"))
		lost := f.Store.Return(old)
		before := ran(annex)
		f.openFlows(20)
		Expect(annex.Upstream.Runs()).To(HaveLen(before))
		f.Store.RepeatWrite(old, lost[len(lost)-1])
		f.openFlows(20)
		Expect(annex.Upstream.Runs()).To(HaveLen(before))
		f.Store.Remove(platform.EvacuationKey("annex"))
		Eventually(logOf(annex), returnPatience).Should(ContainSubstring("data-centre-taken-back"))
		f.expectOnce()
	}, SpecTimeout(specTimeout))

	// The copy lacked the entries of agents that had begun after it, and the numbers of
	// their leases were given out again. Balancers that live through the return keep their
	// flows, one that starts then finds them, and what a leaving agent had withdrawn does
	// not come back.
	It("lists agents again that the copy lacks", func(ctx SpecContext) {
		f := startPackets(ctx, 2, results, exams)
		old := f.Store.Copy()
		for i := range 3 {
			f.addAgent(ctx, packetfleet.Name("later", i), results)
		}
		for _, b := range f.Balancers {
			Eventually(func() int { return len(believes(ctx, b).Agents) }, patience).Should(Equal(5))
		}
		flows := f.openFlows(30)
		f.Store.Return(old)
		young := f.addBalancer(ctx, "balancer-young")
		f.useAll()
		f.requestOnAll(flows, "second")
		Eventually(func() int { return len(f.Store.Keys("saltbend/agents/")) }, returnPatience, "50ms").Should(Equal(5))
		Eventually(func() int { return len(believes(ctx, young).Agents) }, returnPatience).Should(Equal(5))
		f.requestOnAll(flows, "third")
		Consistently(func() int { return len(f.Store.Keys("saltbend/agents/")) }, "1s").Should(Equal(5), "nobody ends another's lease")
		f.expectOnce()
	}, SpecTimeout(specTimeout))

	// A balancer that starts before operators have written their configuration again reads
	// the one of the copy. Agents tell it of the one in force.
	It("lets a balancer that starts in between have the configuration in force", func(ctx SpecContext) {
		f := startPackets(ctx, 2, results, exams)
		f.openFlows(5)
		old := f.Store.Copy()
		f.configure(2)
		f.expectVersion(ctx, 2)
		f.openFlows(5) // agents hear of it
		f.Store.Return(old)
		f.addBalancer(ctx, "balancer-young")
		f.useAll()
		f.openFlows(5)
		f.expectVersion(ctx, 2)
		f.configure(3)
		f.expectVersion(ctx, 3)
		Eventually(func() bool { return believes(ctx, f.Balancers[2]).Settling }, patience).Should(BeFalse(), "noted in the store")
		f.expectOnce()
	}, SpecTimeout(specTimeout))

	It("goes on after two returns in a row with all processes killed in between", func(ctx SpecContext) {
		f := startPackets(ctx, 3, results, exams)
		f.openFlows(10)
		older := f.Store.Copy()
		f.configure(2)
		f.expectVersion(ctx, 2)
		old := f.Store.Copy()
		f.lose()
		f.Store.Return(old)
		for _, n := range f.Nodes() {
			n.Process.Kill()
		}
		f.Store.Return(older)
		for _, n := range append(slices.Clone(f.Agents), f.Balancers...) { // no balancer is ready without agents
			f.run(ctx, n)
		}
		f.useAll()
		f.openFlows(10)
		f.configure(4)
		f.expectVersion(ctx, 4)
		f.expectOnce()
	}, SpecTimeout(specTimeout))
})
