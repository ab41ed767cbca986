// Package answer holds the outcome of one request of the load.
package answer

// Kinds of outcomes of a request.
const (
	// Served is a complete response that belongs to the request.
	Served = "Served"
	// Refused is a refusal by a node, with its reason and run state.
	Refused = "Refused"
	// Failed is an error response of the target itself.
	Failed = "Failed"
	// Broken is a response that ended early or never arrived.
	Broken = "Broken"
	// Wrong is a response that looks complete but isn't, or that belongs to
	// another request.
	Wrong = "Wrong"
	// Unsent is a request that the load generator dropped, because too many
	// were in flight.
	Unsent = "Unsent"
)

// Outcome is the outcome of one request, after all its sends.
type Outcome struct {
	// Marker identifies the request in the targets' records.
	Marker string
	Team   string
	Route  string
	Kind   string
	// Reason gives details of the kind: the reason of a refusal, the status of
	// a failure, or what was missing or wrong in a response.
	Reason string
	// Ran is the run state that the node sent, empty if it sent none.
	Ran string
	// Sends is how often the request was sent.
	Sends int
	// Millis is the time from the first send to the end of the response.
	Millis float64
	// LateMillis is the delay of the first send after its planned time.
	LateMillis float64
}

// WithSends returns the outcome with the number of sends and the time from the
// first send to the end of the response, in milliseconds.
func (o Outcome) WithSends(sends int, millis float64) Outcome {
	o.Sends = sends
	o.Millis = millis
	return o
}

// WithLate returns the outcome with the delay of its first send, in
// milliseconds.
func (o Outcome) WithLate(millis float64) Outcome {
	o.LateMillis = millis
	return o
}
