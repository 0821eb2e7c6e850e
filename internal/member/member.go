// Package member defines the record that the fleet keeps of each process, a
// member, and the table of these records: which of two records of a member is
// newer, which members are suspected or gone, and which balancers watch a member.
// A tombstone is the record of a member that is gone.
//
// The package does no I/O and reads no clock.
package member

import (
	"net/netip"
)

// Role is the function of a process in the fleet.
type Role uint8

// Roles of a member.
const (
	RoleBalancer Role = iota + 1
	RoleAgent
)

// State is the life-cycle state of a member. States are ordered: of two records
// with the same incarnation and version, the one with the later state wins.
type State uint8

// States of a member.
const (
	StateStarting State = iota + 1
	StateReady
	StateDraining
	StateGone
)

// Member is the record of one process in the fleet. It is a value; copies are
// independent.
type Member struct {
	// Control is the address of the process's authenticated net/rpc listener. It
	// identifies the member.
	Control netip.AddrPort
	// Data is the UDP address at which the process receives encapsulated
	// datagrams from processes of the other role.
	Data netip.AddrPort
	// Ops is the address of the operations HTTP endpoint (/metrics and so on).
	Ops        netip.AddrPort
	Role       Role
	DataCentre string
	// Service is the name of the service that an agent serves; empty for a
	// balancer.
	Service string
	// Incarnation is the start time of the process in nanoseconds since the Unix
	// epoch, so that it rises with each start at the same address.
	Incarnation uint64
	// Version rises with each change that the process makes to its own record
	// within one incarnation.
	Version uint64
	State   State
	// Declared is set if witnesses declared the member gone. It is not set if the
	// member announced its own departure.
	Declared bool
	// Slots is the number of requests that the upstream serves concurrently.
	Slots int
	// Weight scales the member's share of new flows, in thousandths of the share
	// of a warmed-up upstream: 1000 is the full share.
	Weight int
	// Revision is the configuration revision that the member has in force.
	Revision uint64
}

// Supersedes reports whether m is newer than o, a record of the same control
// address: a later incarnation wins, then a later version, then a later state.
func (m Member) Supersedes(o Member) bool {
	if m.Incarnation != o.Incarnation {
		return m.Incarnation > o.Incarnation
	}
	if m.Version != o.Version {
		return m.Version > o.Version
	}
	return m.State > o.State
}

// View is an immutable set of members, published by the goroutine that owns
// membership. Readers must not change it.
type View struct {
	Members []Member
}
