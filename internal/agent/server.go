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

// maxHeaderBytes bounds the headers of a caller's request.
const maxHeaderBytes = 32 << 10

// goAwayGrace is how long callers without a request may take to leave by
// themselves after they were told to.
const goAwayGrace = time.Second

// server serves HTTP/3 on one QUIC transport.
type server struct {
	transport *quic.Transport
	listener  *quic.Listener
	http      *http3.Server
	running   running
	// connections is the number of callers' connections.
	connections atomic.Int64
	// counted, if set before the server listens, is told of their number.
	onConnectionCount func(int)
	done              chan error
}

// newServer returns a server of handler on the transport.
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

// listen serves from now on; done tells when that fails. Connections are taken
// up only once their handshake is over, so that forged addresses cost no more
// than that.
func (s *server) listen(cert tls.Certificate) error {
	listener, err := s.transport.Listen(tlsConfig(cert), quicConfig())
	if err != nil {
		return errors.Wrap(err, "listen for QUIC")
	}
	s.listener = listener
	go func() { s.done <- s.http.ServeListener(listener) }()
	return nil
}

// countConnection counts a connection for as long as it lasts.
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

// shutdown tells all callers to leave, lets running requests end until ctx
// does, and closes what is left then. It returns the number of requests that
// it cut.
func (s *server) shutdown(ctx context.Context) (cut int) {
	graceful, end := context.WithCancel(context.WithoutCancel(ctx))
	defer end()
	left := make(chan int, 1)
	go func() {
		left <- s.awaitIdle(ctx)
		end()
	}()
	if err := s.http.Shutdown(graceful); err == nil {
		return 0 // the callers have left by themselves
	}
	return <-left
}

// awaitIdle waits until no request runs or ctx ends, and returns how many run.
// The last packets of an answer get time to arrive before its connection is
// closed.
func (s *server) awaitIdle(ctx context.Context) int {
	for {
		s.running.wait(ctx)
		_ = wait.For(ctx, goAwayGrace)
		if n := s.running.number(); n == 0 || ctx.Err() != nil {
			return n
		}
	}
}

// close ends everything at once.
func (s *server) close() {
	_ = s.http.Close()
	if s.listener != nil {
		_ = s.listener.Close()
	}
	_ = s.transport.Close()
}
