package outbnd

import (
	"net/http"
	"testing"

	"gotest.tools/v3/assert"

	"bergamotloom.example/clock"
	"bergamotloom.example/crash"
	"bergamotloom.example/output"
	"bergamotloom.example/ratio"
	"bergamotloom.example/reason"
	"bergamotloom.example/route"
	"bergamotloom.example/trip"
)

// newRequest returns a request that was offered once, with a second left, and
// an entry with repeats to spend.
func newRequest(t *testing.T, idempotent bool) (*Entry, *request) {
	t.Helper()
	c, _ := clock.NewManual(1000)
	e := &Entry{clock: c, marks: crash.New(c, "self", func(string, int64, []byte, int64) {}), repeats: make(map[string]*ratio.Ratio), share: 1}
	for range savedRepeats {
		e.budget("stock").first(false)
	}
	r, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "/", http.NoBody)
	assert.NilError(t, err)
	return e, &request{
		Request: r, due: c.Fine() + 1000, tries: 1, route: route.Route{Attempts: 2},
		trip: trip.Trip{Service: "stock", Idempotent: idempotent},
	}
}

func TestOnlyWhatMayRunTwiceIsSentAgainOnceItMayHaveRun(t *testing.T) {
	for _, idempotent := range []bool{true, false} {
		e, q := newRequest(t, idempotent)
		assert.Equal(t, e.again(q, output.Lost(reason.InstanceLost, "")), idempotent)
		e, q = newRequest(t, idempotent)
		assert.Equal(t, e.again(q, output.Output{Ran: "Once", Status: http.StatusInternalServerError}), idempotent)
		// What a target refused has not run.
		e, q = newRequest(t, idempotent)
		assert.Assert(t, e.again(q, output.Refused(reason.TargetRefused, "")))
		assert.Assert(t, q.trip.Retry)
	}
}

func TestWhatCrashedItsTargetsIsNeitherSentNorSentAgain(t *testing.T) {
	e, q := newRequest(t, true)
	q.Header.Set("Authorization", "Bearer k")
	_, ok := e.harmless(q)
	assert.Assert(t, ok)
	e.marks.ReportCrash([]string{q.trip.Fingerprint})
	_, ok = e.harmless(q)
	assert.Assert(t, ok)
	e.marks.ReportCrash([]string{q.trip.Fingerprint, "another"})
	assert.Assert(t, !e.again(q, output.Lost(reason.InstanceLost, "")))
	o, ok := e.harmless(q)
	assert.Assert(t, !ok)
	assert.Equal(t, o.Reason, reason.CrashSuspect)
	assert.Assert(t, o.RetryAfterMillis > 0)
	// Another caller's request on the same path passes, as does one with a body.
	q.Header.Set("Authorization", "Bearer l")
	_, ok = e.harmless(q)
	assert.Assert(t, ok)
	q.Header.Set("Authorization", "Bearer k")
	q.body = []byte("x")
	_, ok = e.harmless(q)
	assert.Assert(t, ok)
	// One that was answered is harmless.
	q.body = nil
	_, ok = e.harmless(q)
	assert.Assert(t, !ok)
	e.marks.ResponseReceived(q.trip.Fingerprint)
	_, ok = e.harmless(q)
	assert.Assert(t, ok)
}

func TestNoMoreTargetsThanTheRouteAllows(t *testing.T) {
	e, q := newRequest(t, true)
	assert.Assert(t, e.again(q, output.Lost(reason.InstanceLost, "")))
	assert.Assert(t, !e.again(q, output.Lost(reason.InstanceLost, "")))
}

func TestRefusalOfAGateCostsNoBudget(t *testing.T) {
	e, q := newRequest(t, false)
	before := e.repeats["stock"].Saved()
	assert.Assert(t, e.again(q, output.Refused(reason.Leaving, "")))
	assert.Assert(t, !q.trip.Retry)
	assert.Equal(t, e.repeats["stock"].Saved(), before)
	q.tries = offers
	assert.Assert(t, !e.again(q, output.Refused(reason.Leaving, "")))
}

func TestNothingIsSentAgainWithoutBudgetTimeOrCause(t *testing.T) {
	e, q := newRequest(t, true)
	e.repeats["stock"] = ratio.New(0, 0)
	assert.Assert(t, !e.again(q, output.Lost(reason.InstanceLost, "")))
	e, q = newRequest(t, true)
	q.due = e.clock.Fine() + leastMillis/2
	assert.Assert(t, !e.again(q, output.Lost(reason.InstanceLost, "")))
	e, q = newRequest(t, true)
	assert.Assert(t, !e.again(q, output.Output{Ran: "Once", Status: http.StatusOK}))
	e, q = newRequest(t, true)
	assert.Assert(t, !e.again(q, output.Lost(reason.Cancelled, "")))
}

func TestCallOfARepeatedRunIsNotRepeated(t *testing.T) {
	e, q := newRequest(t, true)
	q.trip.Retry, q.trip.Call = true, true
	assert.Assert(t, !e.again(q, output.Lost(reason.InstanceLost, "")))
}
