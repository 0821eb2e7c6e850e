// Package store is the narrow interface to the platform's key-value service:
// compare-and-swap, leases and watches. Each call counts against the
// platform's rates, a waiting watch as one.
package store

import (
	"context"
	"time"

	"github.com/pkg/errors"
)

// MaxValueBytes is the platform's limit on one value.
const MaxValueBytes = 1 << 20

// Errors of Store's methods.
var (
	// ErrConflict says that the key's revision was not the expected one: the
	// write had no effect.
	ErrConflict = errors.New("store: conflict")
	// ErrUnavailable says that the call had no effect: the store was not reached.
	ErrUnavailable = errors.New("store: unavailable")
	// ErrOutcomeUnknown says that a write may have taken effect: its answer
	// was lost.
	ErrOutcomeUnknown = errors.New("store: outcome unknown")
	// ErrNotFound says that the key does not exist.
	ErrNotFound = errors.New("store: not found")
	// ErrTooLarge says that the value exceeds MaxValueBytes.
	ErrTooLarge = errors.New("store: value too large")
)

// Entry is a value with its revision. Revisions rise over the whole store.
type Entry struct {
	Key      string
	Value    []byte
	Revision uint64
}

// Create is the expected revision of a key that must not exist yet.
const Create = 0

// Store is the platform's key-value service.
type Store interface {
	// Get reads a key.
	Get(ctx context.Context, key string) (Entry, error)
	// List reads all keys with a prefix in one call.
	List(ctx context.Context, prefix string) ([]Entry, error)
	// Swap writes value if the key's revision is still expected. With a lease
	// above zero the key vanishes when it is not written again within it.
	Swap(ctx context.Context, key string, value []byte, expected uint64, lease time.Duration) (Entry, error)
	// Delete removes the key if its revision is still expected.
	Delete(ctx context.Context, key string, expected uint64) error
	// Watch waits until the key's revision exceeds after, or ctx ends.
	Watch(ctx context.Context, key string, after uint64) (Entry, error)
}
