package integration_test

import (
	"fmt"
	"net/http"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/saltbend/saltbend/platform"
	"github.com/saltbend/saltbend/test/packetfleet"
	"github.com/saltbend/saltbend/test/packetplatform"
)

// requestsRun returns the number of distinct requests that a node's upstream has run.
func requestsRun(n *packetfleet.Node) int { return len(n.Upstream.Runs()) }

// sendHeartbeat sends a heartbeat to a node's agent, which accepts it from any sender, and
// returns the HTTP status.
func sendHeartbeat(n *packetfleet.Node, id, body string) int {
	url := fmt.Sprintf("http://%s:%d/backends/%s/heartbeat", n.Host.IP, n.Host.ControlPort, id)
	resp, err := http.Post(url, "application/json", strings.NewReader(body))
	Expect(err).NotTo(HaveOccurred())
	resp.Body.Close()
	return resp.StatusCode
}

var _ = Describe("the packet face, with the rules of shifted work,", Label("packet"), func() {
	It("sends nothing new to an evacuated data centre and keeps its open flows", func(ctx SpecContext) {
		f := startPackets(ctx, 2, results)
		annex, err := f.AddAgentIn(ctx, "annex", "agent-annex", results)
		Expect(err).NotTo(HaveOccurred())
		for _, b := range f.Balancers {
			Eventually(logOf(b), waitTimeout).Should(ContainSubstring(`"reason":"annex"`))
		}
		flows := f.openFlows(30)
		f.Store.Put(platform.EvacuationKey("annex"), []byte("{}"))
		for _, b := range f.Balancers {
			Eventually(logOf(b), waitTimeout).Should(ContainSubstring("Data centre evacuated."))
		}
		Eventually(logOf(annex), waitTimeout).Should(ContainSubstring("data-centre-evacuated"))
		before := requestsRun(annex)
		f.openFlows(20)
		Expect(annex.Upstream.Runs()).To(HaveLen(before))
		f.requestOnAll(flows, "second")
		f.Store.Remove(platform.EvacuationKey("annex"))
		Eventually(logOf(annex), waitTimeout).Should(ContainSubstring("data-centre-taken-back"))
		f.expectRunOnce()
	}, SpecTimeout(specTimeout))

	It("tells the callers of an upstream that began again under its id", func(ctx SpecContext) {
		f := startPackets(ctx, 2, results)
		flows := f.openFlows(5)
		agent := f.Agents[0]
		before := agent.Upstream
		before.Kill()
		again, err := packetplatform.StartUpstreamAs(agent.Host, before.ID)
		Expect(err).NotTo(HaveOccurred())
		agent.Upstream = again
		Eventually(logOf(agent), waitTimeout).Should(MatchRegexp("(?s)ready %s@[0-9]+ heartbeat.*ready %s@[0-9]+ heartbeat", before.ID, before.ID))
		_, err = flows[0].Request("to the life before")
		Expect(err).To(HaveOccurred())
		f.openFlows(5)
	}, SpecTimeout(specTimeout))

	It("holds to what it knows whatever others write", func(ctx SpecContext) {
		f := startPackets(ctx, 2, results)
		flows := f.openFlows(5)
		agent := f.Agents[0]
		Expect(sendHeartbeat(agent, "i-strange", `{"service":"nobody-knows","state":"ready"}`)).To(Equal(http.StatusBadRequest))
		whole := `{"service":"nobody-knows","address":"x","zone":"hall","version":"v1","slots":4,"state":"ready","coldLeftMs":0,"seq":1}`
		Expect(sendHeartbeat(agent, "i-strange", whole)).To(Equal(http.StatusOK))
		Eventually(logOf(agent), waitTimeout).Should(And(ContainSubstring("heartbeat: seq"), ContainSubstring("is in no configuration")))

		key := f.Store.Keys("saltbend/agents/")[0]
		entry := f.Store.Value(key)
		f.Store.Put(key, []byte(`{"addr":7}`))
		f.Store.Put("saltbend/agents/nobody", []byte("not an entry"))
		Eventually(func() []byte { return f.Store.Value(key) }, waitTimeout).Should(Equal(entry))
		f.requestOnAll(flows, "second")
		f.openFlows(5)
		f.expectRunOnce()
	}, SpecTimeout(specTimeout))
})
