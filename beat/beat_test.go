package beat_test

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"bergamotloom.example/beat"
)

const (
	never = 3_600_000
	often = 1
)

func TestBeatIsRareUntilSomethingWaits(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	var beats atomic.Int64
	var waits atomic.Bool
	b := beat.New(often, never)
	go b.Run(ctx, func() bool {
		beats.Add(1)
		return waits.Load()
	})
	atLeast := func(n int64) {
		t.Helper()
		poll.WaitOn(t, func(poll.LogT) poll.Result {
			if beats.Load() < n {
				return poll.Continue("%d beats", beats.Load())
			}
			return poll.Success()
		}, poll.WithTimeout(5*time.Second), poll.WithDelay(time.Millisecond))
	}
	atLeast(1)
	time.Sleep(30 * time.Millisecond)
	assert.Equal(t, beats.Load(), int64(1))
	waits.Store(true)
	b.Wake()
	atLeast(10)
}
