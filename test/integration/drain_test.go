package integration_test

import (
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"github.com/saltbend/saltbend/test/caller"
	"github.com/saltbend/saltbend/test/harness"
	"github.com/saltbend/saltbend/test/upstream"
)

// drainNotice is the time after the start of a drain after which the upstream must not
// receive new requests.
const drainNotice = 3 * time.Second

// expectNoNewWork checks that the upstream started no run after the given time.
func expectNoNewWork(fleet *harness.Fleet, name string, after time.Time) {
	ginkgo.GinkgoHelper()
	records, err := fleet.Records()
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	var late []upstream.Record
	for _, r := range records {
		if r.Upstream == name && r.Phase == upstream.PhaseStart && r.Time.After(after) {
			late = append(late, r)
		}
	}
	gomega.Expect(late).To(gomega.BeEmpty())
}

var _ = ginkgo.Describe("draining", func() {
	const callersEach = 40
	load := caller.Load{
		Feed: true, LookupEvery: 200 * time.Millisecond, SubmitEvery: 400 * time.Millisecond,
		UploadEvery: time.Second, UploadBytes: 300_000, BatchBytes: 400,
	}
	shape := size{balancers: 2, pairs: 3, upstreamArgs: []string{"--service-time", "20ms"}}

	ginkgo.It("announced by an upstream ends new work there and cuts nothing", func(ctx ginkgo.SpecContext) {
		fleet, pairs := start(ctx, shape, harness.DefaultValues(), results)
		tally := caller.NewTally()
		crowd := startCallers(ctx, fleet, tally, callersEach, load)
		awaitProgress(tally, callersEach, callersEach)
		leaving := pairs[0]
		gomega.Expect(leaving.SetBehaviour(ctx, upstream.Behaviour{
			Slots: 5, ServiceTime: 20 * time.Millisecond, FeedInterval: 200 * time.Millisecond, Drain: true,
		})).To(gomega.Succeed())
		begun := time.Now()
		gomega.Eventually(func() bool { return time.Since(begun) > 2*drainNotice }, waitTimeout).Should(gomega.BeTrue())
		awaitProgress(tally, 4*callersEach, 8*callersEach)
		crowd.Stop()
		expectNoNewWork(fleet, leaving.Upstream.Name, begun.Add(drainNotice))
		expectNoErrors(fleet, tally, callersEach)
	}, ginkgo.SpecTimeout(specTimeout))
})
