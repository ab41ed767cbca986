package runner

import (
	"context"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"bergamotloom.example/call"
)

// progressPart is the part of the time left, as one in so many, that a request
// waits for the target's answer before it's sent once more.
const progressPart = 2

var errNoProgress = errors.New("gate: no answer in half of the time")

// send passes the request to the target. A connection to it can go silent for
// good while new ones work, which looks like slow work. So a request that may
// run twice, and has no body, is sent once more on a new connection after half
// of its time, if its allowance has a retry left for that.
func (r *Runner) send(in *http.Request, c *call.Call) (res *http.Response, wrote bool, err error) {
	if !c.Envelope.Idempotent || c.Envelope.Confirm {
		return r.target.Send(c.Context(), r.outgoing(in, c))
	}
	first, giveUp := context.WithCancelCause(c.Context())
	wait := time.Duration(c.DeadlineMillis-r.clock.Now()) * time.Millisecond / progressPart
	timer := time.AfterFunc(wait, func() { giveUp(errNoProgress) })
	res, wrote, err = r.target.Send(first, r.outgoing(in, c))
	if timer.Stop() || !c.TakeRetry() {
		return res, wrote, err
	}
	if err == nil {
		// The answer began in the moment when it was given up.
		_ = res.Body.Close()
	}
	r.target.CloseIdleConnections()
	return r.target.Send(c.Context(), r.outgoing(in, c))
}
