package peer

import (
	"bytes"
	"crypto/ed25519"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"math/big"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/saltbend/saltbend/internal/keyring"
)

// serverName is sent by callers and means nothing: the key is the identity.
const serverName = "saltbend"

// nextProtocol tells a version of this protocol from others during the
// handshake.
const nextProtocol = "saltbend-peer/1"

// identity holds the key that this process proves and those that it accepts.
type identity struct {
	mu       sync.RWMutex
	own      *tls.Certificate
	accepted map[string]struct{}
}

func newIdentity(ring *keyring.Ring) (*identity, error) {
	id := &identity{}
	return id, id.set(ring)
}

// set derives the keys of ring: the first is proved, all are accepted.
func (id *identity) set(ring *keyring.Ring) error {
	var own *tls.Certificate
	accepted := make(map[string]struct{})
	for _, key := range ring.Derive(keyring.PurposePeer, ed25519.SeedSize) {
		private := ed25519.NewKeyFromSeed(key.Bytes)
		accepted[string(private.Public().(ed25519.PublicKey))] = struct{}{}
		if own != nil {
			continue
		}
		cert, err := certificate(private)
		if err != nil {
			return err
		}
		own = cert
	}
	if own == nil {
		return errors.New("peer: the key ring is empty")
	}
	id.mu.Lock()
	defer id.mu.Unlock()
	id.own, id.accepted = own, accepted
	return nil
}

// certificate wraps the key in the form that TLS wants. Its fields are never
// checked: whoever proves the key is a process of the fleet.
func certificate(private ed25519.PrivateKey) (*tls.Certificate, error) {
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1),
		Subject:      pkix.Name{CommonName: serverName},
		NotBefore:    time.Unix(0, 0),
		NotAfter:     time.Date(9999, 12, 31, 23, 59, 59, 0, time.UTC),
		KeyUsage:     x509.KeyUsageDigitalSignature,
		ExtKeyUsage:  []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	// Without a source of randomness: ed25519 signs deterministically.
	der, err := x509.CreateCertificate(bytes.NewReader(nil), template, template, private.Public(), private)
	if err != nil {
		return nil, errors.Wrap(err, "peer: make certificate")
	}
	return &tls.Certificate{Certificate: [][]byte{der}, PrivateKey: private}, nil
}

func (id *identity) certificate() *tls.Certificate {
	id.mu.RLock()
	defer id.mu.RUnlock()
	return id.own
}

func (id *identity) accepts(key string) bool {
	id.mu.RLock()
	defer id.mu.RUnlock()
	_, ok := id.accepted[key]
	return ok
}

// verify accepts a connection whose other end has proved an accepted key. TLS
// has checked the proof itself.
func (id *identity) verify(state tls.ConnectionState) error {
	if !id.accepts(provedKey(state)) {
		return ErrUnauthenticated
	}
	if state.NegotiatedProtocol != nextProtocol {
		return ErrProtocol
	}
	return nil
}

// provedKey returns the public key that the other end proved, or "".
func provedKey(state tls.ConnectionState) string {
	if len(state.PeerCertificates) != 1 {
		return ""
	}
	key, ok := state.PeerCertificates[0].PublicKey.(ed25519.PublicKey)
	if !ok {
		return ""
	}
	return string(key)
}

// config is the same for both ends. Sessions are not resumed: connections are
// few and long, and a resumed one would outlive the key that it was made with.
func (id *identity) config() *tls.Config {
	return &tls.Config{
		MinVersion:             tls.VersionTLS13,
		NextProtos:             []string{nextProtocol},
		ServerName:             serverName,
		ClientAuth:             tls.RequireAnyClientCert,
		SessionTicketsDisabled: true,
		// The chain is not verified against authorities: verify does more.
		InsecureSkipVerify: true,
		VerifyConnection:   id.verify,
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) {
			return id.certificate(), nil
		},
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			return id.certificate(), nil
		},
	}
}
