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

// fault fails a pair in the middle of its work and mends it again; the tally
// shows what callers learn meanwhile.
type fault func(context.Context, *harness.Fleet, *harness.Pair, *caller.Tally)

func killAgent(ctx context.Context, fleet *harness.Fleet, pair *harness.Pair, _ *caller.Tally) {
	pair.Agent.Kill()
	gomega.Expect(fleet.AddAgent(ctx, pair)).To(gomega.Succeed())
}

// freezeAgent holds the agent past the deadline of everything that it holds.
// Answers that reached it meanwhile may still win when it goes on, so it stays
// frozen until a caller that asked elsewhere was told "unknown".
func freezeAgent(_ context.Context, _ *harness.Fleet, pair *harness.Pair, tally *caller.Tally) {
	before := unknown(tally)
	gomega.Expect(pair.Agent.Freeze()).To(gomega.Succeed())
	time.Sleep(attemptTimeout)
	gomega.Eventually(func() int { return unknown(tally) }, patience).Should(gomega.BeNumerically(">", before))
	pair.Agent.Thaw()
}

func unknown(tally *caller.Tally) int { return tally.Report().Counts[caller.KindSubmission].Unknown }

func crashUpstream(ctx context.Context, fleet *harness.Fleet, pair *harness.Pair, _ *caller.Tally) {
	b := upstream.Behaviour{Slots: submissionSlots, ServiceTime: submissionTime, CrashNext: true}
	gomega.Expect(pair.SetBehaviour(ctx, b)).To(gomega.Succeed())
	gomega.Eventually(pair.Upstream.Done(), patience).Should(gomega.BeClosed())
	pair.Agent.Kill() // its upstream is gone for good
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
			// More than the slots can take, so that requests wait, run and
			// end at the moment of the fault.
			crowd := gather(ctx, fleet, tally, callersEach, caller.Load{SubmitEvery: 300 * time.Millisecond, BatchBytes: 400})
			for _, pair := range pairs {
				gomega.Eventually(func() (int, error) {
					load, err := pair.Load(ctx)
					return load.Busy, err
				}, patience).Should(gomega.Equal(submissionSlots), "a fault needs requests to hit")
				seen := tally.OK(caller.KindSubmission)
				fail(ctx, fleet, pair, tally)
				gomega.Eventually(func() int { return tally.OK(caller.KindSubmission) }, patience).
					Should(gomega.BeNumerically(">", seen+callersEach))
			}
			crowd.Disperse()
			report := tally.Report()
			audit, err := fleet.Audit(report)
			gomega.Expect(err).NotTo(gomega.HaveOccurred())
			ginkgo.AddReportEntry("submissions", fmt.Sprintf("%+v", report.Counts[caller.KindSubmission]),
				ginkgo.ReportEntryVisibilityAlways)
			gomega.Expect(audit.Findings).To(gomega.BeEmpty())
			gomega.Expect(audit.RanTwice + audit.RanRefused).To(gomega.BeZero())
			gomega.Expect(unknown(tally)).NotTo(gomega.BeZero(), "the fault hit nothing")
			gomega.Expect(report.Errors).To(gomega.BeEmpty())
		},
		ginkgo.Entry("agents are killed", fault(killAgent), ginkgo.SpecTimeout(specTimeout)),
		ginkgo.Entry("agents are frozen past the deadline", fault(freezeAgent), ginkgo.SpecTimeout(specTimeout)),
		ginkgo.Entry("upstreams crash while they run it", fault(crashUpstream), ginkgo.SpecTimeout(specTimeout)),
	)
})
