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
		// deadlineMillis is the latest deadline that it may get, neededMillis the
		// earliest one.
		deadlineMillis, neededMillis float64
		refused                      bool
	}{
		{"not stopping", 0, 300, false, timeoutMillis, timeoutMillis, false},
		{"its time is over before the exit", timeoutMillis + exitMarginMillis, 300, false, timeoutMillis, timeoutMillis, false},
		{"its objective can be met", 300 + exitMarginMillis, 300, false, 300, 300, false},
		{"its objective can be met easily", 900 + exitMarginMillis, 300, false, 900, 900 - exitSpreadMillis, false},
		{"its objective can't be met", 299 + exitMarginMillis, 300, false, 0, 0, true},
		{"without an objective", timeoutMillis + exitMarginMillis - 1, timeoutMillis, false, 0, 0, true},
		{"at the exit", 1, 300, false, 0, 0, true},
		// A target can't send its calls to another node.
		{"a call", 100 + exitMarginMillis, 300, true, 100, minRemainingMillis, false},
		{"a call at the exit", minRemainingMillis + exitMarginMillis - 1, 300, true, 0, 0, true},
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
		assert.Equal(t, q.deadline, q.startedAt+q.trip.LeftMillis, c.name)
		assert.Assert(t, q.trip.LeftMillis <= c.deadlineMillis, c.name)
		assert.Assert(t, q.trip.LeftMillis >= min(c.deadlineMillis, c.neededMillis), c.name)
	}
}
