package integration_test

import (
	"fmt"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"github.com/saltbend/saltbend/test/caller"
	"github.com/saltbend/saltbend/test/fabric"
	"github.com/saltbend/saltbend/test/harness"
)

var _ = ginkgo.Describe("balancers", func() {
	const (
		callersEach = 40
		silentEach  = 20
	)
	load := caller.Load{Feed: true, LookupEvery: 300 * time.Millisecond}
	// A caller that has only a feed sends packets only in response to packets received.
	silence := caller.Load{Feed: true}

	ginkgo.It("may all be killed and replaced in turn", func(ctx ginkgo.SpecContext) {
		fleet, _ := start(ctx, size{balancers: 3, pairs: 3}, harness.DefaultValues(), results, exams)
		tally := caller.NewTally()
		crowd := startCallers(ctx, fleet, tally, callersEach, load)
		silent := startCallers(ctx, fleet, tally, silentEach, silence)
		for _, old := range fleet.Balancers() {
			gomega.Expect(fleet.KillBalancer(ctx, old)).To(gomega.Succeed())
			_, err := fleet.AddBalancer(ctx)
			gomega.Expect(err).NotTo(gomega.HaveOccurred())
			awaitProgress(tally, 4*callersEach, 8*callersEach)
		}
		crowd.Stop()
		silent.Stop()
		expectNoErrors(fleet, tally, 2*(callersEach+silentEach))
	}, ginkgo.SpecTimeout(specTimeout))

	// recovers injects a fault into one balancer while the fabric continues to send
	// packets through it, and checks that no flow breaks.
	recovers := func(ctx ginkgo.SpecContext, what string, fail func(*harness.Fleet, *harness.Process)) {
		fleet, _ := start(ctx, size{balancers: 3, pairs: 2}, harness.DefaultValues(), results)
		tally, quiet := caller.NewTally(), caller.NewTally()
		crowd := startCallers(ctx, fleet, tally, callersEach, load)
		silent := startCallers(ctx, fleet, quiet, silentEach, silence)
		awaitProgress(tally, callersEach, callersEach)
		before := tally.Report()
		fail(fleet, fleet.Balancers()[0])
		awaitProgress(tally, 4*callersEach, 8*callersEach)
		awaitEventsOnAllFeeds(quiet, silentEach)
		crowd.Stop()
		silent.Stop()
		after := tally.Report()
		ginkgo.AddReportEntry("recovery", fmt.Sprintf(
			"%s: longest gap in a feed %s (%s of a silent caller), slowest lookup %s; before the fault %s and %s",
			what, after.LongestGap, quiet.Report().LongestGap, after.Max[caller.KindLookup],
			before.LongestGap, before.Max[caller.KindLookup]),
			ginkgo.ReportEntryVisibilityAlways)
		expectNoErrors(fleet, tally, callersEach)
		expectNoErrors(fleet, quiet, silentEach)
	}

	ginkgo.It("may freeze without breaking a flow", func(ctx ginkgo.SpecContext) {
		recovers(ctx, "frozen", func(_ *harness.Fleet, b *harness.Process) {
			gomega.Expect(b.Freeze()).To(gomega.Succeed())
		})
	}, ginkgo.SpecTimeout(specTimeout))

	ginkgo.DescribeTable("may have a bad link without breaking a flow",
		func(ctx ginkgo.SpecContext, faults fabric.Faults) {
			recovers(ctx, fmt.Sprintf("%+v", faults), func(fleet *harness.Fleet, b *harness.Process) {
				gomega.Expect(fleet.Fabric.SetFaults(ctx, b.Name, faults)).To(gomega.Succeed())
			})
		},
		ginkgo.Entry("cut towards it", fabric.Faults{CutTo: true}, ginkgo.SpecTimeout(specTimeout)),
		ginkgo.Entry("cut from it", fabric.Faults{CutFrom: true}, ginkgo.SpecTimeout(specTimeout)),
		ginkgo.Entry("that loses, delays and reorders", fabric.Faults{
			Drop: 0.1, Delay: time.Millisecond, Reorder: 0.2, ReorderBy: 5 * time.Millisecond,
		}, ginkgo.SpecTimeout(specTimeout)),
	)
})
