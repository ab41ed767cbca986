// Package beat runs a periodic task often while something waits for it, and
// rarely otherwise, because each wake-up of an idle process costs CPU time.
package beat

import (
	"context"
	"time"
)

// Beat runs a task at one of two intervals. Create it with New, start it with
// Run, and call Wake when something begins to wait.
type Beat struct {
	busyMillis int64
	idleMillis int64
	wake       chan struct{}
}

// New returns a beat with the interval while something waits and the interval
// while nothing does, both in milliseconds.
func New(busyMillis, idleMillis int64) *Beat {
	return &Beat{busyMillis: busyMillis, idleMillis: idleMillis, wake: make(chan struct{}, 1)}
}

// Wake switches to the busy interval, until the task reports that nothing waits.
// It doesn't block.
func (b *Beat) Wake() {
	select {
	case b.wake <- struct{}{}:
	default:
	}
}

// Run runs the task periodically until the context ends. The task returns
// whether something still waits.
func (b *Beat) Run(ctx context.Context, task func() bool) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-b.wake:
			timer.Reset(time.Duration(b.busyMillis) * time.Millisecond)
			continue
		case <-timer.C:
		}
		millis := b.idleMillis
		if task() {
			millis = b.busyMillis
		}
		timer.Reset(time.Duration(millis) * time.Millisecond)
	}
}
