package storefake_test

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/onsi/gomega"

	"github.com/saltbend/saltbend/test/storefake"
)

func TestStoreSwapsWatchesAndAppliesFaults(t *testing.T) {
	g := gomega.NewWithT(t)
	store := storefake.New()
	server := httptest.NewServer(store.Handler())
	defer server.Close()

	put := func(key, precondition, revision, value string) *http.Response {
		req, err := http.NewRequest(http.MethodPut, server.URL+"/v1/kv/"+key, strings.NewReader(value))
		g.Expect(err).NotTo(gomega.HaveOccurred())
		req.Header.Set(precondition, revision)
		req.Header.Set("Lease-Seconds", "0")
		resp, err := http.DefaultClient.Do(req)
		if err != nil {
			return nil
		}
		resp.Body.Close()
		return resp
	}
	get := func(query string) int {
		resp, err := http.Get(server.URL + "/v1/kv/" + query)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		resp.Body.Close()
		return resp.StatusCode
	}

	g.Expect(get("a")).To(gomega.Equal(http.StatusNotFound))
	g.Expect(put("a", "If-None-Match", "*", "one").Header.Get("ETag")).To(gomega.Equal(`"1"`))
	g.Expect(put("a", "If-None-Match", "*", "two").StatusCode).To(gomega.Equal(http.StatusPreconditionFailed))
	g.Expect(put("a", "If-Match", `"1"`, "two").Header.Get("ETag")).To(gomega.Equal(`"2"`))
	g.Expect(put("a", "If-Match", `"1"`, "late").StatusCode).To(gomega.Equal(http.StatusPreconditionFailed))
	g.Expect(put("big", "If-None-Match", "*", strings.Repeat("x", 1<<20+1)).StatusCode).
		To(gomega.Equal(http.StatusRequestEntityTooLarge))
	g.Expect(get("a?after=1&wait=1s")).To(gomega.Equal(http.StatusOK))
	g.Expect(get("a?after=2&wait=1ms")).To(gomega.Equal(http.StatusNotModified))

	store.SetFaults(storefake.Faults{LoseAnswer: 1})
	g.Expect(put("a", "If-Match", `"2"`, "three")).To(gomega.BeNil())
	store.SetFaults(storefake.Faults{})
	g.Expect(get("a?after=2&wait=1s")).To(gomega.Equal(http.StatusOK), "a write whose answer is lost must be applied")

	store.SetFaults(storefake.Faults{Down: true})
	g.Expect(get("a")).To(gomega.Equal(http.StatusServiceUnavailable))
	g.Expect(store.Calls()).To(gomega.Equal(storefake.Calls{Get: 2, Put: 6, Watch: 3}))
}
