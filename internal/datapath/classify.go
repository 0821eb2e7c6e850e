package datapath

import (
	"encoding/binary"
	"net/netip"

	"github.com/saltbend/saltbend/internal/config"
	"github.com/saltbend/saltbend/internal/encap"
	"github.com/saltbend/saltbend/internal/quicid"
	"github.com/saltbend/saltbend/internal/token"
)

// minInitial is QUIC's least size of a datagram that opens a flow, in bytes.
const minInitial = 1200

// minInitialID is QUIC's least length of the connection ID that a caller
// chooses, in bytes.
const minInitialID = 8

// Bits of a QUIC packet's first byte (RFC 9000, RFC 9369).
const (
	fixedBit = 0x40
	longType = 0x30
)

// Types of a long-header packet that opens a flow, by version.
const (
	version1         = 0x00000001
	version2         = 0x6b3343cf
	initialVersion1  = 0x00
	initialVersion2  = 0x10
	negotiateVersion = 0
)

// versionEnd is the length of a long header up to the end of its version, in
// bytes.
const versionEnd = 5

// verdict is what the classify filter found out about a datagram.
type verdict struct {
	drop Reason
	// incarnation is the tag of the agent's incarnation in an open flow.
	incarnation uint16
	// service is the one that the datagram is meant for.
	service config.Tag
	// agent ends the datagram's flow; it is invalid for a new flow.
	agent netip.AddrPort
	// id is the connection ID that the caller chose for a new flow; it shares
	// the datagram's memory.
	id []byte
}

// classify decides whether a datagram that came in at the face belongs to an
// open flow, opens a new one, or is to be dropped.
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

// openToken opens a token of the face's service or of a former one.
func openToken(id []byte, f *Face, tokens *token.Codec) (t token.Token, err error) {
	t, err = tokens.Open(id, f.Service)
	for i := 0; err == token.ErrService && i < len(f.Former); i++ {
		t, err = tokens.Open(id, f.Former[i])
	}
	return t, err
}

// opensFlow reports whether a whole long-header packet may be a flow's first. A
// packet of an unknown version may: the agent answers it with the versions that
// it knows.
func opensFlow(b []byte) bool {
	switch binary.BigEndian.Uint32(b[1:versionEnd]) {
	case version1:
		return b[0]&(fixedBit|longType) == fixedBit|initialVersion1
	case version2:
		return b[0]&(fixedBit|longType) == fixedBit|initialVersion2
	case negotiateVersion:
		return false // only servers send it
	}
	return true
}
