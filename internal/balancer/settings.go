package balancer

import (
	"net/netip"
	"time"

	"github.com/saltbend/saltbend/internal/settings"
)

// Settings holds the settings of the balancer role.
type Settings struct {
	settings.Common
	FaceHost  string        `long:"face-host" env:"SALTBEND_FACE_HOST" value-name:"IP" description:"bind every face at this address with a port that the kernel chooses, for hosts behind a fabric that translates addresses; GET /faces on the ops address lists the ports (default: bind each face at its public address)"`
	FaceDrain time.Duration `long:"face-drain" env:"SALTBEND_FACE_DRAIN" default:"4h" value-name:"DURATION" description:"time for which the open flows of a face are still forwarded after the face was removed from the configuration"`
	Grace     time.Duration `long:"grace" env:"SALTBEND_GRACE" default:"5s" value-name:"DURATION" description:"time for which a balancer that shuts down continues to forward, so that the fabric and the agents can switch to other balancers"`
}

// Check returns all invalid settings, not just the first.
func (s *Settings) Check() settings.Findings {
	f := s.Common.Check()
	if data, err := s.Data.Parse(); err == nil && (!data.Addr().Is4() || data.Addr().IsUnspecified()) {
		f.Add("data", "agents can't send to "+data.Addr().String(), "give an IPv4 address of this host")
	}
	if _, ok := s.faceHost(); !ok {
		f.Add("face-host", "not an IPv4 address", "give numbers, such as 192.0.2.1, or leave it out")
	}
	if s.FaceDrain < 0 {
		f.Add("face-drain", "the time is negative", "give 0 or more, such as 4h")
	}
	if s.Grace < 0 {
		f.Add("grace", "the time is negative", "give 0 or more, such as 5s")
	}
	return f
}

// faceHost returns the address that all faces are bound to; it is invalid if each
// face is bound to its public address. ok is false if the setting is invalid.
func (s *Settings) faceHost() (host netip.Addr, ok bool) {
	if s.FaceHost == "" {
		return netip.Addr{}, true
	}
	host, err := netip.ParseAddr(s.FaceHost)
	return host, err == nil && host.Is4()
}
