package request_test

import (
	"context"
	"io"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/saltbend/saltbend/internal/config"
	"github.com/saltbend/saltbend/internal/request"
)

// instant is an upstream that answers without delay.
type instant struct{}

func (instant) Run(context.Context, *http.Request, config.Class) (*http.Response, error) {
	body := io.NopCloser(strings.NewReader("found"))
	return &http.Response{StatusCode: http.StatusOK, Header: http.Header{}, Body: body}, nil
}

// BenchmarkLookup measures the overhead of the handler for one idempotent request, from
// HTTP to the upstream.
func BenchmarkLookup(b *testing.B) {
	h, err := request.NewHandler(b.Context(), request.Options{
		Service: "exams", Self: address(1), Upstream: instant{}, Logger: slog.New(slog.DiscardHandler),
		Source: newSource(exams(config.Limits{Slots: 64, Queue: 1000, Connections: 100})),
	})
	if err != nil {
		b.Fatal(err)
	}
	b.ReportAllocs()
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			w := httptest.NewRecorder()
			h.ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/runners/7", nil))
			if w.Code != http.StatusOK {
				b.Errorf("status %d", w.Code)
			}
		}
	})
}
