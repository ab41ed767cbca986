package clock_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"bergamotloom.example/clock"
)

func TestManualClockMovesOnlyByAdvance(t *testing.T) {
	c, advance := clock.NewManual(100)
	assert.Equal(t, c.Now(), int64(100))
	advance(2.5)
	assert.Equal(t, c.Now(), int64(102))
	assert.Equal(t, c.Fine(), 102.5)
	assert.Equal(t, c.Since(100), int64(2))
}

func TestProcessClockNeverRunsBackwards(t *testing.T) {
	c := clock.New()
	last := c.Fine()
	for range 1000 {
		now := c.Fine()
		assert.Assert(t, now >= last)
		last = now
	}
}
