package outbnd

import (
	"testing"

	"gotest.tools/v3/assert"

	"bergamotloom.example/reason"
	"bergamotloom.example/runst"
)

func TestStoppingNodeAcceptsRequestsThatCanEndBeforeItsExit(t *testing.T) {
	const timeoutMillis = 1000
	for _, c := range []struct {
		name            string
		exitMillis      int64
		objectiveMillis float64
		call            bool
		deadlineMillis  float64
		refused         bool
	}{
		{"not stopping", 0, 300, false, timeoutMillis, false},
		{"its time is over before the exit", timeoutMillis + exitMarginMillis, 300, false, timeoutMillis, false},
		{"its objective can be met", 300 + exitMarginMillis, 300, false, 300, false},
		{"its objective can't be met", 299 + exitMarginMillis, 300, false, 0, true},
		{"without an objective", timeoutMillis + exitMarginMillis - 1, timeoutMillis, false, 0, true},
		{"at the exit", 1, 300, false, 0, true},
		// A target can't send its calls to another node.
		{"a call", 100 + exitMarginMillis, 300, true, 100, false},
		{"a call at the exit", minRemainingMillis + exitMarginMillis - 1, 300, true, 0, true},
	} {
		e, q := newRequest(t, false)
		q.startedAt = e.clock.Fine()
		q.trip.LeftMillis, q.trip.ObjectiveMillis, q.trip.Call = timeoutMillis, c.objectiveMillis, c.call
		if c.exitMillis != 0 {
			e.SetExitTime(e.clock.Now() + c.exitMillis)
		}
		o, ok := e.checkExit(q)
		assert.Equal(t, ok, !c.refused, c.name)
		if c.refused {
			assert.Equal(t, o.Reason, reason.Leaving, c.name)
			assert.Equal(t, o.Ran, runst.Never, c.name)
			continue
		}
		assert.Equal(t, q.deadline, q.startedAt+c.deadlineMillis, c.name)
		assert.Equal(t, q.trip.LeftMillis, c.deadlineMillis, c.name)
	}
}
