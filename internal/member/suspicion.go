package member

import "net/netip"

// Evidence tells what a witness saw of a member that it takes for dead.
type Evidence uint8

// Kinds of evidence.
const (
	// Unreachable: neither renewals nor probes got through. A cut looks alike.
	Unreachable Evidence = iota + 1
	// Refused: the member's host answered that nothing listens at its address.
	Refused
)

// Suspicion is one witness's statement about one version of a member. A higher
// version of the member refutes it.
type Suspicion struct {
	Control     netip.AddrPort
	Incarnation uint64
	Version     uint64
	Witness     netip.AddrPort
	Evidence    Evidence
}
