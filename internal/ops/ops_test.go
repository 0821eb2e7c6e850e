package ops_test

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/netip"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/saltbend/saltbend/internal/ops"
)

func TestServerServesReadinessMetricsPprofAndAddedEndpoints(t *testing.T) {
	g := NewWithT(t)
	s, err := ops.Listen(netip.MustParseAddrPort("127.0.0.1:0"))
	g.Expect(err).NotTo(HaveOccurred())
	defer s.Close(context.Background())
	get := func(path string) (int, string) {
		res, err := http.Get("http://" + s.Addr().String() + path)
		g.Expect(err).NotTo(HaveOccurred())
		defer res.Body.Close()
		body, err := io.ReadAll(res.Body)
		g.Expect(err).NotTo(HaveOccurred())
		return res.StatusCode, string(body)
	}
	readiness := func() (int, ops.Readiness) {
		status, body := get("/readyz")
		var r ops.Readiness
		g.Expect(json.Unmarshal([]byte(body), &r)).To(Succeed())
		return status, r
	}

	status, r := readiness()
	g.Expect(status).To(Equal(http.StatusOK))
	g.Expect(r).To(Equal(ops.Readiness{Ready: true, Findings: []string{}}))

	reasons := []string{"no configuration", "no agent"}
	s.AddCheck(func() []string { return reasons[:1] })
	s.AddCheck(func() []string { return reasons[1:] })
	status, r = readiness()
	g.Expect(status).To(Equal(http.StatusServiceUnavailable))
	g.Expect(r).To(Equal(ops.Readiness{Findings: reasons}))

	s.HandleJSON("GET /faces", func() any { return map[string]string{"a": "b"} })
	for path, want := range map[string]string{
		"/livez":   `{"live":true}`,
		"/faces":   `{"a":"b"}`,
		"/metrics": "go_goroutines",
	} {
		status, body := get(path)
		g.Expect(status).To(Equal(http.StatusOK), path)
		g.Expect(body).To(ContainSubstring(want))
	}
	status, _ = get("/debug/pprof/")
	g.Expect(status).To(Equal(http.StatusNotFound))
	s.EnablePprof()
	status, _ = get("/debug/pprof/")
	g.Expect(status).To(Equal(http.StatusOK))
}
