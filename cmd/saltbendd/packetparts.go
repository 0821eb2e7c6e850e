package main

import (
	"fmt"
	"slices"

	"github.com/saltbend/saltbend/internal/packetface/policy"
	"github.com/saltbend/saltbend/internal/settings"
)

// partSettings are the flags of the parts that act when callers ask for more than upstreams
// have room for. With partAuto a part acts where the route states a target latency and a
// timeout and the other processes support it; partOff switches it off like --without.
type partSettings struct {
	HeldOpenings string `long:"held-openings" env:"SALTBEND_HELD_OPENINGS" value-name:"auto|off" default:"auto" description:"hold opening packets at the agent while its upstream has no room, and refuse those that cannot be answered in time"`
	ServiceLevel string `long:"service-level" env:"SALTBEND_SERVICE_LEVEL" value-name:"auto|off" default:"auto" description:"refuse opening packets at the balancer that no agent of the service has room for"`
}

// Values of the flags.
const (
	partAuto = "auto"
	partOff  = "off"
)

// partFlag is the flag of one part and the policy that it controls.
type partFlag struct {
	policy policy.Name
	value  string
}

// flags returns the flags, which are named like their policies.
func (s *partSettings) flags() []partFlag {
	return []partFlag{
		{policy.HeldOpenings, s.HeldOpenings},
		{policy.ServiceLevel, s.ServiceLevel},
	}
}

// check adds a finding for each flag with another value than partAuto and partOff.
func (s *partSettings) check(f *settings.Findings) {
	for _, p := range s.flags() {
		if p.value != partAuto && p.value != partOff {
			f.Add(string(p.policy), fmt.Sprintf("%q is neither %q nor %q", p.value, partAuto, partOff), "give one of them")
		}
	}
}

// off returns the names of the parts that are switched off and that are not among the given
// names.
func (s *partSettings) off(names []string) (out []string) {
	for _, p := range s.flags() {
		if p.value == partOff && !slices.Contains(names, string(p.policy)) {
			out = append(out, string(p.policy))
		}
	}
	return out
}
