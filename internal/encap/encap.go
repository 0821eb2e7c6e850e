// Package encap defines the encapsulation between balancers and agents: a header
// that precedes each QUIC datagram of a caller while it is sent between them. A
// balancer receives callers' datagrams at a face, a public address of a service;
// an agent terminates the QUIC connections.
package encap

import (
	"net/netip"

	"github.com/saltbend/saltbend/internal/config"
)

// Version is the version of the header format. It has 4 bits. Receivers drop
// datagrams of other versions.
const Version = 1

// Kind is the kind of a datagram sent by a balancer or an agent. It has 4 bits.
type Kind uint8

// Kinds of datagrams.
const (
	// KindForward carries a caller's datagram from a balancer to an agent.
	KindForward Kind = iota + 1
	// KindReply carries an agent's datagram through a balancer to a caller.
	KindReply
	// KindHandOff carries a caller's Initial from an agent to a sibling, another
	// agent of the same service.
	KindHandOff
	// KindProbe checks whether a balancer, or an agent that the fleet considers
	// gone, is alive. The receiver answers with KindProbeReply.
	KindProbe
	// KindProbeReply answers a probe and repeats the probe's other fields. A sender
	// can put a nonce into a probe's Revision to match the answer to the probe.
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
//	26-31  IPv4 address and port of the balancer that received the caller's datagram
//	32-39  MAC over bytes 0-31 (8 bytes)
//
// The MAC covers exactly two AES blocks. It does not cover the payload, which QUIC
// protects end to end.
const HeaderSize = bodySize + macSize

const (
	bodySize = 32
	macSize  = 8
)

const (
	// MaxDatagram is the size in bytes of the largest UDP payload between balancer
	// and agent: the maximum in an unfragmented IPv4 packet on a path with an MTU of
	// 1500 (20 bytes of IP header, 8 of UDP header).
	MaxDatagram = 1500 - 20 - 8
	// MaxPayload is the size in bytes of the largest datagram of a caller that can be
	// encapsulated. Larger ones are dropped, so QUIC's path MTU discovery finds a
	// size that does not exceed MaxPayload.
	MaxPayload = MaxDatagram - HeaderSize
)

// Header is the header of a datagram between balancer and agent. Its addresses are
// IPv4; the zero AddrPort means that an address is absent.
type Header struct {
	Kind     Kind
	Caller   netip.AddrPort
	Face     netip.AddrPort
	Service  config.Tag
	Revision uint64
	// Balancer is the address at which the balancer that received the caller's
	// datagram accepts encapsulated datagrams. Replies are sent there while it is alive.
	Balancer netip.AddrPort
}
