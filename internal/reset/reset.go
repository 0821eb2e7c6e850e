// Package reset derives the tokens of stateless resets (RFC 9000, 10.3) from
// the fleet's secrets. An agent hands them out to its callers; who holds the
// secrets can tell a caller in the agent's place that its connection is gone.
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
	// TokenSize is the length of the token that ends a reset.
	TokenSize = 16
	// MaxPacket is the length of a reset of a long datagram: that of a short
	// packet of QUIC, so that observers can't tell it apart.
	MaxPacket = 42
	// MinTrigger is the least length of a datagram that may be answered by a
	// reset: that of QUIC's shortest packet to an ID of 20 bytes. A caller's
	// keep-alive has at most a byte more; a shorter datagram is no packet.
	MinTrigger = 41
)

// fixedBit is set in the first byte of all packets (RFC 9000).
const fixedBit = 0x40

// Keys derives for each secret of a ring. It is immutable.
type Keys struct {
	secrets [][]byte
}

// NewKeys derives from the ring.
func NewKeys(ring *keyring.Ring) *Keys {
	k := &Keys{}
	for _, s := range ring.Derive(keyring.PurposeReset, KeySize) {
		k.secrets = append(k.secrets, s.Bytes)
	}
	return k
}

// Key returns the key of the agent at the data address, by the current secret.
// It depends on the secret and the data address alone, so that a new
// incarnation can tell the flows of a dead one at once, and differs between
// agents, so that none can be made to reset the flows of another.
func (k *Keys) Key(data netip.AddrPort) [KeySize]byte {
	return expand(k.secrets[0], data)
}

// Packets returns a reset of the connection ID of the agent at the data address
// for each secret. It answers a datagram of trigger bytes, MinTrigger at least,
// and is shorter, so that two ends can't go on resetting each other. An agent keeps the key that it started with, whichever
// secret signs its connection IDs later, so the ID does not tell which one the
// caller knows.
func (k *Keys) Packets(data netip.AddrPort, id []byte, trigger int) [][]byte {
	out := make([][]byte, 0, len(k.secrets))
	size := min(trigger-1, MaxPacket)
	for _, secret := range k.secrets {
		p := make([]byte, size)
		rand.Read(p) // never fails
		p[0] = p[0]&^quicid.LongHeader | fixedBit
		copy(p[size-TokenSize:], token(expand(secret, data), id))
		out = append(out, p)
	}
	return out
}

// token returns the token as the QUIC library derives it from its key.
func token(key [KeySize]byte, id []byte) []byte {
	h := hmac.New(sha256.New, key[:])
	h.Write(id)
	return h.Sum(nil)[:TokenSize]
}

func expand(secret []byte, data netip.AddrPort) [KeySize]byte {
	b, err := hkdf.Expand(sha256.New, secret, data.String(), KeySize)
	if err != nil {
		panic(err) // only for lengths beyond 255 hashes
	}
	return [KeySize]byte(b)
}
