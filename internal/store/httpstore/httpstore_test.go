package httpstore_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/saltbend/saltbend/internal/store"
	"github.com/saltbend/saltbend/internal/store/httpstore"
)

const key = "saltbend/config"

func client(t *testing.T, bases ...string) *httpstore.Client {
	t.Helper()
	c, err := httpstore.New(bases, httpstore.Options{Timeout: time.Second, PollWait: time.Second})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(c.Close)
	return c
}

// breakAfterRequest reads the whole request, then closes the connection without a response.
func breakAfterRequest(w http.ResponseWriter, r *http.Request) {
	io.Copy(io.Discard, r.Body)
	conn, _, err := http.NewResponseController(w).Hijack()
	if err == nil {
		conn.Close()
	}
}

func status(code int) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(code) }
}

func TestFailuresMapToStoreErrors(t *testing.T) {
	tests := []struct {
		name        string
		handler     http.HandlerFunc
		read, write error
	}{
		{"conflict", status(http.StatusPreconditionFailed), store.ErrConflict, store.ErrConflict},
		{"missing", status(http.StatusNotFound), store.ErrNotFound, store.ErrConflict},
		{"too large", status(http.StatusRequestEntityTooLarge), store.ErrTooLarge, store.ErrTooLarge},
		{"refused by the service", status(http.StatusServiceUnavailable), store.ErrUnavailable, store.ErrUnavailable},
		{"gateway lost the answer", status(http.StatusBadGateway), store.ErrUnavailable, store.ErrOutcomeUnknown},
		{"answer without a revision", status(http.StatusOK), store.ErrUnavailable, store.ErrOutcomeUnknown},
		{"connection broke", breakAfterRequest, store.ErrUnavailable, store.ErrOutcomeUnknown},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			server := httptest.NewServer(tt.handler)
			defer server.Close()
			c := client(t, server.URL)
			_, err := c.Get(t.Context(), key)
			g.Expect(err).To(gomega.MatchError(tt.read))
			_, err = c.Swap(t.Context(), key, []byte("v"), 7, 0)
			g.Expect(err).To(gomega.MatchError(tt.write))
		})
	}
}

func TestUnreachableStoreIsUnavailable(t *testing.T) {
	g := gomega.NewWithT(t)
	c := client(t, "http://"+closedAddress(t))
	_, err := c.Swap(t.Context(), key, []byte("v"), 7, 0)
	g.Expect(err).To(gomega.MatchError(store.ErrUnavailable))
}

func TestNextBaseURLIsTriedOnlyIfNothingWasSent(t *testing.T) {
	g := gomega.NewWithT(t)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("ETag", `"9"`)
	}))
	defer server.Close()
	broken := httptest.NewServer(http.HandlerFunc(breakAfterRequest))
	defer broken.Close()

	entry, err := client(t, "http://"+closedAddress(t), server.URL).Swap(t.Context(), key, nil, 7, 0)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(entry.Revision).To(gomega.BeEquivalentTo(9))

	_, err = client(t, broken.URL, server.URL).Swap(t.Context(), key, nil, 7, 0)
	g.Expect(err).To(gomega.MatchError(store.ErrOutcomeUnknown))
}

func TestRequestPathsAndHeaders(t *testing.T) {
	g := gomega.NewWithT(t)
	var last *http.Request
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		last = r
		w.Header().Set("ETag", `"9"`)
		io.WriteString(w, "[]")
	}))
	defer server.Close()
	c := client(t, server.URL+"/base")
	c.Swap(t.Context(), key, nil, 7, 1500*time.Millisecond)
	g.Expect(last.URL.Path).To(gomega.Equal("/base/v1/kv/saltbend/config"))
	g.Expect(last.Header.Get("If-Match")).To(gomega.Equal(`"7"`))
	g.Expect(last.Header.Get("Lease-Seconds")).To(gomega.Equal("1.5"))
	c.Swap(t.Context(), "seeds/100% é/a", nil, store.Create, 0)
	g.Expect(last.URL.Path).To(gomega.Equal("/base/v1/kv/seeds/100% é/a"))
	g.Expect(last.Header.Get("If-None-Match")).To(gomega.Equal("*"))
	c.List(t.Context(), "seeds/")
	g.Expect(last.URL.RequestURI()).To(gomega.Equal("/base/v1/kv/?prefix=seeds%2F"))
}

func TestWatchPollsUntilAChange(t *testing.T) {
	g := gomega.NewWithT(t)
	polls := 0
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		polls++
		if polls < 3 {
			w.WriteHeader(http.StatusNotModified)
			return
		}
		w.Header().Set("ETag", `"9"`)
		io.WriteString(w, r.URL.Query().Get("after"))
	}))
	defer server.Close()
	entry, err := client(t, server.URL).Watch(t.Context(), key, 7)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(entry).To(gomega.Equal(store.Entry{Key: key, Value: []byte("7"), Revision: 9}))
	g.Expect(polls).To(gomega.Equal(3))
}

func TestWatchReturnsWhenItsContextIsCancelled(t *testing.T) {
	g := gomega.NewWithT(t)
	server := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() }))
	defer server.Close()
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	_, err := client(t, server.URL).Watch(ctx, key, 7)
	g.Expect(err).To(gomega.MatchError(store.ErrUnavailable))
}

// closedAddress returns an address that nothing listens on.
func closedAddress(t *testing.T) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	return l.Addr().String()
}
