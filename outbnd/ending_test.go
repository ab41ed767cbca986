package outbnd

import (
	"testing"

	"gotest.tools/v3/assert"

	"bergamotloom.example/reason"
	"bergamotloom.example/runst"
)

func TestStoppingNodeTakesOnlyWhatItHasTimeFor(t *testing.T) {
	e, q := newRequest(t, false)
	q.began = e.clock.Fine()
	_, ok := e.inTime(q)
	assert.Assert(t, ok)
	e.EndAt(e.clock.Now() + 1000)
	_, ok = e.inTime(q)
	assert.Assert(t, ok)
	// The request has a second left, and the node ends before.
	e.EndAt(e.clock.Now() + 900)
	o, ok := e.inTime(q)
	assert.Assert(t, !ok)
	assert.Equal(t, o.Reason, reason.Leaving)
	assert.Equal(t, o.Ran, runst.Never)
	// A call of the target has nowhere else to go.
	q.trip.Call = true
	_, ok = e.inTime(q)
	assert.Assert(t, ok)
	assert.Equal(t, q.due, q.began+900)
	assert.Equal(t, q.trip.LeftMillis, 900.0)
	e.EndAt(e.clock.Now() + leastMillis - 1)
	_, ok = e.inTime(q)
	assert.Assert(t, !ok)
}
