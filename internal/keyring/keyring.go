// Package keyring derives the fleet's working keys from shared secrets: one
// current secret that signs, and previous ones that are still accepted while
// a rotation is under way.
package keyring

import (
	"crypto/aes"
	"crypto/cipher"
	"crypto/hkdf"
	"crypto/hmac"
	"crypto/sha256"
	"encoding/hex"
	"strconv"
	"strings"

	"github.com/pkg/errors"
)

// MinSecretBytes is the least length of a shared secret.
const MinSecretBytes = 16

// MaxSecrets is the number of secrets a ring may hold: current and previous.
const MaxSecrets = 2

// Secret is one shared secret with the number that tags what it signed.
type Secret struct {
	ID    uint8
	Bytes []byte
}

// Ring holds the current secret first, then the previous one if there is one.
// It is immutable.
type Ring struct {
	secrets []Secret
}

// Purpose names what a derived key is used for, so that a value signed for one
// use is worthless for another.
type Purpose string

// Purposes of derived keys.
const (
	PurposeToken   Purpose = "saltbend flow token"
	PurposeEncap   Purpose = "saltbend encapsulation"
	PurposeTicket  Purpose = "saltbend request ticket"
	PurposeReset   Purpose = "saltbend stateless reset"
	PurposeAddress Purpose = "saltbend address validation"
	PurposePeer    Purpose = "saltbend peer identity"
)

// Parse reads "ID:HEX[,ID:HEX]", the current secret first. The error says
// which entry is wrong and how, never the secret itself.
func Parse(s string) (*Ring, error) {
	parts := strings.Split(strings.TrimSpace(s), ",")
	if len(parts) > MaxSecrets {
		return nil, errors.Errorf("%d secrets given, %d allowed (current, previous)", len(parts), MaxSecrets)
	}
	ring := &Ring{}
	for i, p := range parts {
		secret, err := parseSecret(p)
		if err != nil {
			return nil, errors.Wrapf(err, "secret %d", i+1)
		}
		if i > 0 && secret.ID == ring.secrets[0].ID {
			return nil, errors.Errorf("secret %d: id %d is used twice", i+1, secret.ID)
		}
		ring.secrets = append(ring.secrets, secret)
	}
	return ring, nil
}

func parseSecret(s string) (Secret, error) {
	id, hexed, found := strings.Cut(strings.TrimSpace(s), ":")
	if !found {
		return Secret{}, errors.New("want ID:HEX")
	}
	n, err := strconv.ParseUint(id, 10, 8)
	if err != nil {
		return Secret{}, errors.New("the id must be 0 to 255")
	}
	raw, err := hex.DecodeString(hexed)
	if err != nil {
		return Secret{}, errors.New("the secret must be hexadecimal")
	}
	if len(raw) < MinSecretBytes {
		return Secret{}, errors.Errorf("the secret has %d bytes, at least %d are needed", len(raw), MinSecretBytes)
	}
	return Secret{ID: uint8(n), Bytes: raw}, nil
}

// Key is a key derived for one purpose.
type Key struct {
	ID    uint8
	Bytes []byte
}

// Derive returns a key of n bytes per secret, the current one first.
func (r *Ring) Derive(purpose Purpose, n int) []Key {
	keys := make([]Key, 0, len(r.secrets))
	for _, s := range r.secrets {
		b, err := hkdf.Key(sha256.New, s.Bytes, nil, string(purpose), n)
		if err != nil {
			panic(err) // only for lengths beyond 255 hashes: a programming error
		}
		keys = append(keys, Key{ID: s.ID, Bytes: b})
	}
	return keys
}

// blockKeySize selects AES-128, in bytes.
const blockKeySize = 16

// Block is a block cipher (AES-128) under a key derived for one purpose.
type Block struct {
	cipher.Block
	ID uint8
}

// Blocks are the block ciphers of one purpose, the current secret's first.
type Blocks []Block

// Blocks returns a block cipher per secret, the current one first.
func (r *Ring) Blocks(purpose Purpose) Blocks {
	blocks := make(Blocks, 0, len(r.secrets))
	for _, k := range r.Derive(purpose, blockKeySize) {
		block, err := aes.NewCipher(k.Bytes)
		if err != nil {
			panic(err) // the key length is a constant
		}
		blocks = append(blocks, Block{ID: k.ID, Block: block})
	}
	return blocks
}

// Find returns the block cipher of the secret with the id, or nil.
func (b Blocks) Find(id uint8) *Block {
	for i := range b {
		if b[i].ID == id {
			return &b[i]
		}
	}
	return nil
}

// ErrOrder says that a ring can't follow another without a break: processes
// that still hold the other one would not accept what this one signs.
var ErrOrder = errors.New("the current secret was not accepted before; rotate in steps: old,new then new,old then new")

// MayFollow returns ErrOrder unless the ring's current secret is one that old
// accepts.
func (r *Ring) MayFollow(old *Ring) error {
	for _, s := range old.secrets {
		if s.ID == r.secrets[0].ID && hmac.Equal(s.Bytes, r.secrets[0].Bytes) {
			return nil
		}
	}
	return ErrOrder
}
