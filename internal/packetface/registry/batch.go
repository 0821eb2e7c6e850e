package registry

import (
	"time"

	"github.com/saltbend/saltbend/platform"
)

// Agents send the writes of their entries to a balancer, which combines many of them into
// one call of the store.
//
// When a fleet starts for the first time, or when the store has lost the entries of a part
// of the fleet, hundreds of agents write within a few seconds. A single entry is written at
// once; writes that arrive within batchInterval of the last call are sent together.

// batchInterval is the minimum time between the starts of two calls. It allows ten calls
// within the two seconds in which lost entries must be listed again.
const batchInterval = 200 * time.Millisecond

// batch collects writes of agents until the next call. It makes no calls itself; T
// identifies the request that waits for the outcome of a write.
type batch[T any] struct {
	waiting []pending[T]
	// busy is set while a call is running.
	busy bool
	// lastCall is the time at which the last call began, 0 if there was no call yet.
	lastCall time.Duration
}

// pending is a write and the request that waits for its outcome.
type pending[T any] struct {
	write  platform.Write
	waiter T
}

// add queues a write for the next call.
func (b *batch[T]) add(p pending[T]) { b.waiting = append(b.waiting, p) }

// due returns the time until the next call. ok is false if a call is running or no write
// is queued.
func (b *batch[T]) due(now time.Duration) (wait time.Duration, ok bool) {
	if b.busy || len(b.waiting) == 0 {
		return 0, false
	}
	if b.lastCall == 0 || len(b.waiting) >= platform.MaxWrites {
		return 0, true
	}
	return max(0, b.lastCall+batchInterval-now), true
}

// take removes the writes of the next call from the queue and marks the call as running.
// It selects at most one write for each key, because the store refuses a call with two
// writes for a key.
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

// done records that the running call has ended.
func (b *batch[T]) done() { b.busy = false }
