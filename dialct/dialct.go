// Package dialct holds the header names that callers and targets use in HTTP,
// so that nodes support several dialects of the same protocol.
package dialct

// Dialect names the headers of one dialect. An empty name means that the
// dialect lacks the header.
type Dialect struct {
	// RequestID carries the ID of one attempt of a caller.
	RequestID string
	// RemainingMillis carries how long the caller still waits, in milliseconds.
	RemainingMillis string
	// Team carries the name of the team to a target.
	Team string
	// Origin carries the service of the instance at which the request entered.
	Origin string
	// ExpectedTarget carries the target that the request is meant for.
	ExpectedTarget string
	// Signature is set only by targets, on each response of a request that ran.
	Signature string
	// NotExecuted is set by a target that refuses a request without running it.
	NotExecuted string
	// CallSeparator separates the ID of a request from the suffix that a target
	// appends for each call it makes for the request.
	CallSeparator string
	// Load carries a target's running and waiting requests and its slots.
	Load string
	// RateLimit carries the requests per second that a target takes from all
	// nodes together, in each response for as long as the limit lasts.
	RateLimit string
	// Cold carries, in responses to health checks, how much longer a target is in its
	// cold start, in milliseconds.
	Cold string
	// Instance carries, in responses to health checks, the ID of the target that responds.
	Instance string
	// Leaving is 1 in the responses of a target that takes no new requests.
	Leaving string
}
