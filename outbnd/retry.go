package outbnd

import (
	"sync"

	"bergamotloom.example/output"
	"bergamotloom.example/ratio"
	"bergamotloom.example/reason"
	"bergamotloom.example/runst"
)

// retryBudget bounds the retries of one service's requests at this node.
type retryBudget struct {
	mutex *sync.Mutex
	ratio *ratio.Ratio
}

func (e *Entry) retryBudget(service string) retryBudget {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	r, ok := e.retryBudgets[service]
	if !ok {
		r = ratio.New(e.retryRatio, maxSavedRetries)
		e.retryBudgets[service] = r
	}
	return retryBudget{&e.mutex, r}
}

// countFirstAttempt counts the first attempt of a request. A child call of a
// retried run counts as a retry at the called service, so it's charged to that service's
// budget.
func (b retryBudget) countFirstAttempt(retried bool) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.ratio.Earn()
	if retried {
		b.ratio.Charge()
	}
}

// spend takes one retry out of the budget if it holds at least minSaved, and
// reports whether it did.
func (b retryBudget) spend(minSaved float64) bool {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return b.ratio.Balance() >= minSaved && b.ratio.Spend()
}

// allowRetry reports whether to offer the request to another instance, and
// charges the retry budget if that is a retry.
func (e *Entry) allowRetry(q *request, o output.Output) bool {
	remaining := q.deadline - e.clock.Fine()
	if q.body.WriteRest != nil || remaining < minRemainingMillis || q.Context().Err() != nil {
		return false
	}
	if o.Ran == runst.Never && o.Reason != reason.TargetRefused {
		// The request didn't reach a target, so offering it to another instance
		// isn't charged to the retry budget.
		return q.offers < maxOffers && (o.Reason == reason.NoInstance || o.Reason == reason.Leaving || o.Reason == reason.Evacuated || o.Reason == reason.Overloaded)
	}
	q.attempts++
	if _, refused := e.suspects.Refuses(q.trip.Fingerprint); refused {
		return false
	}
	if q.trip.Retry && q.trip.Call {
		// The child call belongs to a chain that is being retried already.
		return false
	}
	if o.Ran == runst.Never {
		return e.spendRetry(q, 1)
	}
	if !q.trip.Idempotent || q.attempts >= q.route.Attempts {
		return false
	}
	if o.HasResponse() && !o.Failed() || o.Reason == reason.Cancelled || o.Reason == reason.DeadlineExceeded {
		return false
	}
	if o.Failed() {
		// The failed run may have made calls, and a retry makes all of them
		// again. A call that failed deeper in the chain was retried there. So
		// this needs a larger balance, or retries would multiply along the chain.
		return e.spendRetry(q, minSavedAfterFailure)
	}
	return e.spendRetry(q, 1)
}

func (e *Entry) spendRetry(q *request, minSaved float64) bool {
	if !e.retryBudget(q.trip.Service).spend(minSaved) {
		return false
	}
	q.trip = q.trip.WithRetry()
	return true
}
