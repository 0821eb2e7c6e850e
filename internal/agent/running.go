package agent

import (
	"context"
	"net/http"
	"sync"

	"github.com/pkg/errors"
	"github.com/quic-go/quic-go/http3"
)

// running counts the requests in progress, including feeds.
type running struct {
	mu   sync.Mutex
	n    int
	idle chan struct{} // closed when n falls to 0; nil unless wait has created it
}

// track wraps a handler to count its requests. If the handler takes over the
// stream of the response, the request counts until the stream ends; otherwise
// until the handler returns.
func (r *running) track(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		r.add(1)
		tracked := &trackedWriter{ResponseWriter: w}
		defer func() {
			if tracked.takenStream == nil {
				r.add(-1)
				return
			}
			context.AfterFunc(tracked.takenStream.Context(), func() { r.add(-1) })
		}()
		next.ServeHTTP(tracked, req)
	})
}

// trackedWriter records whether the handler took over the response's stream.
type trackedWriter struct {
	http.ResponseWriter
	takenStream *http3.Stream
}

// Unwrap gives http.ResponseController access to the optional methods of the
// wrapped writer.
func (w *trackedWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// HTTPStream implements http3.HTTPStreamer.
func (w *trackedWriter) HTTPStream() (*http3.Stream, error) {
	streamer, ok := w.ResponseWriter.(http3.HTTPStreamer)
	if !ok {
		return nil, errors.New("agent: cannot take over the stream: the response is not HTTP/3")
	}
	stream, err := streamer.HTTPStream()
	if err == nil {
		w.takenStream = stream
	}
	return stream, err
}

func (r *running) add(n int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.n += n
	if r.n == 0 && r.idle != nil {
		close(r.idle)
		r.idle = nil
	}
}

// number returns the number of requests in progress.
func (r *running) number() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.n
}

// wait blocks until no request is in progress or ctx ends.
func (r *running) wait(ctx context.Context) {
	r.mu.Lock()
	if r.n == 0 {
		r.mu.Unlock()
		return
	}
	if r.idle == nil {
		r.idle = make(chan struct{})
	}
	idle := r.idle
	r.mu.Unlock()
	select {
	case <-ctx.Done():
	case <-idle:
	}
}
