package seed

import (
	"math/rand/v2"
	"time"
)

// Backoff spaces retries: each wait doubles and is jittered over its upper
// half, so that processes that failed together do not retry together.
type Backoff struct {
	Least, Most time.Duration
	failures    int
}

// Next returns the wait before the next try.
func (b *Backoff) Next(random *rand.Rand) time.Duration {
	wait := b.Least
	for range b.failures {
		wait = min(2*wait, b.Most)
	}
	if wait < b.Most {
		b.failures++
	}
	return wait/2 + time.Duration(random.Int64N(int64(wait/2)+1))
}

// Reset forgets the failures.
func (b *Backoff) Reset() { b.failures = 0 }

// jitter returns a duration within a fifth of d.
func jitter(random *rand.Rand, d time.Duration) time.Duration {
	return d - d/5 + time.Duration(random.Int64N(int64(2*d/5)+1))
}
