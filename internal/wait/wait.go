// Package wait lets a goroutine wait for a time that can be cut short.
package wait

import (
	"context"
	"time"
)

// For waits for d. It returns the error of ctx as soon as ctx ends before.
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
