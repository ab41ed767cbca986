// Package header names the HTTP headers of the protocols between callers,
// nodes and targets, as docs/PROTOCOL.md describes them.
package header

// Headers that nodes read or set.
const (
	// Request carries the ID of the caller's request.
	Request = "Loom-Request"
	// Team carries the team that the request is charged to.
	Team = "Loom-Team"
	// Call carries the call token.
	Call = "Loom-Call"
	// Timeout carries the time left for the request, in milliseconds.
	Timeout = "Loom-Timeout-Millis"
	// Rank carries the rank of the request's route.
	Rank = "Loom-Rank"
	// IdempotencyKey has the same value on each send of the same request.
	IdempotencyKey = "Idempotency-Key"
	// Authorization carries the API key of the caller's team.
	Authorization = "Authorization"
)

// Headers between the load generator and the stand-in target. Nodes forward them
// unread.
const (
	// Marker is the load generator's ID of the request. It determines the
	// content of the response body.
	Marker = "Standin-Marker"
	// Size carries the length of the response body, in bytes.
	Size = "Standin-Size"
	// Checksum is a trailer with the xxhash of the response body.
	Checksum = "Standin-Checksum"
	// Upload carries the length in bytes and the xxhash of the request body as
	// the target read it.
	Upload = "Standin-Upload"
	// Target carries the address of the target that responded.
	Target = "Standin-Target"
)
