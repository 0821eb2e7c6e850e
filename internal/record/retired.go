package record

import (
	"net/netip"
	"time"

	"github.com/saltbend/saltbend/internal/config"
)

// RestTime is how long a face rests after a service gave it up, before another
// may have it: several times the time in which each balancer takes a revision
// over. It is measured by the clocks of the operators' hosts.
const RestTime = time.Minute

// Retired is a face that a service gave up.
type Retired struct {
	Face    netip.AddrPort `json:"face"`
	Service string         `json:"service"`
	Time    time.Time      `json:"time"`
}

func (r Retired) rests(now time.Time) bool {
	age := now.Sub(r.Time)
	return age < RestTime && age > -RestTime // a clock far off must not block a face
}

// Resting returns the faces that must not go to another service yet.
func (r Record) Resting(now time.Time) []config.Former {
	var out []config.Former
	for _, f := range r.Retired {
		if f.rests(now) {
			out = append(out, config.Former{Face: f.Face, Service: f.Service})
		}
	}
	return out
}

// retire returns the faces that rest after the change to next.
func (r Record) retire(next *config.Config, now time.Time) []Retired {
	var out []Retired
	for _, f := range r.Retired {
		if f.rests(now) && !owns(next, f.Service, f.Face) {
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
