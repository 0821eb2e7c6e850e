package integration_test

import (
	"context"
	"encoding/json"
	"fmt"
	"strings"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"github.com/saltbend/saltbend/internal/apply"
	"github.com/saltbend/saltbend/internal/control"
	"github.com/saltbend/saltbend/internal/exit"
	"github.com/saltbend/saltbend/test/harness"
	"github.com/saltbend/saltbend/test/storefake"
)

const (
	operators  = 5
	changes    = 10 // of each operator
	configKey  = "saltbend/config"
	maxInForce = 10 * time.Minute
)

// told is what operators were told.
type told struct {
	mu        sync.Mutex
	accepted  []uint64
	conflicts int
	wrong     []string
}

// operate applies changes one after the other; one that met a conflict is
// applied again.
func (t *told) operate(ctx context.Context, fleet *harness.Fleet, operator int) {
	defer ginkgo.GinkgoRecover()
	for change := 0; change < changes; {
		values := harness.DefaultValues()
		values.Queue += 1 + operator*changes + change
		path, err := fleet.WriteConfig(fmt.Sprintf("operator-%d.yaml", operator), values)
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		r, err := fleet.CLI(ctx, "apply", "--output", "json", path)
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		if t.take(r) {
			change++
		}
	}
}

// take notes an answer and reports whether the change was accepted.
func (t *told) take(r harness.Result) bool {
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

// served is one event of the time line: a process put a revision in force.
type served struct {
	Time     time.Time
	Process  string
	Kind     string
	Detail   string
	Revision uint64
}

// servedBy returns, by process, the revisions put in force in their order.
func servedBy(ctx context.Context, fleet *harness.Fleet) map[string][]served {
	ginkgo.GinkgoHelper()
	r, err := fleet.CLI(ctx, "timeline", "--output", "json")
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	gomega.Expect(r.Code).To(gomega.Equal(exit.OK), r.Stderr)
	all := make(map[string][]served)
	lines := json.NewDecoder(strings.NewReader(r.Stdout))
	for lines.More() {
		var s served
		gomega.Expect(lines.Decode(&s)).To(gomega.Succeed())
		if s.Kind != string(control.EventServing) {
			continue
		}
		_, err := fmt.Sscanf(s.Detail, "revision %d", &s.Revision)
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		all[s.Process] = append(all[s.Process], s)
	}
	return all
}

// timeToInForce returns the times from each write until each process had that
// revision or a later one in force.
func timeToInForce(writes []storefake.Write, all map[string][]served) *hdrhistogram.Histogram {
	const significantFigures = 3
	h := hdrhistogram.New(1, maxInForce.Microseconds(), significantFigures)
	for _, w := range writes {
		for _, events := range all {
			for _, s := range events {
				if s.Revision >= w.Revision {
					_ = h.RecordValue(max(1, s.Time.Sub(w.Time).Microseconds())) // bounded by the spec's own time
					break
				}
			}
		}
	}
	return h
}

var _ = ginkgo.Describe("racing operators whose answers are all lost", func() {
	ginkgo.It("are told the truth, and what was accepted comes into force everywhere", func(ctx ginkgo.SpecContext) {
		fleet, _ := start(ctx, size{balancers: 5, pairs: 2}, harness.DefaultValues(), results)
		gomega.Expect(fleet.SetStoreFaults(ctx, storefake.Faults{LoseAnswer: 1, LosePrefix: configKey})).To(gomega.Succeed())
		before, err := fleet.StoreWrites(ctx)
		gomega.Expect(err).NotTo(gomega.HaveOccurred())

		var t told
		var racing sync.WaitGroup
		for operator := range operators {
			racing.Go(func() { t.operate(ctx, fleet, operator) })
		}
		racing.Wait()
		gomega.Expect(t.wrong).To(gomega.BeEmpty())
		gomega.Expect(t.accepted).To(gomega.HaveLen(operators * changes))

		all, err := fleet.StoreWrites(ctx)
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		var writes []storefake.Write
		var revisions []uint64
		for _, w := range all[len(before):] {
			if w.Key == configKey {
				writes = append(writes, w)
				revisions = append(revisions, w.Revision)
			}
		}
		gomega.Expect(revisions).To(gomega.ConsistOf(t.accepted))

		last := revisions[len(revisions)-1]
		var events map[string][]served
		gomega.Eventually(func() int {
			events = servedBy(ctx, fleet)
			done := 0
			for _, b := range fleet.Balancers() {
				if of := events[b.Address("control").String()]; len(of) > 0 && of[len(of)-1].Revision == last {
					done++
				}
			}
			return done
		}, patience, "500ms").Should(gomega.Equal(len(fleet.Balancers())))
		for process, of := range events {
			for i := 1; i < len(of); i++ {
				gomega.Expect(of[i].Revision).To(gomega.BeNumerically(">", of[i-1].Revision), process)
			}
		}
		h := timeToInForce(writes, events)
		ginkgo.AddReportEntry("in force", fmt.Sprintf("%d changes, %d conflicts, %d processes: p50 %s, p99 %s, max %s",
			len(writes), t.conflicts, len(events), micros(h.ValueAtPercentile(50)), micros(h.ValueAtPercentile(99)), micros(h.Max())),
			ginkgo.ReportEntryVisibilityAlways)
	}, ginkgo.SpecTimeout(specTimeout))
})

func micros(v int64) time.Duration { return time.Duration(v) * time.Microsecond }
