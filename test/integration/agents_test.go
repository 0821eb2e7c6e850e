package integration_test

import (
	"syscall"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"github.com/saltbend/saltbend/test/caller"
	"github.com/saltbend/saltbend/test/harness"
)

var _ = ginkgo.Describe("agents", func() {
	const callers = 40
	load := caller.Load{
		Feed: true, LookupEvery: 200 * time.Millisecond,
		SubmitEvery: time.Second, BatchBytes: 500, UploadEvery: time.Second, UploadBytes: 64 << 10,
	}

	ginkgo.It("leave under load: work ends, feeds stay, nothing new comes", func(ctx ginkgo.SpecContext) {
		fleet, pairs := start(ctx, size{balancers: 3, pairs: 3}, harness.DefaultValues(), results)
		tally := caller.NewTally()
		crowd := startCallers(ctx, fleet, tally, callers, load)
		awaitProgress(tally, callers, callers)
		leaving := pairs[0]
		leaving.Agent.Signal(syscall.SIGTERM)
		awaitProgress(tally, 8*callers, 8*callers)
		settled := runs(fleet, tally, leaving)
		awaitProgress(tally, 8*callers, 8*callers)
		gomega.Expect(runs(fleet, tally, leaving)).To(gomega.Equal(settled), "an upstream whose agent is stopping ran new requests")
		gomega.Expect(leaving.Agent.Alive()).To(gomega.BeTrue(), "the agent ended while it still served feeds")
		awaitEventsOnAllFeeds(tally, callers)
		crowd.Stop()
		gomega.Eventually(leaving.Agent.Done(), waitTimeout).Should(gomega.BeClosed())
		gomega.Expect(leaving.Agent.ExitCode()).To(gomega.BeZero())
		expectNoErrors(fleet, tally, callers)
	}, ginkgo.SpecTimeout(specTimeout))
})

// runs returns the number of requests, without feeds, that a pair's upstream has run.
func runs(fleet *harness.Fleet, tally *caller.Tally, pair *harness.Pair) int {
	ginkgo.GinkgoHelper()
	audit, err := fleet.Audit(tally.Report())
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	return audit.Runs[pair.Service][pair.Upstream.Name]
}
