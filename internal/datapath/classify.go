package datapath

import (
	"encoding/binary"
	"net/netip"

	"github.com/saltbend/saltbend/internal/config"
	"github.com/saltbend/saltbend/internal/encap"
	"github.com/saltbend/saltbend/internal/quicid"
	"github.com/saltbend/saltbend/internal/token"
)

// minInitial is the minimum size in bytes that QUIC requires of a datagram that
// opens a flow.
const minInitial = 1200

// minInitialID is the minimum length in bytes that QUIC requires of the
// connection ID that a caller chooses for a new flow.
const minInitialID = 8

// Bits of a QUIC packet's first byte (RFC 9000, RFC 9369).
const (
	fixedBit = 0x40
	longType = 0x30
)

// QUIC versions, and the packet type of an Initial in each. Version 0 marks a
// Version Negotiation packet.
const (
	version1           = 0x00000001
	version2           = 0x6b3343cf
	initialVersion1    = 0x00
	initialVersion2    = 0x10
	versionNegotiation = 0
)

// versionEnd is the offset in bytes at which the version field of a long header
// ends.
const versionEnd = 5

// verdict is the result of the classify filter for one datagram.
type verdict struct {
	drop Reason
	// incarnation is the tag of the agent's incarnation; set for an open flow.
	incarnation uint16
	// service is the service that the datagram's flow belongs to.
	service config.Tag
	// agent is the data address of the agent that terminates the flow; it is
	// invalid for a new flow.
	agent netip.AddrPort
	// id is the connection ID that the caller chose for a new flow; it aliases
	// the datagram's buffer.
	id []byte
}

// classify determines whether a datagram received at the face belongs to an open
// flow, opens a new flow, or must be dropped.
func classify(b []byte, f *Face, tokens *token.Codec) verdict {
	if len(b) > encap.MaxPayload {
		return verdict{drop: Oversized}
	}
	id, ok := quicid.Destination(b, token.Size)
	if !ok {
		return verdict{drop: Truncated}
	}
	t, err := openToken(id, f, tokens)
	if err == nil {
		return verdict{service: t.Service, agent: t.Agent, incarnation: t.Incarnation}
	}
	if !quicid.IsLong(b) {
		return verdict{drop: tokenReason(err)}
	}
	if !opensFlow(b) || len(id) < minInitialID || len(id) > token.Size {
		return verdict{drop: NotInitial}
	}
	if len(b) < minInitial {
		return verdict{drop: SmallInitial}
	}
	return verdict{service: f.Service, id: id}
}

// openToken verifies a token against the face's service and, if it belongs to
// another service, against the face's former services.
func openToken(id []byte, f *Face, tokens *token.Codec) (t token.Token, err error) {
	t, err = tokens.Open(id, f.Service)
	for i := 0; err == token.ErrService && i < len(f.FormerServices); i++ {
		t, err = tokens.Open(id, f.FormerServices[i])
	}
	return t, err
}

// opensFlow reports whether a long-header packet, complete up to its version
// field, may be the first packet of a flow. This includes packets of unknown
// versions: the agent answers them with a list of the versions that it supports.
func opensFlow(b []byte) bool {
	switch binary.BigEndian.Uint32(b[1:versionEnd]) {
	case version1:
		return b[0]&(fixedBit|longType) == fixedBit|initialVersion1
	case version2:
		return b[0]&(fixedBit|longType) == fixedBit|initialVersion2
	case versionNegotiation:
		return false // only servers send Version Negotiation packets
	}
	return true
}
