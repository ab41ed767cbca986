package outbnd

import (
	"math/rand/v2"

	"bergamotloom.example/output"
	"bergamotloom.example/reason"
)

const (
	// exitMarginMillis is the time between the last deadline that a stopping node
	// accepts and its exit: a target that stops at its deadline says so in a response.
	exitMarginMillis = 250
	// exitSpreadMillis spreads the deadlines that are moved to an earlier time, so that
	// not all of these responses come at the same moment.
	exitSpreadMillis = 150
)

// SetExitTime sets the time at which the stopping node exits, in milliseconds of
// the node's clock. From that time on, and shortly before it, all requests are
// refused.
func (e *Entry) SetExitTime(millis int64) {
	e.exitAtMillis.Store(millis)
}

// checkExit makes sure that a request ends before the node exits. One with a later
// deadline gets an earlier one if it can still meet its objective; otherwise it's
// refused, so that the caller sends it to another node. A target can't send its
// child calls to another node, so they're accepted as long as there's any time.
func (e *Entry) checkExit(q *request) (output.Output, bool) {
	exit := e.exitAtMillis.Load()
	lastDeadline := float64(exit) - exitMarginMillis
	if exit == 0 || q.deadline <= lastDeadline {
		return output.Output{}, true
	}
	neededMillis := q.trip.ObjectiveMillis
	if q.trip.Call {
		neededMillis = minRemainingMillis
	}
	remaining := lastDeadline - q.startedAt
	if remaining < neededMillis {
		return output.Refused(reason.Leaving, "the node ends before the request's time is over"), false
	}
	remaining -= rand.Float64() * min(exitSpreadMillis, remaining-neededMillis)
	q.deadline = q.startedAt + remaining
	q.trip.LeftMillis = remaining
	return output.Output{}, true
}
