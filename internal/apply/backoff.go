package apply

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/saltbend/saltbend/internal/wait"
)

// Backoff returns a function for Env.Pause. The delay doubles from first up to limit, and a
// random duration between half and all of the delay is used, so that operators whose writes
// failed at the same time don't retry at the same time.
func Backoff(first, limit time.Duration) func(context.Context, int) error {
	return func(ctx context.Context, n int) error {
		d := first
		for range n - 1 {
			d = min(2*d, limit)
		}
		d = d/2 + rand.N(d/2+1)
		return wait.For(ctx, d)
	}
}
