package alive_test

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"bergamotloom.example/alive"
	"bergamotloom.example/clock"
	"bergamotloom.example/notice"
)

func heartbeat(sequence int64) notice.Notice {
	return notice.Notice{Target: "i-1", BornMillis: 500, Sequence: sequence}
}

// Late heartbeats of a target that has left are taken for proof that it hasn't.
func TestLateHeartbeatsAreProof(t *testing.T) {
	c, advance := clock.NewManual(1000)
	a := alive.New(c)
	advance(800)
	a.Learn(heartbeat(7))
	assert.Assert(t, !a.Proven(heartbeat(7)))
	// The same one again, an older one, and the next one.
	advance(1500)
	for _, sequence := range []int64{7, 6, 8} {
		a.Learn(heartbeat(sequence))
	}
	assert.Assert(t, !a.Proven(heartbeat(8)))
	// A heartbeat that was kept proves no more as time goes by.
	advance(60_000)
	assert.Assert(t, !a.Proven(heartbeat(8)))
}

// A target that stays needs more than its heartbeats, or than one that can't be late.
func TestTargetThatStaysIsNotProven(t *testing.T) {
	for _, c := range []struct {
		name  string
		steps []float64
	}{
		{"heartbeats that go on", []float64{500, 1500, 1500}},
		{"one after the longest delay", []float64{10_000}},
	} {
		t.Run(c.name, func(t *testing.T) {
			now, advance := clock.NewManual(1000)
			a := alive.New(now)
			for i, millis := range c.steps {
				assert.Assert(t, !a.Proven(heartbeat(int64(i))))
				advance(millis)
				a.Learn(heartbeat(int64(i + 1)))
			}
			assert.Assert(t, a.Proven(heartbeat(int64(len(c.steps)))))
		})
	}
}

// What a target answers counts for another incarnation, or not for its own.
func TestAnswerCountsForAnotherIncarnation(t *testing.T) {
	c, advance := clock.NewManual(1000)
	a := alive.New(c)
	later := notice.Notice{Target: "i-1", BornMillis: 900, Sequence: 1}
	a.SetReady(heartbeat(1), true)
	a.Learn(heartbeat(1))
	assert.Assert(t, !a.Proven(heartbeat(1)))
	a.SetReady(heartbeat(1), true)
	assert.Assert(t, a.Proven(heartbeat(1)))
	a.Learn(later)
	assert.Assert(t, !a.Proven(later))
	// Heartbeats don't outweigh the answer that it isn't ready, unless they can't be late.
	a.SetReady(later, false)
	advance(3000)
	later.Sequence = 2
	a.Learn(later)
	assert.Assert(t, !a.Proven(later))
	a.SetReady(later, true)
	assert.Assert(t, a.Proven(later))
}

// Heartbeats of other senders, with any start times, hide those of the target, or take memory
// without bound.
func TestOtherSendersHideTheTarget(t *testing.T) {
	c, advance := clock.NewManual(1000)
	a := alive.New(c)
	a.Learn(heartbeat(1))
	for i := range 300 {
		advance(10)
		a.Learn(notice.Notice{Target: fmt.Sprintf("other-%d", i%2), BornMillis: 1 << 40, Sequence: int64(i)})
	}
	a.Learn(heartbeat(2))
	assert.Assert(t, a.Proven(heartbeat(2)))
	for i := range 20 {
		advance(1)
		a.Learn(notice.Notice{Target: fmt.Sprintf("another-%d", i)})
	}
	assert.Assert(t, !a.Proven(heartbeat(2)))
	a.Learn(heartbeat(3))
	a.SetReady(heartbeat(3), true)
	assert.Assert(t, a.Proven(heartbeat(3)))
}
