package integration_test

import (
	"context"
	"encoding/json"
	"fmt"
	"sync"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"github.com/saltbend/saltbend/internal/apply"
	"github.com/saltbend/saltbend/internal/exit"
	"github.com/saltbend/saltbend/test/caller"
	"github.com/saltbend/saltbend/test/harness"
	"github.com/saltbend/saltbend/test/storefake"
)

const (
	operators = 5
	changes   = 10 // per operator
)

// applyResults collects the results of the operators' changes.
type applyResults struct {
	mu        sync.Mutex
	accepted  []uint64
	conflicts int
	wrong     []string
}

// applyChanges applies the changes of an operator one after the other. A change that fails
// with a conflict is applied again.
func (t *applyResults) applyChanges(ctx context.Context, fleet *harness.Fleet, operator int) {
	defer ginkgo.GinkgoRecover()
	for change := 0; change < changes; {
		values := harness.DefaultValues()
		values.Queue += 1 + operator*changes + change
		path, err := fleet.WriteConfig(fmt.Sprintf("operator-%d.yaml", operator), values)
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		r, err := fleet.CLI(ctx, "apply", "--output", "json", path)
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		if t.record(r) {
			change++
		}
	}
}

// record records the result of a change and reports whether to go on with the next one,
// which is false after a conflict.
func (t *applyResults) record(r harness.Result) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	var answer struct {
		Verdict  apply.Verdict
		Revision uint64
	}
	switch err := json.Unmarshal([]byte(r.Stdout), &answer); {
	case err != nil:
		t.wrong = append(t.wrong, err.Error()+": "+r.Stdout+r.Stderr)
	case r.Code == exit.OK && answer.Revision > 0:
		t.accepted = append(t.accepted, answer.Revision)
	case r.Code == exit.Conflict:
		t.conflicts++
		return false
	default:
		t.wrong = append(t.wrong, fmt.Sprintf("exit code %d: %s%s", r.Code, r.Stdout, r.Stderr))
	}
	return true
}

var _ = ginkgo.Describe("racing operators whose answers are all lost", func() {
	ginkgo.It("are told the truth, and what was accepted comes into force everywhere", func(ctx ginkgo.SpecContext) {
		fleet, _ := start(ctx, size{balancers: 5, pairs: 2}, harness.DefaultValues(), results)
		gomega.Expect(fleet.SetStoreFaults(ctx, storefake.Faults{LoseAnswer: 1, LosePrefix: configKey})).To(gomega.Succeed())
		const callers = 30
		tally := caller.NewTally()
		crowd := startCallers(ctx, fleet, tally, callers, caller.Load{Feed: true, LookupEvery: 200 * time.Millisecond})
		before := len(configWrites(ctx, fleet))

		var t applyResults
		var racing sync.WaitGroup
		for operator := range operators {
			racing.Go(func() { t.applyChanges(ctx, fleet, operator) })
		}
		racing.Wait()
		gomega.Expect(t.wrong).To(gomega.BeEmpty())
		gomega.Expect(t.accepted).To(gomega.HaveLen(operators * changes))

		var revisions []uint64
		writes := configWrites(ctx, fleet)[before:]
		for _, w := range writes {
			revisions = append(revisions, w.Revision)
		}
		gomega.Expect(revisions).To(gomega.ConsistOf(t.accepted))

		last := revisions[len(revisions)-1]
		events := inForce(ctx, fleet, last, fleet.Balancers())
		h := timeToInForce(writes, events)
		ginkgo.AddReportEntry("in force", fmt.Sprintf("%d changes, %d conflicts, %d processes: p50 %s, p99 %s, max %s",
			len(writes), t.conflicts, len(events), micros(h.ValueAtPercentile(50)), micros(h.ValueAtPercentile(99)), micros(h.Max())),
			ginkgo.ReportEntryVisibilityAlways)
		awaitProgress(tally, callers, callers)
		awaitEventsOnAllFeeds(tally, callers)
		crowd.Stop()
		expectNoErrors(fleet, tally, callers)
	}, ginkgo.SpecTimeout(specTimeout))
})
