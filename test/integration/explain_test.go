package integration_test

import (
	"context"
	"fmt"
	"os/exec"
	"slices"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/saltbend/saltbend/test/packetplatform"
)

// explain returns the output of `saltbend explain` for the id and the logs of all
// processes.
func (f *packetFleet) explain(ctx context.Context, id string) string {
	args := []string{"explain", id}
	for _, n := range f.Nodes() {
		args = append(args, n.Process.LogPath)
	}
	out, err := exec.CommandContext(ctx, bin+"/saltbend", args...).CombinedOutput()
	if err != nil {
		return err.Error()
	}
	return string(out)
}

// expectExplained waits until the output of the command for a flow contains all words. It
// polls because log lines are written shortly after the events that they describe.
func (f *packetFleet) expectExplained(ctx context.Context, id string, words ...string) {
	defer func() { GinkgoWriter.Println(f.explain(ctx, id)) }()
	for _, word := range words {
		Eventually(func() string { return f.explain(ctx, id) }, waitTimeout).Should(ContainSubstring(word))
	}
}

// containsLine reports whether a single line of text contains all words.
func containsLine(text string, words ...string) bool {
	for line := range strings.Lines(text) {
		if !slices.ContainsFunc(words, func(word string) bool { return !strings.Contains(line, word) }) {
			return true
		}
	}
	return false
}

// The specs cover the three kinds of failed request that docs/OPERATIONS.md describes. Each
// is diagnosed from the flow's id with the documented command alone.
var _ = Describe("a failed request is explained by saltbend explain", func() {
	It("when its upstream died", func(ctx SpecContext) {
		f := startPackets(ctx, 1, results)
		flow := f.openFlows(1)[0]
		a := f.Agents[0]
		a.Upstream.Kill()
		startUpstream(a)
		_, err := flow.Request("second")
		Expect(err).To(MatchError(packetplatform.ErrReset))
		f.expectExplained(ctx, flow.ID(), "placed", "upstream", "reset", "ready "+a.Upstream.ID)
	}, SpecTimeout(specTimeout))

	It("when no upstream would take it", func(ctx SpecContext) {
		f := startPackets(ctx, 1, results, results)
		f.openFlows(1)
		for _, a := range f.Agents {
			a.Upstream.Kill()
		}
		var refused *packetplatform.Flow
		Eventually(func() error {
			var err error
			refused, err = f.caller.Open(packetFace)
			return err
		}, waitTimeout).Should(MatchError(packetplatform.ErrReset))
		f.expectExplained(ctx, refused.ID(), "reset", "refuses-packets")
	}, SpecTimeout(specTimeout))

	It("when it waited for a slot", func(ctx SpecContext) {
		f := startPackets(ctx, 1, results)
		flows := f.openFlows(2 * packetplatform.Slots)
		f.Agents[0].Upstream.SetWork(300 * time.Millisecond)
		f.requestOnAll(flows, "second")
		waited := 0
		Eventually(func() int {
			waited = 0
			for _, flow := range flows {
				if containsLine(f.explain(ctx, flow.ID()), "waited", flow.ID(), "took_ms=") {
					waited++
				}
			}
			return waited
		}, waitTimeout).Should(BeNumerically(">=", packetplatform.Slots/2), fmt.Sprint(waited))
	}, SpecTimeout(specTimeout))
})
