package datapath

import (
	"encoding/binary"
	"net/netip"

	"github.com/cespare/xxhash/v2"

	"github.com/saltbend/saltbend/internal/token"
)

// route returns the agent for a classified datagram: the one in its token if the
// flow is open, else one chosen for the new flow.
func route(f *Face, caller netip.AddrPort, v *verdict) (netip.AddrPort, Reason) {
	if v.agent.IsValid() {
		return v.agent, None
	}
	if f.Draining {
		return netip.AddrPort{}, FaceDraining
	}
	agent, ok := f.Agents.Choose(flowKey(caller, v.id))
	if !ok {
		return netip.AddrPort{}, NoAgent
	}
	return agent, None
}

// flowKey returns the hash of a new flow's caller address and connection ID. A
// retransmitted Initial thus has the same key at every balancer.
func flowKey(caller netip.AddrPort, id []byte) uint64 {
	var b [6 + token.Size]byte
	ip := caller.Addr().As4()
	copy(b[:4], ip[:])
	binary.BigEndian.PutUint16(b[4:], caller.Port())
	n := copy(b[6:], id)
	return xxhash.Sum64(b[:6+n])
}
