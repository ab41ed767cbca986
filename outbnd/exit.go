package outbnd

import (
	"bergamotloom.example/output"
	"bergamotloom.example/reason"
)

// SetExitTime sets the time at which the stopping node exits, in milliseconds of
// the node's clock.
func (e *Entry) SetExitTime(millis int64) {
	e.exitAtMillis.Store(millis)
}

// checkExit refuses a caller's request whose deadline is after the node's exit:
// it hasn't run, so the caller can send it to another node. A target can't send
// its child calls to another node, so their deadline is moved to the node's exit.
func (e *Entry) checkExit(q *request) (output.Output, bool) {
	exit := e.exitAtMillis.Load()
	if exit == 0 || q.deadline <= float64(exit) {
		return output.Output{}, true
	}
	remaining := float64(exit) - q.startedAt
	if !q.trip.Call || remaining < minRemainingMillis {
		return output.Refused(reason.Leaving, "the node ends before the request's time is over"), false
	}
	q.deadline = float64(exit)
	q.trip.LeftMillis = remaining
	return output.Output{}, true
}
