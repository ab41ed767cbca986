// Package runrec holds the record of one run at a stand-in target.
package runrec

// Outcomes of a run. A run without an outcome is still running, or its process
// ended while it ran.
const (
	Served = "Served"
	// Cancelled means that the client closed the request.
	Cancelled = "Cancelled"
	// TimedOut means that the request's timeout passed.
	TimedOut = "TimedOut"
	// CallLost means that a child call failed.
	CallLost = "CallLost"
	// Crashed means that the request ended the target's process.
	Crashed = "Crashed"
	// BodyCut means that the request body ended early.
	BodyCut = "BodyCut"
	// AnswerCut means that the response couldn't be written completely.
	AnswerCut = "AnswerCut"
)

// Run is one request that a target has started.
type Run struct {
	// Target and Service name the target. Life is the incarnation of its
	// process: the start time in milliseconds since 1970. Serial counts the
	// runs of the process from 1.
	Target  string
	Service string
	Life    int64
	Serial  int64
	// Request is the request ID that the entry node assigned, Marker the one
	// that the load generator assigned.
	Request        string
	Marker         string
	Team           string
	Rank           string
	Method         string
	Path           string
	IdempotencyKey string
	// Headers lists the names of all received headers, in alphabetical order.
	// SawKey is true if the request may leak an API key: it has an
	// Authorization header, or the key mark is in the URI or in a header.
	Headers []string
	SawKey  bool
	// TimeoutMillis is the time left that the request named; 0 if it named
	// none.
	TimeoutMillis int64
	// StartMillis and EndMillis are milliseconds since 1970.
	StartMillis int64
	EndMillis   int64
	// DrainMillis is how long the target had been draining at the start; 0
	// if it wasn't.
	DrainMillis int64
	// UploadBytes is the number of bytes of the request body that were read.
	UploadBytes int64
	Outcome     string
}

// WithEnd returns the run with its outcome and its end, in milliseconds since
// 1970.
func (r Run) WithEnd(outcome string, endMillis int64) Run {
	r.Outcome = outcome
	r.EndMillis = endMillis
	return r
}
