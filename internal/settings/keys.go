package settings

import (
	"os"
	"sync"

	"github.com/pkg/errors"

	"github.com/saltbend/saltbend/internal/keyring"
)

// LoadRing returns the key ring of the fleet secrets in the flag or in the file.
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

// secretsFlag returns the flag that a finding about the secrets refers to.
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

// Keys holds the current key ring and calls the registered callbacks when it changes. It is
// safe for concurrent use.
type Keys struct {
	mu        sync.Mutex
	initial   *keyring.Ring
	ring      *keyring.Ring
	callbacks []func(*keyring.Ring)
}

// NewKeys returns Keys with ring as the current key ring.
func NewKeys(ring *keyring.Ring) *Keys {
	return &Keys{initial: ring, ring: ring}
}

// Ring returns the current key ring.
func (k *Keys) Ring() *keyring.Ring {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.ring
}

// OnChange registers callback, which is called at each later change, one change at a time.
// If the ring has changed since NewKeys, callback is also called at once, so that a component
// that was created with the initial ring doesn't miss a change during its start. callback
// must not block and must not call methods of Keys.
func (k *Keys) OnChange(callback func(*keyring.Ring)) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.callbacks = append(k.callbacks, callback)
	if k.ring != k.initial {
		callback(k.ring)
	}
}

// Set replaces the key ring and calls all callbacks.
func (k *Keys) Set(ring *keyring.Ring) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.ring = ring
	for _, callback := range k.callbacks {
		callback(ring)
	}
}
