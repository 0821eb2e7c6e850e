// Package member defines what the fleet knows of each of its processes and
// how two pieces of knowledge about one process are ordered. It is pure: no
// clock, no sockets.
package member

import (
	"net/netip"
)

// Role tells what a process does in the fleet.
type Role uint8

// Roles of a member.
const (
	RoleBalancer Role = iota + 1
	RoleAgent
)

// State is the life-cycle state of a member, ordered: within one incarnation
// and version a later state wins.
type State uint8

// States of a member.
const (
	StateStarting State = iota + 1
	StateReady
	StateDraining
	StateGone
)

// Member is one process as the fleet knows it. It is a value; copies are
// independent.
type Member struct {
	// Control is the address of the process's authenticated net/rpc listener
	// and the member's identity.
	Control netip.AddrPort
	// Data is the UDP address on which the process takes encapsulated
	// datagrams from the other role.
	Data netip.AddrPort
	// Ops is the address of the operations HTTP endpoint (/metrics and so on).
	Ops        netip.AddrPort
	Role       Role
	DataCentre string
	// Service is the name of the service an agent serves; empty at a balancer.
	Service string
	// Incarnation rises with every start of the process at this address: its
	// start in nanoseconds since the Unix epoch.
	Incarnation uint64
	// Version rises with every change that the incarnation makes to its own
	// record.
	Version uint64
	State   State
	// Declared tells that witnesses declared the member gone; otherwise it
	// announced so itself.
	Declared bool
	// Slots is the number of requests the upstream serves at once.
	Slots int
	// Weight scales the share of new flows, in thousandths of a warm
	// upstream's share: 1000 is full.
	Weight int
	// Revision is the configuration revision that the member has in force.
	Revision uint64
}

// Supersedes reports whether m is newer knowledge than o about the same
// control address: a later incarnation wins, then a later version, then a
// later state.
func (m Member) Supersedes(o Member) bool {
	if m.Incarnation != o.Incarnation {
		return m.Incarnation > o.Incarnation
	}
	if m.Version != o.Version {
		return m.Version > o.Version
	}
	return m.State > o.State
}

// View is an immutable set of members, published by the one goroutine that
// owns membership. Readers must not change it.
type View struct {
	Members []Member
}
