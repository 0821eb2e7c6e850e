// Package store defines the interface to the platform's key-value service: reads,
// compare-and-swap, leases and watches. Each call counts against the platform's rate limits;
// a watch counts as one call however long it waits.
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
	// ErrConflict means that the key didn't have the expected revision: the write had no
	// effect.
	ErrConflict = errors.New("store: conflict")
	// ErrUnavailable means that the store could not be reached, or refused the call: the
	// call had no effect.
	ErrUnavailable = errors.New("store: unavailable")
	// ErrOutcomeUnknown means that the response to a write was lost: the write may have
	// taken effect.
	ErrOutcomeUnknown = errors.New("store: outcome unknown")
	// ErrNotFound means that the key does not exist.
	ErrNotFound = errors.New("store: not found")
	// ErrTooLarge means that the value exceeds MaxValueBytes.
	ErrTooLarge = errors.New("store: value too large")
)

// Entry is a key with its value and revision. Revisions increase across all keys of the
// store.
type Entry struct {
	Key      string
	Value    []byte
	Revision uint64
}

// Create is the expected revision for Swap if the key must not exist yet.
const Create = 0

// Store is the platform's key-value service.
type Store interface {
	// Get reads a key.
	Get(ctx context.Context, key string) (Entry, error)
	// List reads all entries whose key has the prefix, in one call.
	List(ctx context.Context, prefix string) ([]Entry, error)
	// Swap writes value if the key still has the expected revision. With a lease above zero,
	// the store deletes the key unless it is written again before the lease expires.
	Swap(ctx context.Context, key string, value []byte, expected uint64, lease time.Duration) (Entry, error)
	// Delete deletes the key if it still has the expected revision.
	Delete(ctx context.Context, key string, expected uint64) error
	// Watch waits until the key has a revision greater than the argument after, or until ctx ends.
	Watch(ctx context.Context, key string, after uint64) (Entry, error)
}
