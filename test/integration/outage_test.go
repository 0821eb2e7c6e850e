package integration_test

import (
	"syscall"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"github.com/saltbend/saltbend/test/caller"
	"github.com/saltbend/saltbend/test/harness"
	"github.com/saltbend/saltbend/test/storefake"
)

var _ = ginkgo.Describe("a store that is down after the start", func() {
	const callersEach = 30

	ginkgo.It("keeps nobody from replacing balancers, agents and upstreams one by one", func(ctx ginkgo.SpecContext) {
		fleet, pairs := start(ctx, size{balancers: 3, pairs: 2}, harness.DefaultValues(), results, exams)
		tally := caller.NewTally()
		crowd := startCallers(ctx, fleet, tally, callersEach, caller.Load{Feed: true, LookupEvery: 200 * time.Millisecond})
		gomega.Expect(fleet.SetStoreFaults(ctx, storefake.Faults{Down: true})).To(gomega.Succeed())
		for _, old := range fleet.Balancers() {
			_, err := fleet.AddBalancer(ctx)
			gomega.Expect(err).NotTo(gomega.HaveOccurred())
			gomega.Expect(fleet.StopBalancer(ctx, old)).To(gomega.Succeed())
			awaitProgress(tally, callersEach, callersEach)
		}
		added := make(map[string]bool)
		for _, old := range pairs {
			pair, err := fleet.AddPair(ctx, old.Service)
			gomega.Expect(err).NotTo(gomega.HaveOccurred())
			added[pair.Upstream.Name] = true
			old.Agent.Signal(syscall.SIGTERM)
			gomega.Eventually(func() int {
				load, err := old.Load(ctx)
				gomega.Expect(err).NotTo(gomega.HaveOccurred())
				return load.Busy + load.Feeds
			}, waitTimeout).Should(gomega.BeZero(), "an upstream whose agent is stopping still has requests or feeds")
			old.Upstream.Kill()
			awaitProgress(tally, callersEach, callersEach)
			awaitEventsOnAllFeeds(tally, 2*callersEach)
		}
		crowd.Stop()
		for _, old := range pairs {
			// The agent ends when its callers have closed their last connection.
			gomega.Eventually(old.Agent.Done(), waitTimeout).Should(gomega.BeClosed())
			gomega.Expect(old.Agent.ExitCode()).To(gomega.BeZero())
		}
		expectNoErrors(fleet, tally, 2*callersEach)
		audit, err := fleet.Audit(tally.Report())
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		for _, upstreams := range audit.Runs {
			for name := range upstreams {
				delete(added, name)
			}
		}
		gomega.Expect(added).To(gomega.BeEmpty(), "new upstreams that received no requests")
	}, ginkgo.SpecTimeout(specTimeout))
})
