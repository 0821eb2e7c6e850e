// Package ticket ensures that a non-idempotent request runs at most once. A ticket is a
// token with the address of its home, the agent that issued it, the home's incarnation,
// which identifies one run of the agent's process, and a nonce. Only that incarnation
// may run a request under the ticket. The incarnation's Window lets each nonce run at
// most once and replays the recorded outcome. The package does no I/O, reads no clock
// and starts no goroutines.
package ticket

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/base64"
	"encoding/binary"
	"net/netip"

	"github.com/pkg/errors"

	"github.com/saltbend/saltbend/internal/config"
	"github.com/saltbend/saltbend/internal/keyring"
)

// Header is the HTTP header with a ticket's text form: in a request the ticket to run
// under, in a response a new ticket.
const Header = "Saltbend-Ticket"

// Layout of the sealed form:
//
//	0      key id
//	1-16   home address, IPv4 in its IPv6-mapped form
//	17-18  home port
//	19-26  home incarnation
//	27-30  service tag
//	31-38  nonce
//	39-54  MAC: first 16 bytes of HMAC-SHA256 over bytes 0-38
const (
	bodySize   = 39
	macSize    = 16
	sealedSize = bodySize + macSize
	keySize    = 32
)

// Errors of Codec.Open.
var (
	ErrText    = errors.New("ticket: malformed text form")
	ErrKey     = errors.New("ticket: unknown key id")
	ErrForged  = errors.New("ticket: MAC does not match")
	ErrService = errors.New("ticket: issued for another service")
)

// Ticket allows one non-idempotent request to run once. It contains no time: an
// incarnation issues its nonces in ascending order, so the nonces order the
// incarnation's tickets by age without synchronised clocks.
type Ticket struct {
	// Home is the control address of the agent that issued the ticket.
	Home netip.AddrPort
	// Incarnation identifies the process at Home that issued the ticket. No other
	// process runs a request under the ticket.
	Incarnation uint64
	Service     config.Tag
	// Nonce numbers the tickets of an incarnation consecutively.
	Nonce uint64
}

type key struct {
	id  uint8
	mac []byte
}

// Codec encodes and authenticates tickets. It is safe for concurrent use.
type Codec struct {
	keys []key
}

// NewCodec returns a codec that seals tickets with the ring's current secret and opens
// tickets sealed with any secret of the ring.
func NewCodec(ring *keyring.Ring) *Codec {
	c := &Codec{}
	for _, k := range ring.Derive(keyring.PurposeTicket, keySize) {
		c.keys = append(c.keys, key{id: k.ID, mac: k.Bytes})
	}
	return c
}

// Seal returns the text form of t.
func (c *Codec) Seal(t Ticket) string {
	k := c.keys[0]
	var b [sealedSize]byte
	b[0] = k.id
	ip := t.Home.Addr().As16()
	copy(b[1:], ip[:])
	binary.BigEndian.PutUint16(b[17:], t.Home.Port())
	binary.BigEndian.PutUint64(b[19:], t.Incarnation)
	binary.BigEndian.PutUint32(b[27:], uint32(t.Service))
	binary.BigEndian.PutUint64(b[31:], t.Nonce)
	copy(b[bodySize:], k.sum(b[:bodySize]))
	return base64.RawURLEncoding.EncodeToString(b[:])
}

// Open decodes and verifies the text form of a ticket. It returns ErrService if the
// ticket was issued for another service.
func (c *Codec) Open(text string, service config.Tag) (Ticket, error) {
	b, err := base64.RawURLEncoding.Strict().DecodeString(text)
	if err != nil || len(b) != sealedSize {
		return Ticket{}, ErrText
	}
	k, ok := c.key(b[0])
	if !ok {
		return Ticket{}, ErrKey
	}
	if !hmac.Equal(k.sum(b[:bodySize]), b[bodySize:]) {
		return Ticket{}, ErrForged
	}
	t := Ticket{
		Home:        netip.AddrPortFrom(netip.AddrFrom16([16]byte(b[1:17])).Unmap(), binary.BigEndian.Uint16(b[17:])),
		Incarnation: binary.BigEndian.Uint64(b[19:]),
		Service:     config.Tag(binary.BigEndian.Uint32(b[27:])),
		Nonce:       binary.BigEndian.Uint64(b[31:]),
	}
	if t.Service != service {
		return Ticket{}, ErrService
	}
	return t, nil
}

func (c *Codec) key(id uint8) (key, bool) {
	for _, k := range c.keys {
		if k.id == id {
			return k, true
		}
	}
	return key{}, false
}

func (k key) sum(body []byte) []byte {
	h := hmac.New(sha256.New, k.mac)
	h.Write(body)
	return h.Sum(nil)[:macSize]
}

// Digest identifies the content of a request. It binds a ticket to the request that
// the ticket is first used for.
type Digest [sha256.Size]byte

// DigestOf returns the digest of a request. The target is the path with its query.
func DigestOf(method, target string, body []byte) Digest {
	h := sha256.New()
	var size [8]byte
	for _, part := range [][]byte{[]byte(method), []byte(target), body} {
		binary.BigEndian.PutUint64(size[:], uint64(len(part)))
		h.Write(size[:])
		h.Write(part)
	}
	return Digest(h.Sum(nil))
}
