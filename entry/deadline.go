package entry

import (
	"context"
	"strconv"
	"time"

	"bergamotloom.example/header"
	"bergamotloom.example/reason"
	"bergamotloom.example/refuse"
)

// setDeadline sets the deadline to the earliest of the route's timeout, the
// timeout that the caller asks for, and the parent's deadline.
func setDeadline(e *Entry, x *exchange) (refuse.Refusal, bool) {
	timeoutMillis := x.route.TimeoutMillis
	if requested := x.request.Header.Get(header.Timeout); requested != "" {
		n, err := strconv.ParseInt(requested, 10, 64)
		if err != nil || n <= 0 {
			return refuse.New(reason.BadRequest).WithDetail("Loom-Timeout-Millis isn't a positive number."), true
		}
		timeoutMillis = min(timeoutMillis, n)
	}
	now := e.clock.Now()
	x.deadlineMillis = now + timeoutMillis
	if x.parent != nil {
		x.deadlineMillis = min(x.deadlineMillis, x.parent.DeadlineMillis)
	}
	if x.deadlineMillis <= now {
		return refuseWith(reason.DeadlineExceeded)
	}
	ctx, cancel := context.WithTimeout(x.context, time.Duration(x.deadlineMillis-now)*time.Millisecond)
	context.AfterFunc(x.context, cancel)
	x.context = ctx
	return proceed()
}
