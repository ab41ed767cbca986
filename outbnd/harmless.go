package outbnd

import (
	"strconv"

	"github.com/cespare/xxhash/v2"

	"bergamotloom.example/output"
	"bergamotloom.example/reason"
)

// harmless marks a caller's request, and refuses one whose like has crashed the
// targets that ran it. Calls of targets aren't marked: their callers are.
func (e *Entry) harmless(q *request) (output.Output, bool) {
	if q.trip.Call {
		return output.Output{}, true
	}
	q.trip.Fingerprint = markOf(q)
	if left, refused := e.marks.Refuses(q.trip.Fingerprint); refused {
		return output.Refused(reason.CrashSuspect, "its like crashed targets").WithRetryAfter(left), false
	}
	return output.Output{}, true
}

// markOf is the same for requests with the same path, caller and body, as far
// as the body has been read.
func markOf(q *request) string {
	h := xxhash.New()
	for _, part := range []string{q.Method, q.Host, q.RequestURI, q.Header.Get("Authorization")} {
		// A hash takes whatever is written.
		_, _ = h.WriteString(part)
		_, _ = h.Write([]byte{0})
	}
	_, _ = h.Write(q.body)
	return strconv.FormatUint(h.Sum64(), 36)
}
