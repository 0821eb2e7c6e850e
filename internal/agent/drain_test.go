package agent

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/saltbend/saltbend/test/rolerun"
)

func TestAgentDrainsAndExitsWhenItsUpstreamReportsDraining(t *testing.T) {
	g := NewWithT(t)
	var draining atomic.Bool
	var polls atomic.Int64
	mux := http.NewServeMux()
	mux.HandleFunc("GET /health", func(w http.ResponseWriter, _ *http.Request) {
		polls.Add(1)
		status := `{"status":"ok"}`
		if draining.Load() {
			status = `{"status":"draining"}`
		}
		_, _ = w.Write([]byte(status))
	})
	up := httptest.NewServer(mux)
	t.Cleanup(up.Close)
	polled := strings.Replace(configuration, "    drain:", "    health: {path: /health, interval: 100ms}\n    drain:", 1)
	agent := startAgent(t, up.URL, func(s *Settings) { s.Store = []string{rolerun.NewStore(t, polled)} })
	g.Eventually(polls.Load).WithTimeout(waitTimeout).Should(BeNumerically(">=", 2))
	g.Expect(agent.Ended).NotTo(BeClosed())
	draining.Store(true)
	g.Eventually(agent.Ended).WithTimeout(waitTimeout).Should(BeClosed())
	g.Expect(agent.Err).NotTo(HaveOccurred())
}
