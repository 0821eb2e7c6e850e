// Package reset derives the tokens of stateless resets (RFC 9000, section 10.3)
// from the secrets that all processes of the fleet (the balancers and agents of one
// installation) share. An agent gives these tokens to its callers. Any process
// that has the secrets can send a stateless reset on the agent's behalf, which
// tells a caller that its connection no longer exists.
package reset

import (
	"crypto/hkdf"
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"net/netip"

	"github.com/saltbend/saltbend/internal/keyring"
	"github.com/saltbend/saltbend/internal/quicid"
)

// Sizes in bytes.
const (
	// KeySize is the length of an agent's reset key.
	KeySize = sha256.Size
	// TokenSize is the length of the token at the end of a reset packet.
	TokenSize = 16
	// MaxPacket is the maximum length of a reset packet, used in answer to long
	// datagrams. It is the length of a small QUIC packet with a short header, so that
	// observers can't recognise resets by their length.
	MaxPacket = 42
	// MinTrigger is the minimum length of a datagram that may be answered with a
	// reset: the length of QUIC's shortest packet to a connection ID of 20 bytes. A
	// caller's keep-alive packet is at most one byte longer than this; a shorter
	// datagram can't be a QUIC packet.
	MinTrigger = 41
)

// fixedBit is the bit that is set in the first byte of all QUIC packets (RFC 9000).
const fixedBit = 0x40

// Keys derives the reset keys of agents from each secret of a ring. It is
// immutable.
type Keys struct {
	secrets [][]byte
}

// NewKeys returns Keys for the secrets of the ring.
func NewKeys(ring *keyring.Ring) *Keys {
	k := &Keys{}
	for _, s := range ring.Derive(keyring.PurposeReset, KeySize) {
		k.secrets = append(k.secrets, s.Bytes)
	}
	return k
}

// Key returns the reset key of the agent at the data address, derived from the
// current secret. The key depends only on the secret and the data address, so that
// an agent that was restarted can reset the flows of its previous incarnation at
// once. It differs between agents, so that an agent can't be made to reset the
// flows of another agent.
func (k *Keys) Key(data netip.AddrPort) [KeySize]byte {
	return deriveKey(k.secrets[0], data)
}

// Packets returns one reset packet per secret for a connection ID of the agent at
// the data address. The packets answer a datagram of trigger bytes, which must be
// at least MinTrigger, and are shorter than it: otherwise two endpoints could reset
// each other in an endless loop. There is one packet per secret because an agent
// keeps the reset key that it started with, even if a newer secret signs its
// connection IDs later. The ID thus does not show which token the caller has.
func (k *Keys) Packets(data netip.AddrPort, id []byte, trigger int) [][]byte {
	out := make([][]byte, 0, len(k.secrets))
	size := min(trigger-1, MaxPacket)
	for _, secret := range k.secrets {
		p := make([]byte, size)
		rand.Read(p) // never fails
		p[0] = p[0]&^quicid.LongHeader | fixedBit
		copy(p[size-TokenSize:], token(deriveKey(secret, data), id))
		out = append(out, p)
	}
	return out
}

// token returns the reset token of a connection ID, derived from the agent's key in
// the same way as in the QUIC library.
func token(key [KeySize]byte, id []byte) []byte {
	h := hmac.New(sha256.New, key[:])
	h.Write(id)
	return h.Sum(nil)[:TokenSize]
}

func deriveKey(secret []byte, data netip.AddrPort) [KeySize]byte {
	b, err := hkdf.Expand(sha256.New, secret, data.String(), KeySize)
	if err != nil {
		panic(err) // only for lengths beyond 255 hashes
	}
	return [KeySize]byte(b)
}
