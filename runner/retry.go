package runner

import (
	"context"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"bergamotloom.example/call"
)

// firstAttemptTimeoutDivisor is what the time left is divided by to get the
// timeout of a first attempt that may be retried.
const firstAttemptTimeoutDivisor = 2

var errNoResponse = errors.New("gate: no response in half of the time left")

// send passes the request to the target. One connection can stall while new
// ones work, which the sender can't distinguish from a long run time. So a
// request that may run twice and has no body (Confirm is set for those with a body) is retried
// on a new connection after half of the time left, if its allowance has a retry
// for that.
func (r *Runner) send(in *http.Request, c *call.Call) (res *http.Response, maybeSent bool, err error) {
	if !c.Envelope.Idempotent || c.Envelope.Confirm {
		return r.target.Send(c.Context(), r.outgoing(in, c))
	}
	firstContext, cancelFirst := context.WithCancelCause(c.Context())
	timeout := time.Duration(c.DeadlineMillis-r.clock.Now()) * time.Millisecond / firstAttemptTimeoutDivisor
	timer := time.AfterFunc(timeout, func() { cancelFirst(errNoResponse) })
	res, maybeSent, err = r.target.Send(firstContext, r.outgoing(in, c))
	if timer.Stop() {
		return res, maybeSent, err
	}
	if !c.TakeRetry() {
		if err != nil {
			err = errNoResponse
		}
		return res, maybeSent, err
	}
	if err == nil {
		// The response began just when the attempt was cancelled.
		_ = res.Body.Close()
	}
	r.target.CloseIdleConnections()
	return r.target.Send(c.Context(), r.outgoing(in, c))
}
