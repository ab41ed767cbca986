package dispat

import (
	"net/http"
	"testing"

	"gotest.tools/v3/assert"

	"bergamotloom.example/envel"
	"bergamotloom.example/ratio"
	"bergamotloom.example/reason"
	"bergamotloom.example/refuse"
	"bergamotloom.example/reply"
	"bergamotloom.example/retry"
	"bergamotloom.example/runst"
)

// newDelivery returns the delivery of an idempotent request with this allowance.
// The entry has a budget of its own, of which this request may take one retry.
func newDelivery(t *testing.T, allowance int, entry *ratio.Ratio) *delivery {
	t.Helper()
	r, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "/", http.NoBody)
	assert.NilError(t, err)
	granted := 0
	return &delivery{
		dispatcher: &Dispatcher{budgets: make(map[servicePair]*ratio.Ratio)},
		envelope:   envel.Envelope{Idempotent: true},
		allowance:  retry.New(allowance),
		grantRetry: func() bool {
			granted++
			return granted == 1 && entry.Spend()
		},
		outgoing: newResendableRequest(r),
	}
}

// A request whose node is silent is sent again, though other requests held all
// retries of the entry's budget when it began, or its attempt took along the only
// one.
func TestRequestLostAtASilentHopIsRetried(t *testing.T) {
	silent := reply.Refused(refuse.New(reason.InstanceLost))
	silent.ConnectionStalled = true
	entry := ratio.NewDefault()
	held := entry.Grant(2)
	d := newDelivery(t, entry.Grant(1), entry)
	assert.Assert(t, !d.mayRetry(silent), "the budget is empty")
	entry.Return(held)
	d = newDelivery(t, 0, entry)
	assert.Assert(t, d.mayRetry(silent))
	assert.Assert(t, !d.mayRetry(silent), "the route allows one retry")
	assert.Equal(t, entry.Balance(), 1.0)
	d = newDelivery(t, 1, entry)
	d.allowance, _ = d.allowance.Split(allowanceParts)
	assert.Assert(t, d.mayRetry(silent))
	assert.Equal(t, entry.Balance(), 0.0)
}

// A request that meets stalled connections at the targets of two instances has not
// lost two instances, so it's sent to a third one.
func TestRequestThatMeetsStalledTargetConnectionsIsRetried(t *testing.T) {
	entry := ratio.NewDefault()
	lost := reply.Refused(refuse.New(reason.InstanceLost).WithRan(runst.Maybe))
	d := newDelivery(t, 2, entry)
	assert.Assert(t, d.mayRetry(lost))
	assert.Assert(t, !d.mayRetry(lost))
	stalled := lost
	stalled.TargetStalled = true
	d = newDelivery(t, 2, entry)
	assert.Assert(t, d.mayRetry(stalled))
	assert.Assert(t, d.mayRetry(stalled))
}
