package poller_test

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"bergamotloom.example/poller"
)

const (
	idleMillis = 3_600_000
	busyMillis = 1
)

func TestTaskRunsRarelyUntilSomethingWaits(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	var runs atomic.Int64
	var isWaiting atomic.Bool
	p := poller.New(busyMillis, idleMillis)
	go p.Run(ctx, func() bool {
		runs.Add(1)
		return isWaiting.Load()
	})
	waitForRuns := func(n int64) {
		t.Helper()
		poll.WaitOn(t, func(poll.LogT) poll.Result {
			if runs.Load() < n {
				return poll.Continue("%d runs", runs.Load())
			}
			return poll.Success()
		}, poll.WithTimeout(5*time.Second), poll.WithDelay(time.Millisecond))
	}
	waitForRuns(1)
	time.Sleep(30 * time.Millisecond)
	assert.Equal(t, runs.Load(), int64(1))
	isWaiting.Store(true)
	p.Wake()
	waitForRuns(10)
}
