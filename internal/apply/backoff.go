package apply

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/saltbend/saltbend/internal/wait"
)

// Backoff returns a pause for Env that doubles from first to limit and takes a
// random share between half and all of it, so that operators who lost an
// answer together do not return together.
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
