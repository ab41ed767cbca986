// Package poller runs a periodic task often while something waits for it, and
// rarely otherwise, because each wake-up of an idle process costs CPU time.
package poller

import (
	"context"
	"time"
)

// Poller runs a task at one of two intervals. Create it with New, start it with
// Run, and call Wake when something begins to wait.
type Poller struct {
	busyMillis int64
	idleMillis int64
	wake       chan struct{}
}

// New returns a poller with the interval while something waits and the interval
// while nothing does, both in milliseconds.
func New(busyMillis, idleMillis int64) *Poller {
	return &Poller{busyMillis: busyMillis, idleMillis: idleMillis, wake: make(chan struct{}, 1)}
}

// Wake switches to the busy interval, until the task reports that nothing waits.
// It doesn't block.
func (p *Poller) Wake() {
	select {
	case p.wake <- struct{}{}:
	default:
	}
}

// Run runs the task periodically until the context ends. The task returns
// whether something still waits.
func (p *Poller) Run(ctx context.Context, task func() bool) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-p.wake:
			timer.Reset(time.Duration(p.busyMillis) * time.Millisecond)
			continue
		case <-timer.C:
		}
		millis := p.idleMillis
		if task() {
			millis = p.busyMillis
		}
		timer.Reset(time.Duration(millis) * time.Millisecond)
	}
}
