// Package pause waits for a duration or the end of a context.
package pause

import (
	"context"
	"time"
)

// For waits for a duration and returns false if ctx ended first. It doesn't
// wait if the duration isn't positive.
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
