// Package ops serves the operations endpoints of a process over HTTP: metrics, liveness,
// readiness with the reasons why a process is not ready, and further endpoints of its
// role.
package ops

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"net/http/pprof"
	"net/netip"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/pkg/errors"
)

// Timeouts that protect the server from clients which keep connections open.
const (
	headerTimeout = 5 * time.Second
	idleTimeout   = time.Minute
)

// Check returns the reasons why a part of the process is not ready, or none if it is.
type Check func() []string

// Server serves the operations endpoints.
type Server struct {
	mux      *http.ServeMux
	listener net.Listener
	http     *http.Server

	mu     sync.Mutex
	checks []Check
}

// Listen binds addr and serves /metrics, /livez and /readyz there.
func Listen(addr netip.AddrPort) (*Server, error) {
	listener, err := net.Listen("tcp", addr.String())
	if err != nil {
		return nil, errors.Wrap(err, "ops: listen")
	}
	mux := http.NewServeMux()
	s := &Server{
		mux:      mux,
		listener: listener,
		http: &http.Server{
			Handler:           mux,
			ReadHeaderTimeout: headerTimeout,
			IdleTimeout:       idleTimeout,
		},
	}
	mux.HandleFunc("GET /metrics", serveMetrics)
	mux.HandleFunc("GET /livez", serveLive)
	mux.HandleFunc("GET /readyz", s.serveReady)
	go s.http.Serve(listener) // returns ErrServerClosed once the server is closed
	return s, nil
}

// Addr returns the address that the server listens on.
func (s *Server) Addr() netip.AddrPort {
	return s.listener.Addr().(*net.TCPAddr).AddrPort()
}

// Handle adds a handler for a pattern of net/http, such as "GET /faces".
func (s *Server) Handle(pattern string, handler http.Handler) {
	s.mux.Handle(pattern, handler)
}

// HandleJSON adds an endpoint that calls value for each request and returns the result as
// JSON.
func (s *Server) HandleJSON(pattern string, value func() any) {
	s.mux.HandleFunc(pattern, func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, http.StatusOK, value())
	})
}

// EnablePprof adds the endpoints of net/http/pprof.
func (s *Server) EnablePprof() {
	s.mux.HandleFunc("/debug/pprof/", pprof.Index)
	s.mux.HandleFunc("/debug/pprof/cmdline", pprof.Cmdline)
	s.mux.HandleFunc("/debug/pprof/profile", pprof.Profile)
	s.mux.HandleFunc("/debug/pprof/symbol", pprof.Symbol)
	s.mux.HandleFunc("/debug/pprof/trace", pprof.Trace)
}

// AddCheck adds a check to the readiness endpoint.
func (s *Server) AddCheck(check Check) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.checks = append(s.checks, check)
}

// Close stops the server. Running requests may finish until ctx ends; then they are
// aborted.
func (s *Server) Close(ctx context.Context) error {
	if err := s.http.Shutdown(ctx); err != nil {
		return s.http.Close()
	}
	return nil
}

func serveMetrics(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	metrics.WritePrometheus(w, true)
}

func serveLive(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, struct {
		Live bool `json:"live"`
	}{true})
}

// Readiness is the response body of /readyz.
type Readiness struct {
	Ready bool `json:"ready"`
	// Findings are the reasons why the process is not ready.
	Findings []string `json:"findings"`
}

func (s *Server) serveReady(w http.ResponseWriter, _ *http.Request) {
	findings := s.findings()
	status := http.StatusOK
	if len(findings) > 0 {
		status = http.StatusServiceUnavailable
	}
	writeJSON(w, status, Readiness{Ready: len(findings) == 0, Findings: findings})
}

func (s *Server) findings() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := []string{}
	for _, check := range s.checks {
		out = append(out, check()...)
	}
	return out
}

func writeJSON(w http.ResponseWriter, status int, value any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// An error means that the client has closed the connection.
	_ = json.NewEncoder(w).Encode(value)
}
