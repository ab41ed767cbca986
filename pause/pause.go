// Package pause waits without outliving what it waits for.
package pause

import (
	"context"
	"time"
)

// For waits for a duration, and returns false if ctx ended first.
func For(ctx context.Context, wait time.Duration) bool {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}
