package integration_test

import (
	"context"
	"fmt"
	"strconv"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"github.com/saltbend/saltbend/test/caller"
	"github.com/saltbend/saltbend/test/harness"
	"github.com/saltbend/saltbend/test/upstream"
)

// fault injects a fault into a pair while it serves requests, and repairs the pair. The
// tally shows the outcomes that callers receive meanwhile.
type fault func(context.Context, *harness.Fleet, *harness.Pair, *caller.Tally)

func killAgent(ctx context.Context, fleet *harness.Fleet, pair *harness.Pair, _ *caller.Tally) {
	pair.Agent.Kill()
	gomega.Expect(fleet.AddAgent(ctx, pair)).To(gomega.Succeed())
}

// freezeAgent freezes the agent beyond the deadline of all requests that it has. Answers
// that reached it while frozen can still be delivered when it resumes, so it stays frozen
// until a caller that repeated its request elsewhere has received the outcome "unknown".
func freezeAgent(_ context.Context, _ *harness.Fleet, pair *harness.Pair, tally *caller.Tally) {
	before := unknown(tally)
	gomega.Expect(pair.Agent.Freeze()).To(gomega.Succeed())
	time.Sleep(attemptTimeout)
	gomega.Eventually(func() int { return unknown(tally) }, waitTimeout).Should(gomega.BeNumerically(">", before))
	pair.Agent.Thaw()
}

func unknown(tally *caller.Tally) int { return tally.Report().Counts[caller.KindSubmission].Unknown }

func crashUpstream(ctx context.Context, fleet *harness.Fleet, pair *harness.Pair, _ *caller.Tally) {
	b := upstream.Behaviour{Slots: submissionSlots, ServiceTime: submissionTime, CrashNext: true}
	gomega.Expect(pair.SetBehaviour(ctx, b)).To(gomega.Succeed())
	gomega.Eventually(pair.Upstream.Done(), waitTimeout).Should(gomega.BeClosed())
	pair.Agent.Kill() // its upstream doesn't return
	next, err := fleet.AddPair(ctx, pair.Service, submissionArgs...)
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	*pair = *next
}

const (
	submissionTime  = 80 * time.Millisecond
	submissionSlots = 2
)

var submissionArgs = []string{"--slots", strconv.Itoa(submissionSlots), "--service-time", submissionTime.String()}

var _ = ginkgo.Describe("a submission", func() {
	const callersEach = 40

	ginkgo.DescribeTable("runs at most once, and never behind a refusal, while",
		func(ctx ginkgo.SpecContext, fail fault) {
			values := harness.DefaultValues()
			values.Slots, values.Deadline = submissionSlots, "3s"
			fleet, pairs := start(ctx, size{balancers: 2, pairs: 3, upstreamArgs: submissionArgs}, values, exams)
			tally := caller.NewTally()
			// The load exceeds the slots, so that at the time of the fault some
			// requests are queued, some are running, and some are finishing.
			crowd := startCallers(ctx, fleet, tally, callersEach, caller.Load{SubmitEvery: 300 * time.Millisecond, BatchBytes: 400})
			for _, pair := range pairs {
				gomega.Eventually(func() (int, error) {
					load, err := pair.Load(ctx)
					return load.Busy, err
				}, waitTimeout).Should(gomega.Equal(submissionSlots), "the fault must occur while requests are running")
				seen := tally.OK(caller.KindSubmission)
				fail(ctx, fleet, pair, tally)
				gomega.Eventually(func() int { return tally.OK(caller.KindSubmission) }, waitTimeout).
					Should(gomega.BeNumerically(">", seen+callersEach))
			}
			crowd.Stop()
			report := tally.Report()
			audit, err := fleet.Audit(report)
			gomega.Expect(err).NotTo(gomega.HaveOccurred())
			ginkgo.AddReportEntry("submissions", fmt.Sprintf("%+v", report.Counts[caller.KindSubmission]),
				ginkgo.ReportEntryVisibilityAlways)
			gomega.Expect(audit.Findings).To(gomega.BeEmpty())
			gomega.Expect(audit.RanTwice + audit.RanRefused).To(gomega.BeZero())
			gomega.Expect(unknown(tally)).NotTo(gomega.BeZero(), "no request had an unknown outcome, so the fault affected none")
			gomega.Expect(report.Errors).To(gomega.BeEmpty())
		},
		ginkgo.Entry("agents are killed", fault(killAgent), ginkgo.SpecTimeout(specTimeout)),
		ginkgo.Entry("agents are frozen past the deadline", fault(freezeAgent), ginkgo.SpecTimeout(specTimeout)),
		ginkgo.Entry("upstreams crash while they run it", fault(crashUpstream), ginkgo.SpecTimeout(specTimeout)),
	)
})
