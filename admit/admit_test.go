package admit_test

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"bergamotloom.example/admit"
	"bergamotloom.example/clock"
	"bergamotloom.example/envel"
	"bergamotloom.example/reason"
)

// A request whose time runs out in the queue is refused as if its caller had gone,
// so that the entry sends the caller nothing but an empty response.
func TestTimeThatRunsOutInTheQueueIsTakenForACancel(t *testing.T) {
	a := admit.New(clock.New(), 0, false)
	a.SetTarget(1)
	waiting := envel.Envelope{TimeoutMillis: 10_000}
	end, _, admitted := a.Admit(t.Context(), waiting)
	assert.Assert(t, admitted)
	defer end(true, 0)

	late, stopLate := context.WithTimeout(t.Context(), 30*time.Millisecond)
	defer stopLate()
	_, refusal, admitted := a.Admit(late, waiting)
	assert.Assert(t, !admitted)
	assert.Equal(t, refusal.Reason, reason.DeadlineExceeded)

	gone, leave := context.WithCancel(t.Context())
	time.AfterFunc(30*time.Millisecond, leave)
	_, refusal, admitted = a.Admit(gone, waiting)
	assert.Assert(t, !admitted)
	assert.Equal(t, refusal.Reason, reason.Cancelled)
}
