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

// serverName is the TLS server name and the certificate's common name. Neither is checked:
// the key alone identifies a process of the fleet.
const serverName = "saltbend"

// nextProtocol is the ALPN protocol name, which includes the protocol's version.
const nextProtocol = "saltbend-peer/1"

// identity holds the key pair that this process authenticates with, and the public keys
// that it accepts from others.
type identity struct {
	mu       sync.RWMutex
	own      *tls.Certificate
	accepted map[string]struct{}
}

func newIdentity(ring *keyring.Ring) (*identity, error) {
	id := &identity{}
	return id, id.set(ring)
}

// set derives the keys of ring. The process authenticates with the first and accepts all of
// them.
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

// certificate returns a self-signed certificate for the key, as TLS requires one. Its
// fields are never checked: any process that proves that it holds the key belongs to the
// fleet.
func certificate(private ed25519.PrivateKey) (*tls.Certificate, error) {
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1),
		Subject:      pkix.Name{CommonName: serverName},
		NotBefore:    time.Unix(0, 0),
		NotAfter:     time.Date(9999, 12, 31, 23, 59, 59, 0, time.UTC),
		KeyUsage:     x509.KeyUsageDigitalSignature,
		ExtKeyUsage:  []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	// No source of randomness is needed: ed25519 signatures are deterministic.
	der, err := x509.CreateCertificate(bytes.NewReader(nil), template, template, private.Public(), private)
	if err != nil {
		return nil, errors.Wrap(err, "peer: create certificate")
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

// verify accepts a connection if the remote end has proved an accepted key and uses the
// same protocol version. TLS has already verified that the remote end holds the private
// key.
func (id *identity) verify(state tls.ConnectionState) error {
	if !id.accepts(peerPublicKey(state)) {
		return ErrUnauthenticated
	}
	if state.NegotiatedProtocol != nextProtocol {
		return ErrProtocol
	}
	return nil
}

// peerPublicKey returns the public key that the remote end has proved, or "".
func peerPublicKey(state tls.ConnectionState) string {
	if len(state.PeerCertificates) != 1 {
		return ""
	}
	key, ok := state.PeerCertificates[0].PublicKey.(ed25519.PublicKey)
	if !ok {
		return ""
	}
	return string(key)
}

// config returns the TLS configuration of both clients and servers. Session resumption is
// disabled: connections are few and long-lived, and a resumed session would remain valid
// after the key that it was established with has been revoked.
func (id *identity) config() *tls.Config {
	return &tls.Config{
		MinVersion:             tls.VersionTLS13,
		NextProtos:             []string{nextProtocol},
		ServerName:             serverName,
		ClientAuth:             tls.RequireAnyClientCert,
		SessionTicketsDisabled: true,
		// Certificates aren't verified against certificate authorities: verify requires one
		// of the fleet's keys, which is stricter.
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
