package settings

import (
	"os"
	"sync"

	"github.com/pkg/errors"

	"github.com/saltbend/saltbend/internal/keyring"
)

// LoadRing reads the fleet secrets from the flag or from the file.
func (c *Common) LoadRing() (*keyring.Ring, error) {
	switch {
	case c.Secrets != "" && c.SecretsFile != "":
		return nil, errors.New("both --secrets and --secrets-file are given")
	case c.SecretsFile != "":
		return readRing(c.SecretsFile)
	case c.Secrets != "":
		return keyring.Parse(string(c.Secrets))
	}
	return nil, errors.New("no fleet secret is given")
}

// secretsFlag is the flag that a finding about the secrets belongs to.
func (c *Common) secretsFlag() string {
	if c.SecretsFile != "" {
		return "secrets-file"
	}
	return "secrets"
}

func readRing(path string) (*keyring.Ring, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Wrap(err, "read secrets")
	}
	return keyring.Parse(string(text))
}

// Keys holds the key ring in force and tells its users when it changes. It is
// safe for concurrent use.
type Keys struct {
	mu    sync.Mutex
	first *keyring.Ring
	ring  *keyring.Ring
	users []func(*keyring.Ring)
}

// NewKeys returns a holder of ring.
func NewKeys(ring *keyring.Ring) *Keys {
	return &Keys{first: ring, ring: ring}
}

// Ring returns the key ring in force.
func (k *Keys) Ring() *keyring.Ring {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.ring
}

// OnChange calls use at each later change, one change at a time. Where the ring
// has changed since NewKeys, it calls use at once: a part that was started with
// the first ring must not miss a change while it started. use must not block
// and must not call Keys.
func (k *Keys) OnChange(use func(*keyring.Ring)) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.users = append(k.users, use)
	if k.ring != k.first {
		use(k.ring)
	}
}

// Set puts ring in force and tells all users.
func (k *Keys) Set(ring *keyring.Ring) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.ring = ring
	for _, use := range k.users {
		use(ring)
	}
}
