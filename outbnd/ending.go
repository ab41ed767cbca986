package outbnd

import (
	"bergamotloom.example/output"
	"bergamotloom.example/reason"
)

// EndAt tells the entry that the node stops, and when it ends by its clock.
func (e *Entry) EndAt(millis int64) {
	e.endAt.Store(millis)
}

// inTime refuses a caller's request that may take longer than the node will be
// there: the caller can go elsewhere, as it hasn't run. Calls have nowhere else
// to go, so they get the time that there is.
func (e *Entry) inTime(q *request) (output.Output, bool) {
	end := e.endAt.Load()
	if end == 0 || q.due <= float64(end) {
		return output.Output{}, true
	}
	left := float64(end) - q.began
	if !q.trip.Call || left < leastMillis {
		return output.Refused(reason.Leaving, "the node ends before the request's time is over"), false
	}
	q.due = float64(end)
	q.trip.LeftMillis = left
	return output.Output{}, true
}
