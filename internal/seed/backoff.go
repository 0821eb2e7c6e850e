package seed

import (
	"math/rand/v2"
	"time"
)

// Backoff computes the delays between retries. Each delay is twice the previous
// one, from Min up to Max, and is randomised over its upper half, so that
// processes that failed together do not retry together.
type Backoff struct {
	Min, Max time.Duration
	failures int
}

// Next returns the delay before the next attempt.
func (b *Backoff) Next(random *rand.Rand) time.Duration {
	wait := b.Min
	for range b.failures {
		wait = min(2*wait, b.Max)
	}
	if wait < b.Max {
		b.failures++
	}
	return wait/2 + time.Duration(random.Int64N(int64(wait/2)+1))
}

// Reset makes the next delay start from Min again.
func (b *Backoff) Reset() { b.failures = 0 }

// jitter returns a random duration, uniformly distributed between d-d/5 and
// d+d/5.
func jitter(random *rand.Rand, d time.Duration) time.Duration {
	return d - d/5 + time.Duration(random.Int64N(int64(2*d/5)+1))
}
