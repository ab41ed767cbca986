// Package pause waits without outliving what it waits for.
package pause

import (
	"context"
	"time"
)

// For waits for a duration, and returns false if ctx ended first. A duration
// that isn't positive is over at once.
func For(ctx context.Context, wait time.Duration) bool {
	if wait <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}
