package agent

import (
	"crypto/tls"
	"net/url"
	"time"

	"github.com/pkg/errors"

	"github.com/saltbend/saltbend/internal/settings"
)

// Settings holds the settings of the agent role.
type Settings struct {
	settings.Common
	Service      string          `long:"service" env:"SALTBEND_SERVICE" value-name:"NAME" description:"name of the upstream's service in the configuration (required)"`
	Upstream     string          `long:"upstream" env:"SALTBEND_UPSTREAM" value-name:"URL" description:"base URL of the upstream, plain HTTP/1.1 (required)"`
	TLSCert      string          `long:"tls-cert" env:"SALTBEND_TLS_CERT" value-name:"PATH" description:"PEM file with the certificate chain that is presented to callers"`
	TLSKey       string          `long:"tls-key" env:"SALTBEND_TLS_KEY" value-name:"PATH" description:"PEM file with the private key of the certificate"`
	TLSCertPEM   settings.Secret `long:"tls-cert-pem" env:"SALTBEND_TLS_CERT_PEM" value-name:"PEM" default-mask:"-" description:"certificate chain as PEM text, for hosts without files"`
	TLSKeyPEM    settings.Secret `long:"tls-key-pem" env:"SALTBEND_TLS_KEY_PEM" value-name:"PEM" default-mask:"-" description:"private key as PEM text; set it in the environment, as flags are visible in the process list"`
	Slots        int             `long:"slots" env:"SALTBEND_SLOTS" default:"5" value-name:"N" description:"number of concurrent requests that the upstream serves, until a configuration contains the service"`
	DrainTimeout time.Duration   `long:"drain-timeout" env:"SALTBEND_DRAIN_TIMEOUT" default:"2m" value-name:"DURATION" description:"maximum duration of a graceful stop, after which running feeds are cut, until a configuration contains the service"`
}

// Check returns all findings about the settings.
func (s *Settings) Check() settings.Findings {
	f := s.Common.Check()
	if s.Service == "" {
		f.Add("service", "the service is not set", "set the name of the upstream's service")
	}
	if _, err := s.upstreamURL(); err != nil {
		f.Add("upstream", err.Error(), "set a URL such as http://127.0.0.1:8080")
	}
	if _, err := s.certificate(); err != nil {
		f.Add("tls-cert", err.Error(), "set a PEM certificate and its key, both as files or both as text")
	}
	if s.Slots < 1 {
		f.Add("slots", "the number of slots is less than 1", "set the number of concurrent requests that the upstream serves")
	}
	if s.DrainTimeout <= 0 {
		f.Add("drain-timeout", "the drain timeout is not positive", "set a duration such as 2m")
	}
	if data := s.Data.AddrPort().Addr(); data.IsValid() && (!data.Is4() || data.IsUnspecified()) {
		f.Add("data", "the data address must be a specific IPv4 address, as it is encoded in flow tokens", "set the host's IPv4 address")
	}
	return f
}

// upstreamURL returns the base URL of the upstream.
func (s *Settings) upstreamURL() (*url.URL, error) {
	if s.Upstream == "" {
		return nil, errors.New("the upstream URL is not set")
	}
	u, err := url.Parse(s.Upstream)
	if err != nil || u.Scheme != "http" || u.Host == "" {
		return nil, errors.New("the upstream URL is not a valid http URL")
	}
	return u, nil
}

// certificate loads the certificate and its key from files or from PEM text.
func (s *Settings) certificate() (tls.Certificate, error) {
	if s.TLSCertPEM != "" || s.TLSKeyPEM != "" {
		if s.TLSCert != "" || s.TLSKey != "" {
			return tls.Certificate{}, errors.New("the certificate or its key is set both as a file and as text")
		}
		return tls.X509KeyPair([]byte(s.TLSCertPEM), []byte(s.TLSKeyPEM))
	}
	if s.TLSCert == "" || s.TLSKey == "" {
		return tls.Certificate{}, errors.New("the certificate or its key is not set")
	}
	return tls.LoadX509KeyPair(s.TLSCert, s.TLSKey)
}
