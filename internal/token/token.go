// Package token creates and verifies flow tokens. A flow token is a QUIC connection
// ID that contains the address of the agent that terminates the flow, so that any
// balancer can forward any packet of a flow without per-flow state.
//
// Layout (20 bytes, the longest connection ID QUIC allows):
//
//	0      key id
//	1-4    agent IPv4 address
//	5-6    agent UDP port
//	7-8    low half of the service tag
//	9-10   agent incarnation tag
//	11-13  nonce
//	14-19  MAC: first 6 bytes of AES(bytes 0-13, high half of the service tag)
//
// The MAC covers exactly one cipher block of fixed length, for which the plain
// block cipher is a secure MAC. A guessed token is accepted with probability
// 2^-48, and its packet then only reaches an agent that has no connection with
// that ID.
package token

import (
	"crypto/aes"
	"crypto/subtle"
	"encoding/binary"
	"net/netip"

	"github.com/pkg/errors"

	"github.com/saltbend/saltbend/internal/config"
	"github.com/saltbend/saltbend/internal/keyring"
)

// Size is the length of a token in bytes.
const Size = 20

const (
	bodySize = 14
	macSize  = Size - bodySize
)

// Errors of Codec.Open.
var (
	ErrLength  = errors.New("token: wrong length")
	ErrKey     = errors.New("token: unknown key id")
	ErrService = errors.New("token: other service")
	ErrForged  = errors.New("token: MAC does not match")
)

// Token holds the contents of a flow token.
type Token struct {
	Agent       netip.AddrPort // IPv4
	Service     config.Tag
	Incarnation uint16
	Nonce       uint32 // 24 bits
}

// IncarnationTag reduces an agent's incarnation number to the 16 bits that a token
// contains.
func IncarnationTag(incarnation uint64) uint16 {
	const mix = 0x9E3779B97F4A7C15 // 2^64 / golden ratio, odd: spreads incarnations of nearby start times
	return uint16((incarnation * mix) >> 48)
}

// Codec seals (signs) and opens (verifies) tokens. It contains scratch space and is
// not safe for concurrent use: each goroutine needs its own Clone.
type Codec struct {
	keys keyring.Blocks
	in   [aes.BlockSize]byte
	out  [aes.BlockSize]byte
}

// NewCodec returns a codec that seals with the ring's current secret and opens
// tokens sealed with any of its secrets.
func NewCodec(ring *keyring.Ring) *Codec {
	return &Codec{keys: ring.Blocks(keyring.PurposeToken)}
}

// Clone returns an independent codec with the same keys.
func (c *Codec) Clone() *Codec {
	return &Codec{keys: c.keys}
}

// Seal writes the signed token into dst, which must have at least Size bytes.
func (c *Codec) Seal(dst []byte, t Token) {
	k := &c.keys[0]
	ip := t.Agent.Addr().As4()
	dst[0] = k.ID
	copy(dst[1:5], ip[:])
	binary.BigEndian.PutUint16(dst[5:], t.Agent.Port())
	binary.BigEndian.PutUint16(dst[7:], uint16(t.Service))
	binary.BigEndian.PutUint16(dst[9:], t.Incarnation)
	dst[11], dst[12], dst[13] = byte(t.Nonce>>16), byte(t.Nonce>>8), byte(t.Nonce)
	copy(dst[bodySize:Size], c.mac(k, dst[:bodySize], t.Service))
}

// Open verifies a connection ID received at a face (a public address) of the
// service and returns the token's contents. It does not retain id.
func (c *Codec) Open(id []byte, service config.Tag) (Token, error) {
	if len(id) != Size {
		return Token{}, ErrLength
	}
	k := c.keys.Find(id[0])
	if k == nil {
		return Token{}, ErrKey
	}
	if binary.BigEndian.Uint16(id[7:]) != uint16(service) {
		return Token{}, ErrService
	}
	if subtle.ConstantTimeCompare(c.mac(k, id[:bodySize], service), id[bodySize:]) != 1 {
		return Token{}, ErrForged
	}
	return Token{
		Agent:       netip.AddrPortFrom(netip.AddrFrom4([4]byte(id[1:5])), binary.BigEndian.Uint16(id[5:])),
		Service:     service,
		Incarnation: binary.BigEndian.Uint16(id[9:]),
		Nonce:       uint32(id[11])<<16 | uint32(id[12])<<8 | uint32(id[13]),
	}, nil
}

// mac returns the MAC of body and service, in scratch space that the next call
// overwrites.
func (c *Codec) mac(k *keyring.Block, body []byte, service config.Tag) []byte {
	copy(c.in[:], body)
	binary.BigEndian.PutUint16(c.in[bodySize:], uint16(service>>16))
	k.Encrypt(c.out[:], c.in[:])
	return c.out[:macSize]
}
