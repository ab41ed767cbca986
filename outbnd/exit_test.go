package outbnd

import (
	"testing"

	"gotest.tools/v3/assert"

	"bergamotloom.example/reason"
	"bergamotloom.example/runst"
)

func TestStoppingNodeRefusesRequestsWithALaterDeadline(t *testing.T) {
	e, q := newRequest(t, false)
	q.startedAt = e.clock.Fine()
	_, ok := e.checkExit(q)
	assert.Assert(t, ok)
	e.SetExitTime(e.clock.Now() + 1000)
	_, ok = e.checkExit(q)
	assert.Assert(t, ok)
	// The request has a second left, and the node exits before.
	e.SetExitTime(e.clock.Now() + 900)
	o, ok := e.checkExit(q)
	assert.Assert(t, !ok)
	assert.Equal(t, o.Reason, reason.Leaving)
	assert.Equal(t, o.Ran, runst.Never)
	// A target can't send its calls to another node.
	q.trip.Call = true
	_, ok = e.checkExit(q)
	assert.Assert(t, ok)
	assert.Equal(t, q.deadline, q.startedAt+900)
	assert.Equal(t, q.trip.LeftMillis, 900.0)
	e.SetExitTime(e.clock.Now() + minRemainingMillis - 1)
	_, ok = e.checkExit(q)
	assert.Assert(t, !ok)
}
