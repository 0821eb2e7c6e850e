package registry

import (
	"time"

	"github.com/saltbend/saltbend/platform"
)

// Agents write their entries by way of a balancer, which makes one call of the store for
// many of them.
//
// The load it is made for: at the first start of a fleet, or when the store has taken away
// the entries of a part of it, hundreds of agents write within a few seconds. An entry
// that comes alone is written at once; those that follow within batchEvery are written
// together.

// batchInterval is the least time between two calls: ten in the two seconds in which
// entries that were lost are to be back.
const batchInterval = 200 * time.Millisecond

// batch collects writes of others. It is pure: T is whoever waits for the outcome.
type batch[T any] struct {
	waiting []pending[T]
	// busy tells that a call is under way, sent is when the last one began, 0 for never.
	busy bool
	lastCall time.Duration
}

// pending is a write with whoever waits for its outcome.
type pending[T any] struct {
	write platform.Write
	waiter  T
}

// add takes in a write.
func (b *batch[T]) add(p pending[T]) { b.waiting = append(b.waiting, p) }

// due returns the time until the next call; ok is false where none is to be made.
func (b *batch[T]) due(now time.Duration) (wait time.Duration, ok bool) {
	if b.busy || len(b.waiting) == 0 {
		return 0, false
	}
	if b.lastCall == 0 || len(b.waiting) >= platform.MaxWrites {
		return 0, true
	}
	return max(0, b.lastCall+batchInterval-now), true
}

// take returns the writes of the next call. Two of one key don't go together: the store
// refuses such a call whole.
func (b *batch[T]) take(now time.Duration) (selected []pending[T]) {
	b.busy, b.lastCall = true, now
	keys := make(map[string]bool)
	var left []pending[T]
	for _, p := range b.waiting {
		if len(selected) == platform.MaxWrites || keys[p.write.Key] {
			left = append(left, p)
			continue
		}
		keys[p.write.Key] = true
		selected = append(selected, p)
	}
	b.waiting = left
	return selected
}

// done notes that the call has ended.
func (b *batch[T]) done() { b.busy = false }
