package agent

import (
	"context"
	"crypto/tls"
	"log/slog"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/quic-go/quic-go"
	"github.com/quic-go/quic-go/http3"

	"github.com/saltbend/saltbend/internal/wait"
)

// maxHeaderBytes is the maximum size of a request's headers in bytes.
const maxHeaderBytes = 32 << 10

// goAwayGrace is how long callers without a running request get to close their
// connections after the GOAWAY, before the agent closes them.
const goAwayGrace = time.Second

// server serves HTTP/3 on one QUIC transport.
type server struct {
	transport *quic.Transport
	listener  *quic.Listener
	http      *http3.Server
	running   running
	// connections is the number of open connections of callers.
	connections atomic.Int64
	// onConnectionCount, if not nil, is called with each new value of
	// connections. It must be set before listen is called.
	onConnectionCount func(int)
	done              chan error
}

// newServer returns a server that serves handler on the transport.
func newServer(transport *quic.Transport, handler http.Handler, log *slog.Logger) *server {
	s := &server{transport: transport, done: make(chan error, 1)}
	s.http = &http3.Server{
		Handler:        s.running.track(handler),
		MaxHeaderBytes: maxHeaderBytes,
		Logger:         log,
		ConnContext:    s.countConnection,
	}
	return s
}

// listen starts to serve. A failure of the server is sent on done. Connections
// are accepted only after their handshake, so that connection attempts from
// spoofed addresses cost no more than a handshake.
func (s *server) listen(cert tls.Certificate) error {
	listener, err := s.transport.Listen(tlsConfig(cert), quicConfig())
	if err != nil {
		return errors.Wrap(err, "listen for QUIC")
	}
	s.listener = listener
	go func() { s.done <- s.http.ServeListener(listener) }()
	return nil
}

// countConnection counts a connection until it is closed.
func (s *server) countConnection(ctx context.Context, conn *quic.Conn) context.Context {
	s.addConnections(1)
	context.AfterFunc(conn.Context(), func() { s.addConnections(-1) })
	return ctx
}

func (s *server) addConnections(n int64) {
	sum := s.connections.Add(n)
	if s.onConnectionCount != nil {
		s.onConnectionCount(int(sum))
	}
}

// shutdown sends a GOAWAY to all callers, waits for running requests until ctx
// ends, and then closes the remaining connections. It returns the number of
// requests that were still running and got cut.
func (s *server) shutdown(ctx context.Context) (cut int) {
	graceful, end := context.WithCancel(context.WithoutCancel(ctx))
	defer end()
	left := make(chan int, 1)
	go func() {
		left <- s.awaitIdle(ctx)
		end()
	}()
	if err := s.http.Shutdown(graceful); err == nil {
		return 0 // all callers have closed their connections
	}
	return <-left
}

// awaitIdle waits until no request runs or ctx ends, and returns the number of
// requests that still run. When no request runs, it waits for goAwayGrace longer, so
// that the last packets of a response can arrive before its connection is closed.
func (s *server) awaitIdle(ctx context.Context) int {
	for {
		s.running.wait(ctx)
		_ = wait.For(ctx, goAwayGrace)
		if n := s.running.number(); n == 0 || ctx.Err() != nil {
			return n
		}
	}
}

// close closes the server, its listener and its transport immediately.
func (s *server) close() {
	_ = s.http.Close()
	if s.listener != nil {
		_ = s.listener.Close()
	}
	_ = s.transport.Close()
}
