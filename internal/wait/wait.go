// Package wait provides a sleep that ends early when a context ends.
package wait

import (
	"context"
	"time"
)

// For waits for the duration d and returns nil. If ctx ends first, it returns the error of
// ctx at once.
func For(ctx context.Context, d time.Duration) error {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
