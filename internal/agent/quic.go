package agent

import (
	"crypto/sha256"
	"crypto/tls"
	"net"
	"net/netip"
	"time"

	"github.com/quic-go/quic-go"
	"github.com/quic-go/quic-go/http3"
	"golang.org/x/time/rate"

	"github.com/saltbend/saltbend/internal/flow"
	"github.com/saltbend/saltbend/internal/keyring"
	"github.com/saltbend/saltbend/internal/reset"
)

const (
	// handshakeTimeout is the time after which a handshake fails if the caller stops
	// answering.
	handshakeTimeout = 5 * time.Second
	// streamWindow limits how many bytes a caller may send on one stream before
	// the upstream has read them. It is also the most memory that an upload on
	// the stream takes up in the agent when the upstream reads slowly.
	streamWindow = 256 << 10
	// connectionWindow is the same limit for all streams of one connection.
	connectionWindow = 512 << 10
	// requestsPerConnection is the maximum number of concurrent requests on one
	// connection.
	requestsPerConnection = 100
	// uniStreams is the maximum number of unidirectional streams that a caller
	// may open. HTTP/3 needs three: the control stream and two for QPACK.
	uniStreams = 8
	// validateAbove is the rate of new connections per second above which the
	// agent validates callers' addresses before the handshake. That costs a round
	// trip, but a flood with spoofed source addresses then doesn't cost the agent
	// handshakes.
	validateAbove = 500
	// validateBurst is the burst of new connections that validateAbove allows.
	validateBurst = 1000
)

// quicConfig returns the QUIC configuration of callers' connections.
func quicConfig() *quic.Config {
	return &quic.Config{
		HandshakeIdleTimeout:           handshakeTimeout,
		MaxIdleTimeout:                 flow.MaxIdleTimeout,
		KeepAlivePeriod:                flow.KeepAlivePeriod,
		InitialPacketSize:              flow.PacketSize,
		DisablePathMTUDiscovery:        true,
		InitialStreamReceiveWindow:     streamWindow,
		MaxStreamReceiveWindow:         streamWindow,
		InitialConnectionReceiveWindow: connectionWindow,
		MaxConnectionReceiveWindow:     connectionWindow,
		MaxIncomingStreams:             requestsPerConnection,
		MaxIncomingUniStreams:          uniStreams,
		// A request in a replayed 0-RTT packet would run twice.
		Allow0RTT: false,
	}
}

// newTransport returns the QUIC transport over conn. ids generates its connection
// IDs, and the keys of its tokens and stateless resets are derived from ring.
func newTransport(conn net.PacketConn, ids *flow.IDs, ring *keyring.Ring, data netip.AddrPort) *quic.Transport {
	resetKey := quic.StatelessResetKey(reset.NewKeys(ring).Key(data))
	tokens := addressTokenKey(ring)
	limit := rate.NewLimiter(validateAbove, validateBurst)
	return &quic.Transport{
		Conn:                  conn,
		ConnectionIDGenerator: ids,
		StatelessResetKey:     &resetKey,
		TokenGeneratorKey:     &tokens,
		VerifySourceAddress:   func(net.Addr) bool { return !limit.Allow() },
	}
}

// addressTokenKey returns the key of address validation tokens. All agents of
// the fleet use the same key, because a caller may reconnect to another agent.
func addressTokenKey(ring *keyring.Ring) quic.TokenGeneratorKey {
	return quic.TokenGeneratorKey(ring.Derive(keyring.PurposeAddress, sha256.Size)[0].Bytes)
}

// tlsConfig returns the TLS configuration of callers' connections. Session
// tickets are disabled: resumption saves little on connections that last for
// hours, and without tickets 0-RTT is impossible.
func tlsConfig(cert tls.Certificate) *tls.Config {
	return http3.ConfigureTLSConfig(&tls.Config{
		Certificates:           []tls.Certificate{cert},
		MinVersion:             tls.VersionTLS13,
		SessionTicketsDisabled: true,
	})
}
