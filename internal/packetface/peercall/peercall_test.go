package peercall_test

import (
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/saltbend/saltbend/internal/packetface/peercall"
)

func TestGet(t *testing.T) {
	cases := []struct {
		name, body, failure string
		code                int
	}{
		{"an answer", `{"n":7}`, "", http.StatusOK},
		{"not ready", `{"n":7}`, "503", http.StatusServiceUnavailable},
		{"no JSON", `n`, "read the answer", http.StatusOK},
		{"too long", `{"n":7,"x":"` + strings.Repeat("x", 200) + `"}`, "too large", http.StatusOK},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				w.WriteHeader(c.code)
				_, _ = w.Write([]byte(c.body))
			}))
			defer server.Close()
			var value struct{ N int }
			control := netip.MustParseAddrPort(server.Listener.Addr().String())
			err := peercall.Get(t.Context(), http.DefaultClient, control, "/x", 100, &value)
			if c.failure != "" {
				g.Expect(err).To(MatchError(ContainSubstring(c.failure)))
				return
			}
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(value.N).To(Equal(7))
		})
	}
}
