// Package keyring derives the keys of all processes of a fleet from shared secrets.
// The current secret is used for signing; the previous secret, if there is one, is
// still accepted while a rotation is in progress.
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

// MinSecretBytes is the minimum length of a shared secret in bytes.
const MinSecretBytes = 16

// MaxSecrets is the maximum number of secrets in a ring: the current one and the
// previous one.
const MaxSecrets = 2

// Secret is a shared secret with its ID. Values signed with the secret contain the
// ID, so that a receiver can choose the secret to verify them with.
type Secret struct {
	ID    uint8
	Bytes []byte
}

// Ring holds the current secret and, if there is one, the previous secret, in this
// order. It is immutable.
type Ring struct {
	secrets []Secret
}

// Purpose identifies the use of a derived key. Each purpose has its own keys, so a
// value that was signed for one purpose is not accepted for another.
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

// Parse parses "ID:HEX[,ID:HEX]", the current secret first. Its errors name the
// invalid entry and the reason, but never contain the secret.
func Parse(s string) (*Ring, error) {
	parts := strings.Split(strings.TrimSpace(s), ",")
	if len(parts) > MaxSecrets {
		return nil, errors.Errorf("%d secrets given, at most %d allowed (current, previous)", len(parts), MaxSecrets)
	}
	ring := &Ring{}
	for i, p := range parts {
		secret, err := parseSecret(p)
		if err != nil {
			return nil, errors.Wrapf(err, "secret %d", i+1)
		}
		if i > 0 && secret.ID == ring.secrets[0].ID {
			return nil, errors.Errorf("secret %d: id %d is already used by another secret", i+1, secret.ID)
		}
		ring.secrets = append(ring.secrets, secret)
	}
	return ring, nil
}

func parseSecret(s string) (Secret, error) {
	id, hexText, found := strings.Cut(strings.TrimSpace(s), ":")
	if !found {
		return Secret{}, errors.New("the format must be ID:HEX")
	}
	n, err := strconv.ParseUint(id, 10, 8)
	if err != nil {
		return Secret{}, errors.New("the id must be a number from 0 to 255")
	}
	raw, err := hex.DecodeString(hexText)
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

// Derive returns one key of n bytes per secret, that of the current secret first.
func (r *Ring) Derive(purpose Purpose, n int) []Key {
	keys := make([]Key, 0, len(r.secrets))
	for _, s := range r.secrets {
		b, err := hkdf.Key(sha256.New, s.Bytes, nil, string(purpose), n)
		if err != nil {
			panic(err) // HKDF only fails for keys longer than 255 hashes: a programming error
		}
		keys = append(keys, Key{ID: s.ID, Bytes: b})
	}
	return keys
}

// blockKeySize is the key size in bytes of AES-128.
const blockKeySize = 16

// Block is a block cipher (AES-128) with a key derived for one purpose.
type Block struct {
	cipher.Block
	ID uint8
}

// Blocks holds one block cipher per secret for one purpose, that of the current
// secret first.
type Blocks []Block

// Blocks returns one block cipher per secret, that of the current secret first.
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

// Find returns the block cipher of the secret with the id, or nil if there is no
// such secret.
func (b Blocks) Find(id uint8) *Block {
	for i := range b {
		if b[i].ID == id {
			return &b[i]
		}
	}
	return nil
}

// ErrRotationOrder means that a ring can't replace another one without an interruption:
// processes that still use the old ring would reject values signed with the new
// ring.
var ErrRotationOrder = errors.New("the current secret was not accepted before; rotate in steps: old,new then new,old then new")

// CheckSuccessorOf checks whether the ring can replace old. It returns
// ErrRotationOrder unless the ring's current secret is one that old accepts.
func (r *Ring) CheckSuccessorOf(old *Ring) error {
	for _, s := range old.secrets {
		if s.ID == r.secrets[0].ID && hmac.Equal(s.Bytes, r.secrets[0].Bytes) {
			return nil
		}
	}
	return ErrRotationOrder
}
