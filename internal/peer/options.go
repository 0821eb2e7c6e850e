package peer

import (
	"log/slog"
	"net/netip"
	"time"

	"golang.org/x/time/rate"
)

// Default limits.
const (
	// DefaultMessageBytes is the largest size of one request or reply. It leaves room for
	// an encoded configuration of the store's maximum size of 1 MiB.
	DefaultMessageBytes = 2 << 20
	// DefaultPending is the largest number of pending calls of one connection, at either
	// end. Further calls wait.
	DefaultPending = 256
	// DefaultIdle is the time without calls after which a connection is closed.
	DefaultIdle = 2 * time.Minute
	// DefaultDial is the timeout of connecting and of the handshake, at either end.
	DefaultDial = 3 * time.Second
	// DefaultWrite is the timeout of one write. It expires if the remote process doesn't read.
	DefaultWrite = 10 * time.Second
	// DefaultServed is the largest number of connections served at once, including those
	// that are still in the handshake.
	DefaultServed = 4096
	// DefaultHandshakes is the rate limit of answered handshakes per second. A handshake costs about a millisecond of
	// processor time; without the limit, processes without a key could take processor time
	// away from traffic. A restart of the whole fleet causes some dozens of handshakes per
	// process.
	DefaultHandshakes = 100
	// DefaultHandshakeBurst is the burst of the rate limit of answered handshakes.
	DefaultHandshakeBurst = 200
)

// serverIdleFactor is the server's idle timeout relative to the client's. The server's is
// longer, so that no call is sent on a connection that the server is closing as idle.
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

// Option changes a default of a peer.
type Option func(*options)

// WithLogger logs refused connections and accept errors to l.
func WithLogger(l *slog.Logger) Option {
	return func(o *options) { o.logger = l }
}

// WithAdvertised makes addr the address that other processes use for this one, in place of
// its listen address. The zero value changes nothing.
func WithAdvertised(addr netip.AddrPort) Option {
	return func(o *options) { o.advertised = addr }
}

// WithMessageBytes limits one request or reply to n bytes.
func WithMessageBytes(n int64) Option {
	return func(o *options) { o.messageBytes = n }
}

// WithPending limits the pending calls of one connection to n.
func WithPending(n int) Option {
	return func(o *options) { o.pending = n }
}

// WithIdle closes connections that have carried no call for d.
func WithIdle(d time.Duration) Option {
	return func(o *options) { o.idle = d }
}

// WithDial limits the time of connecting and of the handshake to d.
func WithDial(d time.Duration) Option {
	return func(o *options) { o.dial = d }
}

// WithServed limits the connections that are served at once to n.
func WithServed(n int) Option {
	return func(o *options) { o.maxServed = n }
}

// WithHandshakes limits the answered handshakes to a rate per second with the given burst.
func WithHandshakes(perSecond rate.Limit, burst int) Option {
	return func(o *options) { o.handshakes, o.burst = perSecond, burst }
}
