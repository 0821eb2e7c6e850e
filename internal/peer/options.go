package peer

import (
	"log/slog"
	"net/netip"
	"time"

	"golang.org/x/time/rate"
)

// Default limits.
const (
	// DefaultMessageBytes bounds one request or reply: a configuration of the
	// store's megabyte, encoded, with room to spare.
	DefaultMessageBytes = 2 << 20
	// DefaultPending bounds the calls under way on one connection, at either
	// end. More wait.
	DefaultPending = 256
	// DefaultIdle closes a connection that carried no call for so long.
	DefaultIdle = 2 * time.Minute
	// DefaultDial bounds connecting and the handshake, at either end.
	DefaultDial = 3 * time.Second
	// DefaultWrite bounds one write to a process that doesn't read.
	DefaultWrite = 10 * time.Second
	// DefaultServed bounds the connections that are served at once, those in
	// the handshake among them.
	DefaultServed = 4096
	// DefaultHandshakes bounds the handshakes a second that are answered, and
	// DefaultHandshakeBurst those at once. A handshake costs about a
	// millisecond of processor time, which processes without a key must not
	// take from traffic; a restart of the whole fleet brings a process some
	// dozens.
	DefaultHandshakes     = 100
	DefaultHandshakeBurst = 200
)

// serverIdleFactor keeps the server's end open for longer than the caller's,
// so that no call meets a connection that the server is closing for idleness.
const serverIdleFactor = 3

type options struct {
	logger       *slog.Logger
	advertised   netip.AddrPort
	messageBytes int64
	pending      int
	maxServed    int
	idle         time.Duration
	dial         time.Duration
	write        time.Duration
	handshakes   rate.Limit
	burst        int
}

func defaults() options {
	return options{
		logger:       slog.New(slog.DiscardHandler),
		messageBytes: DefaultMessageBytes,
		pending:      DefaultPending,
		maxServed:    DefaultServed,
		idle:         DefaultIdle,
		dial:         DefaultDial,
		write:        DefaultWrite,
		handshakes:   DefaultHandshakes,
		burst:        DefaultHandshakeBurst,
	}
}

// Option changes a limit of a peer.
type Option func(*options)

// WithLogger logs refused connections to l.
func WithLogger(l *slog.Logger) Option {
	return func(o *options) { o.logger = l }
}

// WithAdvertised makes addr the address by which others know the process, in
// place of the one that it listens at. The zero value changes nothing.
func WithAdvertised(addr netip.AddrPort) Option {
	return func(o *options) { o.advertised = addr }
}

// WithMessageBytes bounds one request or reply to n bytes.
func WithMessageBytes(n int64) Option {
	return func(o *options) { o.messageBytes = n }
}

// WithPending bounds the calls under way on one connection.
func WithPending(n int) Option {
	return func(o *options) { o.pending = n }
}

// WithIdle closes connections that carried no call for d.
func WithIdle(d time.Duration) Option {
	return func(o *options) { o.idle = d }
}

// WithDial bounds connecting and the handshake to d.
func WithDial(d time.Duration) Option {
	return func(o *options) { o.dial = d }
}

// WithServed bounds the connections that are served at once.
func WithServed(n int) Option {
	return func(o *options) { o.maxServed = n }
}

// WithHandshakes bounds the handshakes that are answered to a rate a second,
// and to burst at once.
func WithHandshakes(perSecond rate.Limit, burst int) Option {
	return func(o *options) { o.handshakes, o.burst = perSecond, burst }
}
