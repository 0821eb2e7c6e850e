package agent

import (
	"crypto/tls"
	"net/url"
	"time"

	"github.com/pkg/errors"

	"github.com/saltbend/saltbend/internal/settings"
)

// Settings are the settings of the agent role.
type Settings struct {
	settings.Common
	Service      string          `long:"service" env:"SALTBEND_SERVICE" value-name:"NAME" description:"service of the upstream, as the configuration names it (required)"`
	Upstream     string          `long:"upstream" env:"SALTBEND_UPSTREAM" value-name:"URL" description:"base URL of the upstream, plain HTTP/1.1 (required)"`
	TLSCert      string          `long:"tls-cert" env:"SALTBEND_TLS_CERT" value-name:"PATH" description:"PEM file with the certificate chain that callers see"`
	TLSKey       string          `long:"tls-key" env:"SALTBEND_TLS_KEY" value-name:"PATH" description:"PEM file with the private key of the certificate"`
	TLSCertPEM   settings.Secret `long:"tls-cert-pem" env:"SALTBEND_TLS_CERT_PEM" value-name:"PEM" default-mask:"-" description:"the certificate chain itself, for hosts without files"`
	TLSKeyPEM    settings.Secret `long:"tls-key-pem" env:"SALTBEND_TLS_KEY_PEM" value-name:"PEM" default-mask:"-" description:"the private key itself; a process list shows flags, so give it in the environment"`
	Slots        int             `long:"slots" env:"SALTBEND_SLOTS" default:"5" value-name:"N" description:"requests that the upstream serves at once, until a configuration names the service"`
	DrainTimeout time.Duration   `long:"drain-timeout" env:"SALTBEND_DRAIN_TIMEOUT" default:"2m" value-name:"DURATION" description:"end of a graceful stop whose feeds don't end by themselves, until a configuration names the service"`
}

// Check returns all findings about the settings.
func (s *Settings) Check() settings.Findings {
	f := s.Common.Check()
	if s.Service == "" {
		f.Add("service", "no service is given", "name the service of the upstream")
	}
	if _, err := s.upstreamURL(); err != nil {
		f.Add("upstream", err.Error(), "give a URL such as http://127.0.0.1:8080")
	}
	if _, err := s.certificate(); err != nil {
		f.Add("tls-cert", err.Error(), "give the PEM of a certificate and of its key, as files or as text")
	}
	if s.Slots < 1 {
		f.Add("slots", "an upstream needs at least one slot", "give the number of requests it serves at once")
	}
	if s.DrainTimeout <= 0 {
		f.Add("drain-timeout", "the time is not positive", "give a duration such as 2m")
	}
	if data := s.Data.AddrPort().Addr(); data.IsValid() && (!data.Is4() || data.IsUnspecified()) {
		f.Add("data", "flow tokens carry this address, so it must be one IPv4 address", "give the host's address")
	}
	return f
}

// upstreamURL returns the base URL of the upstream.
func (s *Settings) upstreamURL() (*url.URL, error) {
	if s.Upstream == "" {
		return nil, errors.New("no upstream is given")
	}
	u, err := url.Parse(s.Upstream)
	if err != nil || u.Scheme != "http" || u.Host == "" {
		return nil, errors.New("this is not an http URL")
	}
	return u, nil
}

// certificate loads the certificate and its key from files or from text.
func (s *Settings) certificate() (tls.Certificate, error) {
	if s.TLSCertPEM != "" || s.TLSKeyPEM != "" {
		if s.TLSCert != "" || s.TLSKey != "" {
			return tls.Certificate{}, errors.New("both files and text are given")
		}
		return tls.X509KeyPair([]byte(s.TLSCertPEM), []byte(s.TLSKeyPEM))
	}
	if s.TLSCert == "" || s.TLSKey == "" {
		return tls.Certificate{}, errors.New("the certificate or its key is missing")
	}
	return tls.LoadX509KeyPair(s.TLSCert, s.TLSKey)
}
