// Package words holds the names that callers and targets use in HTTP, so that
// the product serves several dialects of the same protocol.
package words

// Words names the headers of one dialect. An empty name means that the dialect
// lacks the header.
type Words struct {
	// RequestID carries the identity of one attempt of a caller.
	RequestID string
	// TimeLeft carries how long the caller still waits, in milliseconds.
	TimeLeft string
	// Team carries the name of the team to a target.
	Team string
	// Origin carries the service beside which the request began.
	Origin string
	// WantTarget carries the target that the request is meant for.
	WantTarget string
	// Seal is set by targets only, on each answer of a run.
	Seal string
	// NotRun is set by a target on a refusal of a request that it didn't run.
	NotRun string
	// CallMark stands between the identity of a request and what a target adds
	// to it to name a call that it makes for the request.
	CallMark string
	// Load carries a target's running and waiting requests and its slots.
	Load string
}
