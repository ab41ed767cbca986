// Package beat drives clockwork often while something waits for it, and rarely
// otherwise, because each wake-up of an idle process costs processor time.
package beat

import (
	"context"
	"time"
)

// Beat calls a piece of work at one of two intervals. Make it with New, start
// it with Run, and tell it by Wake when something begins to wait.
type Beat struct {
	busyMillis int64
	idleMillis int64
	wake       chan struct{}
}

// New returns a beat with the interval while something waits, and the one
// while nothing does, both in milliseconds.
func New(busyMillis, idleMillis int64) *Beat {
	return &Beat{busyMillis: busyMillis, idleMillis: idleMillis, wake: make(chan struct{}, 1)}
}

// Wake has the work done at the busy interval from now on. It never waits.
func (b *Beat) Wake() {
	select {
	case b.wake <- struct{}{}:
	default:
	}
}

// Run does the work until the context ends. The work tells whether something
// still waits.
func (b *Beat) Run(ctx context.Context, work func() bool) {
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
		if work() {
			millis = b.busyMillis
		}
		timer.Reset(time.Duration(millis) * time.Millisecond)
	}
}
