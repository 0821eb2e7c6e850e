// Package integration_test runs the whole system as real processes and injects faults into
// parts of it under load.
package integration_test

import (
	"context"
	"fmt"
	"path/filepath"
	"testing"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"github.com/saltbend/saltbend/test/caller"
	"github.com/saltbend/saltbend/test/harness"
)

const (
	// waitTimeout limits waits for a condition. It is generous, so that results don't
	// depend on the speed of the machine.
	waitTimeout = 60 * time.Second
	specTimeout = 3 * time.Minute
	workTimeout = 20 * time.Second
	// attemptTimeout is the time-out of a caller's attempt of a submission; it is longer
	// than the deadline of the request class.
	attemptTimeout = 4 * time.Second

	results = "results"
	exams   = "exams"
)

var bin string

func TestIntegration(t *testing.T) {
	gomega.RegisterFailHandler(ginkgo.Fail)
	ginkgo.RunSpecs(t, "integration")
}

var _ = ginkgo.BeforeSuite(func(ctx context.Context) {
	bin = filepath.Join(ginkgo.GinkgoT().TempDir(), "bin")
	gomega.Expect(harness.Build(ctx, bin)).To(gomega.Succeed())
})

// size is the number of processes of a fleet.
type size struct {
	balancers, pairs int
	// upstreamArgs are additional flags of each upstream.
	upstreamArgs []string
}

// start starts a fleet with n.pairs pairs for each service and applies its configuration.
// The fleet is closed at the end of the spec.
func start(ctx context.Context, n size, values harness.Values, services ...string) (*harness.Fleet, []*harness.Pair) {
	fleet, err := harness.New(ctx, bin, ginkgo.GinkgoT().TempDir(), services...)
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	ginkgo.DeferCleanup(func() {
		fleet.Close()
		if ginkgo.CurrentSpecReport().Failed() {
			ginkgo.AddReportEntry("logs", fleet.Logs())
		}
	})
	gomega.Expect(fleet.Apply(ctx, values)).To(gomega.Succeed())
	for range n.balancers {
		_, err := fleet.AddBalancer(ctx)
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
	}
	var pairs []*harness.Pair
	for _, service := range services {
		for range n.pairs {
			pair, err := fleet.AddPair(ctx, service, n.upstreamArgs...)
			gomega.Expect(err).NotTo(gomega.HaveOccurred())
			pairs = append(pairs, pair)
		}
	}
	return fleet, pairs
}

// startCallers starts load from count callers for each service. The names of callers that
// send no lookups begin with "silent-".
func startCallers(ctx context.Context, fleet *harness.Fleet, tally *caller.Tally, count int, load caller.Load) *caller.Group {
	kind := ""
	if load.LookupEvery == 0 {
		kind = "silent-"
	}
	var all []*caller.Caller
	for service := range fleet.Faces {
		for i := range count {
			all = append(all, fleet.Caller(fmt.Sprintf("%s%s-%d", kind, service, i), service, tally, attemptTimeout))
		}
	}
	load.Timeout = workTimeout
	return caller.StartGroup(ctx, all, load)
}

// awaitProgress waits until the given numbers of further lookups have succeeded and of
// further feed events have been received.
func awaitProgress(tally *caller.Tally, lookups, events int) {
	ginkgo.GinkgoHelper()
	wantLookups, wantEvents := tally.OK(caller.KindLookup)+lookups, tally.Events()+events
	gomega.Eventually(func() int { return tally.OK(caller.KindLookup) }, waitTimeout).Should(gomega.BeNumerically(">=", wantLookups))
	gomega.Eventually(tally.Events, waitTimeout).Should(gomega.BeNumerically(">=", wantEvents))
}

// awaitEventsOnAllFeeds waits until each of the feeds has received further events.
func awaitEventsOnAllFeeds(tally *caller.Tally, feeds int) {
	ginkgo.GinkgoHelper()
	const further = 5
	before := tally.LastEvents()
	gomega.Expect(before).To(gomega.HaveLen(feeds))
	gomega.Eventually(func() int {
		going := 0
		for feed, id := range tally.LastEvents() {
			if id >= before[feed]+further {
				going++
			}
		}
		return going
	}, waitTimeout).Should(gomega.Equal(feeds))
}

// expectNoErrors checks that no request failed, ran twice, ran after a refusal or ran at
// the wrong service, and that no feed was interrupted.
func expectNoErrors(fleet *harness.Fleet, tally *caller.Tally, feeds int) {
	ginkgo.GinkgoHelper()
	report := tally.Report()
	audit, err := fleet.Audit(report)
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	fmt.Fprintf(ginkgo.GinkgoWriter, "counts %+v, longest gap in a feed %s\n", report.Counts, report.LongestGap)
	gomega.Expect(report.Errors).To(gomega.BeEmpty())
	gomega.Expect(audit.Findings).To(gomega.BeEmpty())
	gomega.Expect(report.FeedsOpened).To(gomega.Equal(feeds))
	gomega.Expect(report.FeedsBroken).To(gomega.BeZero())
	gomega.Expect(audit.WrongService).To(gomega.BeZero())
	gomega.Expect(audit.RanTwice + audit.RanRefused).To(gomega.BeZero())
	for kind, counts := range report.Counts {
		gomega.Expect(counts.Failed).To(gomega.BeZero(), string(kind))
	}
}
