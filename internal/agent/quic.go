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
	// handshakeTimeout ends a handshake whose caller went silent.
	handshakeTimeout = 5 * time.Second
	// streamWindow and connectionWindow bound what a caller may send ahead of
	// the upstream, in bytes; they are what an upload with back pressure can
	// hold here.
	streamWindow     = 256 << 10
	connectionWindow = 512 << 10
	// requestsPerConnection is the number of requests a caller may have open
	// on one connection.
	requestsPerConnection = 100
	// uniStreams is what HTTP/3 needs: control, and two of QPACK.
	uniStreams = 8
	// Beyond validateAbove new connections per second, callers first have to
	// show that they receive at their address. That costs a round trip, and
	// keeps a flood with forged addresses from costing handshakes.
	validateAbove = 500
	validateBurst = 1000
)

// quicConfig returns how callers' connections are held.
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
		// A replayed first flight would run a request twice.
		Allow0RTT: false,
	}
}

// newTransport returns the QUIC transport over conn.
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

// addressKey returns the key of address validation tokens. The whole fleet has
// the same: a caller may come back to another agent.
func addressTokenKey(ring *keyring.Ring) quic.TokenGeneratorKey {
	return quic.TokenGeneratorKey(ring.Derive(keyring.PurposeAddress, sha256.Size)[0].Bytes)
}

// tlsConfig returns the TLS settings towards callers. Session tickets are off:
// a resumed session saves little on a connection that lasts for hours, and
// without tickets there can be no 0-RTT.
func tlsConfig(cert tls.Certificate) *tls.Config {
	return http3.ConfigureTLSConfig(&tls.Config{
		Certificates:           []tls.Certificate{cert},
		MinVersion:             tls.VersionTLS13,
		SessionTicketsDisabled: true,
	})
}
