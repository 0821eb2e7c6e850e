package integration_test

import (
	"encoding/json"
	"strings"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"github.com/saltbend/saltbend/internal/control"
	"github.com/saltbend/saltbend/internal/event"
	"github.com/saltbend/saltbend/test/harness"
)

var _ = ginkgo.Describe("the time line", func() {
	ginkgo.It("tells of a killed balancer in the order in which it was noticed", func(ctx ginkgo.SpecContext) {
		fleet, _ := start(ctx, size{balancers: 3, pairs: 1}, harness.DefaultValues(), results)
		all := fleet.Balancers()
		victim := all[0].Address("control").String()
		// kinds returns the kinds of the timeline events that mention the victim, in
		// order.
		kinds := func() (out []event.Kind) {
			r, err := fleet.CLI(ctx, "timeline", "--part", "control", "--output", "json", "--peer", all[1].Address("control").String())
			gomega.Expect(err).NotTo(gomega.HaveOccurred())
			lines := json.NewDecoder(strings.NewReader(r.Stdout))
			for lines.More() {
				var e struct {
					Kind   event.Kind
					Detail string
				}
				gomega.Expect(lines.Decode(&e)).To(gomega.Succeed())
				if strings.Contains(e.Detail, victim) {
					out = append(out, e.Kind)
				}
			}
			return out
		}
		gomega.Eventually(kinds, waitTimeout).Should(gomega.ContainElement(control.EventJoined))
		gomega.Expect(fleet.KillBalancer(ctx, all[0])).To(gomega.Succeed())
		gomega.Eventually(kinds, waitTimeout).Should(gomega.ContainElement(control.EventDeclared))
		first := make(map[event.Kind]int)
		for i, kind := range kinds() {
			if _, seen := first[kind]; !seen {
				first[kind] = i
			}
		}
		gomega.Expect(first).To(gomega.HaveKey(control.EventSuspected))
		gomega.Expect(first[control.EventJoined]).To(gomega.BeNumerically("<", first[control.EventSuspected]))
		gomega.Expect(first[control.EventSuspected]).To(gomega.BeNumerically("<", first[control.EventDeclared]))
	}, ginkgo.SpecTimeout(specTimeout))
})
