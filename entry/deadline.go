package entry

import (
	"context"
	"strconv"
	"time"

	"bergamotloom.example/header"
	"bergamotloom.example/reason"
	"bergamotloom.example/refuse"
)

// setDeadline bounds the request's time by the route, by what the caller asks
// for, and by the parent's own deadline.
func setDeadline(e *Entry, k *work) (refuse.Refusal, bool) {
	millis := k.route.TimeoutMillis
	if asked := k.in.Header.Get(header.Timeout); asked != "" {
		n, err := strconv.ParseInt(asked, 10, 64)
		if err != nil || n <= 0 {
			return refuse.New(reason.BadRequest).WithDetail("Loom-Timeout-Millis isn't a positive number."), true
		}
		millis = min(millis, n)
	}
	now := e.clock.Now()
	k.deadline = now + millis
	if k.parent != nil {
		k.deadline = min(k.deadline, k.parent.DeadlineMillis)
	}
	if k.deadline <= now {
		return stop(reason.DeadlineExceeded)
	}
	ctx, cancel := context.WithTimeout(k.context, time.Duration(k.deadline-now)*time.Millisecond)
	context.AfterFunc(k.context, cancel)
	k.context = ctx
	return pass()
}
