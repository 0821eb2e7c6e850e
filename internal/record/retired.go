package record

import (
	"net/netip"
	"time"

	"github.com/saltbend/saltbend/internal/config"
)

// HoldTime is how long a removed face is held before another service may use it. It is
// several times as long as all balancers need to adopt a revision. It is measured with the
// clocks of the operators' hosts.
const HoldTime = time.Minute

// Retired is a face that was removed from a service at Time.
type Retired struct {
	Face    netip.AddrPort `json:"face"`
	Service string         `json:"service"`
	Time    time.Time      `json:"time"`
}

func (r Retired) isHeld(now time.Time) bool {
	age := now.Sub(r.Time)
	// A time far in the future, set by a wrong clock, must not block a face.
	return age < HoldTime && age > -HoldTime
}

// HeldFaces returns the faces that other services must not use yet.
func (r Record) HeldFaces(now time.Time) []config.HeldFace {
	var out []config.HeldFace
	for _, f := range r.Retired {
		if f.isHeld(now) {
			out = append(out, config.HeldFace{Face: f.Face, Service: f.Service})
		}
	}
	return out
}

// nextRetired returns the retired faces after the change to next: those that are still held
// and the ones that the change removes. A face that its own service takes back is left out.
func (r Record) nextRetired(next *config.Config, now time.Time) []Retired {
	var out []Retired
	for _, f := range r.Retired {
		if f.isHeld(now) && !owns(next, f.Service, f.Face) {
			out = append(out, f)
		}
	}
	if r.Config == nil {
		return out
	}
	for _, s := range r.Config.Services {
		for _, face := range s.Faces {
			if !owns(next, s.Name, face) {
				out = append(out, Retired{Face: face, Service: s.Name, Time: now})
			}
		}
	}
	return out
}

func owns(c *config.Config, service string, face netip.AddrPort) bool {
	if c == nil {
		return false
	}
	for _, s := range c.Services {
		for _, f := range s.Faces {
			if f == face {
				return s.Name == service
			}
		}
	}
	return false
}
