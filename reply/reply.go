// Package reply holds what came of sending a request to a peer: the target's
// response as a stream, or a refusal.
package reply

import (
	"io"
	"net/http"

	"bergamotloom.example/bounds"
	"bergamotloom.example/level"
	"bergamotloom.example/refuse"
)

// Reply is the outcome of one attempt. Either Body is set, and whoever holds
// the answer closes it, or the attempt was refused.
type Reply struct {
	Status  int
	Header  http.Header
	Body    io.ReadCloser
	Trailer *http.Header
	// Length is the body's length in bytes, -1 if unknown.
	Length int64

	Refusal refuse.Refusal
	// Threshold is what the gate said of its own admission, Full if it didn't
	// say. Lowest is the lowest one in the whole chain.
	Threshold level.Level
	Lowest    bounds.Bounds
	// Unused is how much of the lent retry allowance came back.
	Unused int
	// Gone says that the peer refused the connection: its process has ended.
	Gone bool
	// Silent says that the peer's connection made no progress in its bound.
	Silent bool
	// Broke says that the peer's connection broke while it had the request.
	Broke bool
	// TookMillis is the time from sending to the answer's first byte.
	TookMillis float64
}

// Refuse returns the answer of an attempt that was refused.
func Refuse(r refuse.Refusal) Reply {
	return Reply{Refusal: r, Threshold: level.Full, Lowest: bounds.None()}
}

// Served tells whether the target answered.
func (r Reply) Served() bool {
	return r.Body != nil
}

// Close ends the stream, if there is one.
func (r Reply) Close() {
	if r.Body != nil {
		_ = r.Body.Close()
	}
}
