package harness

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"os"
	"time"

	"github.com/pkg/errors"
)

// ServerName is the name in the certificate of the test services.
const ServerName = "saltbend.test"

const certificateValidity = 24 * time.Hour

// writeCertificate generates a self-signed certificate, writes it and its key to
// files, and returns a pool that trusts it.
func writeCertificate(certPath, keyPath string) (*x509.CertPool, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, errors.Wrap(err, "generate key")
	}
	template := &x509.Certificate{
		SerialNumber:          big.NewInt(1),
		Subject:               pkix.Name{CommonName: ServerName},
		DNSNames:              []string{ServerName},
		NotBefore:             time.Now().Add(-time.Hour),
		NotAfter:              time.Now().Add(certificateValidity),
		IsCA:                  true,
		BasicConstraintsValid: true,
		KeyUsage:              x509.KeyUsageDigitalSignature | x509.KeyUsageCertSign,
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	if err != nil {
		return nil, errors.Wrap(err, "create certificate")
	}
	keyDER, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		return nil, errors.Wrap(err, "encode key")
	}
	certificate, err := x509.ParseCertificate(der)
	if err != nil {
		return nil, errors.Wrap(err, "parse certificate")
	}
	roots := x509.NewCertPool()
	roots.AddCert(certificate)
	if err := writePEM(certPath, "CERTIFICATE", der); err != nil {
		return nil, err
	}
	return roots, writePEM(keyPath, "PRIVATE KEY", keyDER)
}

func writePEM(path, kind string, der []byte) error {
	data := pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der})
	return errors.Wrap(os.WriteFile(path, data, 0o600), "write PEM file")
}
