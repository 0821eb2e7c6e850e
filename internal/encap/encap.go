// Package encap defines the header in front of a caller's QUIC datagram on its
// way between balancer and agent.
package encap

import (
	"net/netip"

	"github.com/saltbend/saltbend/internal/config"
)

// Version is the format's version; a receiver drops others. It has 4 bits.
const Version = 1

// Kind tells what a datagram between balancer and agent is. It has 4 bits.
type Kind uint8

// Kinds of datagrams.
const (
	// KindForward carries a caller's datagram from a balancer to an agent.
	KindForward Kind = iota + 1
	// KindReply carries an agent's datagram through a balancer to a caller.
	KindReply
	// KindHandOn carries a caller's Initial from an agent to a sibling.
	KindHandOn
	// KindProbe asks a balancer, or an agent that is thought to be gone, whether
	// it lives; it answers KindProbeReply.
	KindProbe
	// KindProbeReply answers a probe and repeats its other fields: a probe may
	// carry a nonce in Revision to know its own answer.
	KindProbeReply
)

// HeaderSize is the length of the header in bytes:
//
//	0      version (high 4 bits) and kind (low 4 bits)
//	1      key id
//	2-7    caller IPv4 address and port
//	8-13   face IPv4 address and port
//	14-17  service tag
//	18-25  configuration revision of the sender
//	26-31  balancer IPv4 address and port that took the caller's datagram
//	32-39  MAC over bytes 0-31 (8 bytes)
//
// The MAC covers exactly two AES blocks. The payload is not covered: QUIC
// protects it from end to end.
const HeaderSize = bodySize + macSize

const (
	bodySize = 32
	macSize  = 8
)

const (
	// MaxDatagram is the largest UDP payload between balancer and agent in
	// bytes: what an unfragmented IPv4 packet holds on a path with an MTU of
	// 1500 (20 bytes of IP header, 8 of UDP header).
	MaxDatagram = 1500 - 20 - 8
	// MaxPayload is the largest caller's datagram that fits, in bytes. QUIC's
	// path MTU discovery settles below it by itself.
	MaxPayload = MaxDatagram - HeaderSize
)

// Header precedes each datagram between balancer and agent. Its addresses are
// IPv4; the zero AddrPort stands for none.
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
