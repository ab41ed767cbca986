package outbnd

import (
	"log/slog"
	"net/http"
	"testing"

	"gotest.tools/v3/assert"

	"bergamotloom.example/body"
	"bergamotloom.example/clock"
	"bergamotloom.example/crash"
	"bergamotloom.example/output"
	"bergamotloom.example/ratio"
	"bergamotloom.example/reason"
	"bergamotloom.example/route"
	"bergamotloom.example/trip"
)

// newRequest returns a request that was offered once and has a second left, and
// an entry whose retry budget isn't empty.
func newRequest(t *testing.T, idempotent bool) (*Entry, *request) {
	t.Helper()
	c, _ := clock.NewManual(1000)
	e := &Entry{clock: c, suspects: crash.New(c, "self", slog.New(slog.DiscardHandler), func(string, int64, []byte, int64) {}, func(string, []byte) {}), retryBudgets: make(map[string]*ratio.Ratio), retryRatio: 1}
	for range maxSavedRetries {
		e.retryBudget("stock").countFirstAttempt(false)
	}
	r, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "/", http.NoBody)
	assert.NilError(t, err)
	return e, &request{
		Request: r, deadline: c.Fine() + 1000, offers: 1, route: route.Route{Attempts: 2},
		trip: trip.Trip{Service: "stock", Idempotent: idempotent},
	}
}

func TestRequestThatMayHaveRunIsRetriedOnlyIfIdempotent(t *testing.T) {
	for _, idempotent := range []bool{true, false} {
		e, q := newRequest(t, idempotent)
		assert.Equal(t, e.allowRetry(q, output.Lost(reason.InstanceLost, "")), idempotent)
		e, q = newRequest(t, idempotent)
		assert.Equal(t, e.allowRetry(q, output.Output{Ran: "Once", Status: http.StatusInternalServerError}), idempotent)
		// A request that a target refused hasn't run.
		e, q = newRequest(t, idempotent)
		assert.Assert(t, e.allowRetry(q, output.Refused(reason.TargetRefused, "")))
		assert.Assert(t, q.trip.Retry)
	}
}

// A request is a crash suspect after two crashes.
func TestCrashSuspectIsNeitherSentNorRetried(t *testing.T) {
	e, q := newRequest(t, true)
	q.Header.Set("Authorization", "Bearer k")
	_, ok := e.checkCrashSuspect(q)
	assert.Assert(t, ok)
	e.suspects.ReportCrash([]string{q.trip.Fingerprint})
	_, ok = e.checkCrashSuspect(q)
	assert.Assert(t, ok)
	e.suspects.ReportCrash([]string{q.trip.Fingerprint, "other-fingerprint"})
	assert.Assert(t, !e.allowRetry(q, output.Lost(reason.InstanceLost, "")))
	o, ok := e.checkCrashSuspect(q)
	assert.Assert(t, !ok)
	assert.Equal(t, o.Reason, reason.CrashSuspect)
	assert.Assert(t, o.RetryAfterMillis > 0)
	// A request on the same path with another key or another body has another
	// fingerprint and passes.
	q.Header.Set("Authorization", "Bearer l")
	_, ok = e.checkCrashSuspect(q)
	assert.Assert(t, ok)
	q.Header.Set("Authorization", "Bearer k")
	q.body = body.Body{Start: []byte("x"), Length: 1}
	_, ok = e.checkCrashSuspect(q)
	assert.Assert(t, ok)
	// A response from a target clears the suspicion.
	q.body = body.Body{}
	_, ok = e.checkCrashSuspect(q)
	assert.Assert(t, !ok)
	e.suspects.ResponseReceived(q.trip.Fingerprint)
	_, ok = e.checkCrashSuspect(q)
	assert.Assert(t, ok)
}

func TestAttemptsAreBoundedByTheRoute(t *testing.T) {
	e, q := newRequest(t, true)
	assert.Assert(t, e.allowRetry(q, output.Lost(reason.InstanceLost, "")))
	assert.Assert(t, !e.allowRetry(q, output.Lost(reason.InstanceLost, "")))
}

func TestRefusalByAGateIsNotChargedToTheRetryBudget(t *testing.T) {
	e, q := newRequest(t, false)
	before := e.retryBudgets["stock"].Balance()
	assert.Assert(t, e.allowRetry(q, output.Refused(reason.Leaving, "")))
	assert.Assert(t, !q.trip.Retry)
	assert.Equal(t, e.retryBudgets["stock"].Balance(), before)
	q.offers = maxOffers
	assert.Assert(t, !e.allowRetry(q, output.Refused(reason.Leaving, "")))
}

func TestNoRetryWithoutBudgetTimeOrFailure(t *testing.T) {
	e, q := newRequest(t, true)
	e.retryBudgets["stock"] = ratio.New(0, 0)
	assert.Assert(t, !e.allowRetry(q, output.Lost(reason.InstanceLost, "")))
	e, q = newRequest(t, true)
	q.deadline = e.clock.Fine() + minRemainingMillis/2
	assert.Assert(t, !e.allowRetry(q, output.Lost(reason.InstanceLost, "")))
	e, q = newRequest(t, true)
	assert.Assert(t, !e.allowRetry(q, output.Output{Ran: "Once", Status: http.StatusOK}))
	e, q = newRequest(t, true)
	assert.Assert(t, !e.allowRetry(q, output.Lost(reason.Cancelled, "")))
}

func TestCallOfARetriedRunIsNotRetried(t *testing.T) {
	e, q := newRequest(t, true)
	q.trip.Retry, q.trip.Call = true, true
	assert.Assert(t, !e.allowRetry(q, output.Lost(reason.InstanceLost, "")))
}
