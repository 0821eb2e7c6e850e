package flow

import (
	"crypto/rand"
	"encoding/binary"
	"net/netip"
	"sync"

	"github.com/pkg/errors"
	"github.com/quic-go/quic-go"

	"github.com/saltbend/saltbend/internal/config"
	"github.com/saltbend/saltbend/internal/keyring"
	"github.com/saltbend/saltbend/internal/token"
)

// nonceMask selects the 24 bits of a token's nonce.
const nonceMask = 1<<24 - 1

// nonceStep is the difference between successive nonces. It is odd, so that the
// nonces of 2^24 successive tokens differ. An agent has some 10,000 tokens in
// use; with random nonces, two of them would probably be equal.
const nonceStep = 0x9E3779

// IDs generates the connection IDs of an agent. Each ID is a flow token, which
// holds the agent's address and a MAC, so that any balancer can route the flow
// without state of the flow. IDs is safe for concurrent use.
type IDs struct {
	mu    sync.Mutex
	codec *token.Codec
	token token.Token
}

var _ quic.ConnectionIDGenerator = (*IDs)(nil)

// NewIDs returns a generator of tokens for the agent with the given IPv4 data address.
func NewIDs(ring *keyring.Ring, data netip.AddrPort, service config.Tag, incarnation uint64) (*IDs, error) {
	if !data.Addr().Is4() || data.Addr().IsUnspecified() {
		return nil, errors.Errorf("flow: data address %s cannot be encoded in a token; bind a specific IPv4 address", data)
	}
	var start [4]byte
	rand.Read(start[:]) // never fails
	return &IDs{
		codec: token.NewCodec(ring),
		token: token.Token{
			Agent:       data,
			Service:     service,
			Incarnation: token.IncarnationTag(incarnation),
			Nonce:       binary.BigEndian.Uint32(start[:]) & nonceMask,
		},
	}, nil
}

// SetKeys replaces the key ring that authenticates new tokens.
func (g *IDs) SetKeys(ring *keyring.Ring) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.codec = token.NewCodec(ring)
}

// GenerateConnectionID implements quic.ConnectionIDGenerator.
func (g *IDs) GenerateConnectionID() (quic.ConnectionID, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.token.Nonce = (g.token.Nonce + nonceStep) & nonceMask
	var id [token.Size]byte
	g.codec.Seal(id[:], g.token)
	return quic.ConnectionIDFromBytes(id[:]), nil
}

// ConnectionIDLen implements quic.ConnectionIDGenerator.
func (g *IDs) ConnectionIDLen() int { return token.Size }
