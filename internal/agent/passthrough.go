package agent

import (
	"net/http"

	"github.com/pkg/errors"

	"github.com/saltbend/saltbend/internal/config"
	"github.com/saltbend/saltbend/internal/upstream"
)

// classify returns the class of a request.
type classify func(method, path string) config.Class

// passthrough serves each request from the upstream as it comes: no order, no
// tickets, no siblings.
func passthrough(run upstream.Runner, class classify) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		resp, err := run.Run(r.Context(), r, class(r.Method, r.URL.Path))
		if errors.Is(err, upstream.ErrNotSent) {
			w.Header().Set("Retry-After", "1")
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		if err != nil {
			w.WriteHeader(http.StatusBadGateway)
			return
		}
		defer resp.Body.Close()
		for name, values := range resp.Header {
			w.Header()[name] = values
		}
		w.WriteHeader(resp.StatusCode)
		if err := upstream.Stream(w, resp); err != nil {
			// The caller must not take a part for the whole.
			panic(http.ErrAbortHandler)
		}
	})
}
