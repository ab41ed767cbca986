package outbnd

import (
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"

	"bergamotloom.example/card"
	"bergamotloom.example/crash"
	"bergamotloom.example/output"
	"bergamotloom.example/reason"
	"bergamotloom.example/runst"
)

// checkCrashSuspect sets the fingerprint of a caller's request, and refuses a
// request whose fingerprint is a crash suspect. Child calls have that of the request
// that causes them, so that it's refused if they crash targets.
func (e *Entry) checkCrashSuspect(q *request) (output.Output, bool) {
	if !q.trip.Call {
		q.trip.Fingerprint = fingerprint(q)
	}
	if remaining, refused := e.suspects.Refuses(q.trip.Fingerprint); refused {
		return output.Refused(reason.CrashSuspect, e.suspectDetail(q.trip.Fingerprint)).WithRetryAfter(remaining), false
	}
	return output.Output{}, true
}

// recordLost records a request that may have been running at a target when the node
// beside it ended: the connection broke, or the request was given up while nothing
// came from the node since it was sent.
func (e *Entry) recordLost(q *request, c card.Card, o output.Output, reached bool, sentAt int64) {
	if o.Ran != runst.Maybe || c.TargetStartMillis == 0 {
		return
	}
	if reached && e.picker.SeenSince(c.Peers, sentAt) {
		return
	}
	e.suspects.RequestLost(crash.TargetID(c.Peers, c.TargetStartMillis), q.trip.Fingerprint)
}

// suspectDetail describes for logs why requests with this fingerprint are refused.
func (e *Entry) suspectDetail(fingerprint string) string {
	return "fingerprint " + fingerprint + ": " + strings.Join(e.suspects.Crashes(fingerprint), "; ")
}

// fingerprint returns the same value for requests with the same method, host,
// request URI, Authorization header and body. Only the buffered start of a long
// body is included.
func fingerprint(q *request) string {
	h := xxhash.New()
	for _, part := range []string{q.Method, q.Host, q.RequestURI, q.Header.Get("Authorization")} {
		// Writing to a hash never fails.
		_, _ = h.WriteString(part)
		_, _ = h.Write([]byte{0})
	}
	_, _ = h.Write(q.body.Start)
	return strconv.FormatUint(h.Sum64(), 36)
}
