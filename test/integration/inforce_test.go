package integration_test

import (
	"context"
	"encoding/json"
	"fmt"
	"strings"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"github.com/saltbend/saltbend/internal/control"
	"github.com/saltbend/saltbend/internal/exit"
	"github.com/saltbend/saltbend/test/harness"
	"github.com/saltbend/saltbend/test/storefake"
)

const (
	configKey  = "saltbend/config"
	maxInForce = 10 * time.Minute
)

// configWrites returns the writes of the configuration that the store applied.
func configWrites(ctx context.Context, fleet *harness.Fleet) []storefake.Write {
	ginkgo.GinkgoHelper()
	all, err := fleet.StoreWrites(ctx)
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	var writes []storefake.Write
	for _, w := range all {
		if w.Key == configKey {
			writes = append(writes, w)
		}
	}
	return writes
}

// servingEvent is a timeline event that reports that a process put a revision of the
// configuration in force.
type servingEvent struct {
	Time     time.Time
	Process  string
	Kind     string
	Detail   string
	Revision uint64
}

// servingEvents returns, for each process, the events of revisions put in force, in order.
func servingEvents(ctx context.Context, fleet *harness.Fleet) map[string][]servingEvent {
	ginkgo.GinkgoHelper()
	r, err := fleet.CLI(ctx, "timeline", "--output", "json")
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	// exit.Failure means that a process did not answer, for example because it is frozen.
	gomega.Expect(r.Code).To(gomega.BeElementOf(exit.OK, exit.Failure), r.Stderr)
	all := make(map[string][]servingEvent)
	lines := json.NewDecoder(strings.NewReader(r.Stdout))
	for lines.More() {
		var s servingEvent
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

// timeToInForce returns the times from each write until each process had that revision or
// a later one in force, in microseconds.
func timeToInForce(writes []storefake.Write, all map[string][]servingEvent) *hdrhistogram.Histogram {
	const significantFigures = 3
	h := hdrhistogram.New(1, maxInForce.Microseconds(), significantFigures)
	for _, w := range writes {
		for _, events := range all {
			for _, s := range events {
				if s.Revision >= w.Revision {
					_ = h.RecordValue(max(1, s.Time.Sub(w.Time).Microseconds())) // in range, since the spec's time-out is shorter
					break
				}
			}
		}
	}
	return h
}

func micros(v int64) time.Duration { return time.Duration(v) * time.Microsecond }

// inForce waits until each of the processes has the revision in force, checks that no
// process of the fleet ever put an older revision in force after a newer one, and returns
// the events.
func inForce(ctx context.Context, fleet *harness.Fleet, revision uint64, processes []*harness.Process) map[string][]servingEvent {
	ginkgo.GinkgoHelper()
	var events map[string][]servingEvent
	gomega.Eventually(func() int {
		events = servingEvents(ctx, fleet)
		done := 0
		for _, p := range processes {
			if of := events[p.Address("control").String()]; len(of) > 0 && of[len(of)-1].Revision == revision {
				done++
			}
		}
		return done
	}, waitTimeout, "500ms").Should(gomega.Equal(len(processes)))
	for process, of := range events {
		for i := 1; i < len(of); i++ {
			gomega.Expect(of[i].Revision).To(gomega.BeNumerically(">", of[i-1].Revision), process)
		}
	}
	return events
}
