// Package encap defines the header in front of a caller's QUIC datagram on its
// way between balancer and agent.
package encap

import (
	"net/netip"

	"github.com/saltbend/saltbend/internal/config"
)

// Version is the format's version; a receiver drops others.
const Version = 1

// Kind tells what a datagram between balancer and agent is.
type Kind uint8

// Kinds of datagrams.
const (
	// KindForward carries a caller's datagram from a balancer to an agent.
	KindForward Kind = iota + 1
	// KindReply carries an agent's datagram through a balancer to a caller.
	KindReply
	// KindHandOn carries a caller's Initial from an agent to a sibling.
	KindHandOn
	// KindProbe asks a balancer whether it lives; it answers KindProbeReply.
	KindProbe
	// KindProbeReply answers a probe.
	KindProbeReply
)

// HeaderSize is the length of the header in bytes:
//
//	0      version
//	1      kind
//	2      key id
//	3      reserved, zero
//	4-9    caller IPv4 address and port
//	10-15  face IPv4 address and port
//	16-19  service tag
//	20-27  configuration revision of the sender
//	28-33  balancer IPv4 address and port that took the caller's datagram
//	34-41  MAC over bytes 0-33 (8 bytes)
//
// The payload is not covered: QUIC protects it from end to end.
const HeaderSize = 42

// Header precedes each datagram between balancer and agent.
type Header struct {
	Kind     Kind
	Caller   netip.AddrPort
	Face     netip.AddrPort
	Service  config.Tag
	Revision uint64
	// Balancer is the encapsulation address of the balancer that took the
	// caller's datagram: replies return there while it lives.
	Balancer netip.AddrPort
}
