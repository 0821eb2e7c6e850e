package encap

import (
	"crypto/aes"
	"crypto/subtle"
	"encoding/binary"
	"net/netip"

	"github.com/pkg/errors"

	"github.com/saltbend/saltbend/internal/config"
	"github.com/saltbend/saltbend/internal/keyring"
)

// Errors of Codec.Decode and Codec.Encode.
var (
	ErrShort   = errors.New("encap: shorter than a header")
	ErrVersion = errors.New("encap: unknown version")
	ErrKind    = errors.New("encap: unknown kind")
	ErrKey     = errors.New("encap: unknown key id")
	ErrForged  = errors.New("encap: MAC does not match")
	ErrAddress = errors.New("encap: address is not IPv4")
)

// Codec encodes and decodes headers. It contains scratch space and is not safe for
// concurrent use: each goroutine needs its own Clone.
type Codec struct {
	keys  keyring.Blocks
	chain [aes.BlockSize]byte
}

// NewCodec returns a codec that signs with the ring's current secret and accepts
// signatures of all its secrets.
func NewCodec(ring *keyring.Ring) *Codec {
	return &Codec{keys: ring.Blocks(keyring.PurposeEncap)}
}

// Clone returns an independent codec with the same keys.
func (c *Codec) Clone() *Codec {
	return &Codec{keys: c.keys}
}

// Encode writes h into the first HeaderSize bytes of dst. It can fail with
// ErrShort, ErrKind or ErrAddress; the contents of dst are then undefined.
func (c *Codec) Encode(dst []byte, h *Header) error {
	if len(dst) < HeaderSize {
		return ErrShort
	}
	if !h.Kind.valid() {
		return ErrKind
	}
	k := &c.keys[0]
	dst[0] = Version<<4 | byte(h.Kind)
	dst[1] = k.ID
	ok := putAddr(dst[2:8], h.Caller) && putAddr(dst[8:14], h.Face) && putAddr(dst[26:32], h.Balancer)
	if !ok {
		return ErrAddress
	}
	binary.BigEndian.PutUint32(dst[14:], uint32(h.Service))
	binary.BigEndian.PutUint64(dst[18:], h.Revision)
	copy(dst[bodySize:HeaderSize], c.mac(k, dst[:bodySize]))
	return nil
}

// Decode verifies the header at the start of b and returns it with the payload,
// which aliases b. It can fail with ErrShort, ErrVersion, ErrKind, ErrKey or
// ErrForged.
func (c *Codec) Decode(b []byte) (Header, []byte, error) {
	if len(b) < HeaderSize {
		return Header{}, nil, ErrShort
	}
	if b[0]>>4 != Version {
		return Header{}, nil, ErrVersion
	}
	kind := Kind(b[0] & 0x0f)
	if !kind.valid() {
		return Header{}, nil, ErrKind
	}
	k := c.keys.Find(b[1])
	if k == nil {
		return Header{}, nil, ErrKey
	}
	if subtle.ConstantTimeCompare(c.mac(k, b[:bodySize]), b[bodySize:HeaderSize]) != 1 {
		return Header{}, nil, ErrForged
	}
	h := Header{
		Kind:     kind,
		Caller:   addr(b[2:8]),
		Face:     addr(b[8:14]),
		Service:  config.Tag(binary.BigEndian.Uint32(b[14:])),
		Revision: binary.BigEndian.Uint64(b[18:]),
		Balancer: addr(b[26:32]),
	}
	return h, b[HeaderSize:], nil
}

func (k Kind) valid() bool {
	return k >= KindForward && k <= KindProbeReply
}

// mac returns the CBC-MAC of a body of two blocks, in scratch space that the next
// call overwrites. CBC-MAC is secure here because all bodies have the same length.
func (c *Codec) mac(k *keyring.Block, body []byte) []byte {
	k.Encrypt(c.chain[:], body[:aes.BlockSize])
	subtle.XORBytes(c.chain[:], c.chain[:], body[aes.BlockSize:bodySize])
	k.Encrypt(c.chain[:], c.chain[:])
	return c.chain[:macSize]
}

func putAddr(dst []byte, a netip.AddrPort) bool {
	if !a.IsValid() {
		clear(dst)
		return true
	}
	ip := a.Addr().Unmap()
	if !ip.Is4() {
		return false
	}
	b := ip.As4()
	copy(dst, b[:])
	binary.BigEndian.PutUint16(dst[4:], a.Port())
	return true
}

func addr(b []byte) netip.AddrPort {
	ip := [4]byte(b)
	port := binary.BigEndian.Uint16(b[4:])
	if ip == [4]byte{} && port == 0 {
		return netip.AddrPort{}
	}
	return netip.AddrPortFrom(netip.AddrFrom4(ip), port)
}
