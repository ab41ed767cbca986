// Package answer holds what became of one request of the load.
package answer

// The kinds of ends that a request can come to.
const (
	// Served is a whole answer to the caller's own request.
	Served = "Served"
	// Refused is a refusal by a node, with its reason and run state.
	Refused = "Refused"
	// Failed is an error that the target itself answered.
	Failed = "Failed"
	// Broken is an answer that was cut, or that never came.
	Broken = "Broken"
	// Wrong is an answer that looks whole and isn't, or is another's.
	Wrong = "Wrong"
	// Unsent is a request that the load generator had no room for.
	Unsent = "Unsent"
)

// Answer is the end of one request, after all its sends.
type Answer struct {
	// Marker names the request in the targets' records.
	Marker string
	Team   string
	Route  string
	Kind   string
	// Reason says more about the kind: the reason of a refusal, the status of
	// a failure, or how an answer was cut.
	Reason string
	// Ran is the run state told by the node, empty if none was.
	Ran string
	// Sends is how often the request was sent.
	Sends int
	// Millis is the time from the first send to the end of the answer.
	Millis float64
	// LateMillis is how much later than drawn the first send was.
	LateMillis float64
}

// WithSends returns the answer with the number of sends and the whole time.
func (a Answer) WithSends(sends int, millis float64) Answer {
	a.Sends = sends
	a.Millis = millis
	return a
}

// WithLate returns the answer with the delay of its first send.
func (a Answer) WithLate(millis float64) Answer {
	a.LateMillis = millis
	return a
}
