// Package runrec holds what a stand-in target records of one run.
package runrec

// How a run ended. A run without an outcome was still going on, or its process
// ended in the middle of it.
const (
	Served    = "Served"
	Cancelled = "Cancelled"
	TimedOut  = "TimedOut"
	CallLost  = "CallLost"
	Crashed   = "Crashed"
	BodyCut   = "BodyCut"
	AnswerCut = "AnswerCut"
)

// Run is one request that a target began to work on.
type Run struct {
	// Target and Service name the target, Life the process: its start in
	// milliseconds since 1970. Serial counts the process's runs from 1.
	Target  string
	Service string
	Life    int64
	Serial  int64
	// Request is the identity that the entry node gave to the request, Marker
	// the one that the load generator gave to it.
	Request        string
	Marker         string
	Team           string
	Rank           string
	Method         string
	Path           string
	IdempotencyKey string
	// Headers lists the names of all headers that came, in order. SawKey says
	// that a caller's key was among them or in the query.
	Headers []string
	SawKey  bool
	// TimeoutMillis is the time that was left for the request; 0 if none was
	// named.
	TimeoutMillis int64
	// StartMillis and EndMillis are milliseconds since 1970.
	StartMillis int64
	EndMillis   int64
	// DrainMillis is how long the target had been draining at the start; 0
	// if it wasn't.
	DrainMillis int64
	UploadBytes int64
	Outcome     string
}

// WithEnd returns the run with its end.
func (r Run) WithEnd(outcome string, endMillis int64) Run {
	r.Outcome = outcome
	r.EndMillis = endMillis
	return r
}
