// Package reply holds the outcome of sending a request to a peer: the target's
// response as a stream, or a refusal.
package reply

import (
	"io"
	"net/http"

	"bergamotloom.example/bounds"
	"bergamotloom.example/level"
	"bergamotloom.example/refuse"
)

// Reply is the outcome of one attempt. Either Body is set, and the receiver of
// the reply must close it, or the attempt was refused.
type Reply struct {
	Status int
	Header http.Header
	Body   io.ReadCloser
	// Trailer is filled in when Body has been read to its end.
	Trailer *http.Header
	// Length is the body's length in bytes, -1 if unknown.
	Length int64

	// Refusal is the reason of the refusal if Body is nil.
	Refusal refuse.Refusal
	// Threshold is the gate's admission threshold, Full if the gate sent none.
	// Lowest is the lowest threshold in the whole chain of calls.
	Threshold level.Level
	Lowest    bounds.Bounds
	// UnusedAllowance is the part of the retry allowance that the peer
	// returned, in retries.
	UnusedAllowance int
	// ConnectionRefused is true if the peer refused the connection: its process
	// has ended.
	ConnectionRefused bool
	// ConnectionStalled is true if the peer's connection made no progress
	// within its timeout.
	ConnectionStalled bool
	// TargetStalled is true if the peer's target sent nothing on the connection that
	// the peer used. It may respond on others.
	TargetStalled bool
	// ConnectionLost is true if the connection was lost while the peer had the
	// request.
	ConnectionLost bool
	// FirstByteMillis is the time from sending the request to the first byte of
	// the response.
	FirstByteMillis float64
}

// Refused returns the reply of an attempt that was refused.
func Refused(r refuse.Refusal) Reply {
	return Reply{Refusal: r, Threshold: level.Full, Lowest: bounds.None()}
}

// Served reports whether the target responded.
func (r Reply) Served() bool {
	return r.Body != nil
}

// Close closes the response body, if there is one.
func (r Reply) Close() {
	if r.Body != nil {
		_ = r.Body.Close()
	}
}
