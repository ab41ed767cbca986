// Package refuse holds the refusal of a request and writes it as a problem
// document (RFC 9457).
package refuse

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"strconv"

	"bergamotloom.example/reason"
	"bergamotloom.example/runst"
)

const millisPerSecond = 1000

// Refusal holds the reason why a request was refused and whether it ran. It's a
// value: the With methods return changed copies.
type Refusal struct {
	Reason           reason.Reason
	Ran              runst.State
	RetryAfterMillis int64
	Detail           string
}

// New returns a refusal of a request that never ran.
func New(r reason.Reason) Refusal {
	return Refusal{Reason: r, Ran: runst.Never}
}

// WithRan returns the refusal with another run state.
func (r Refusal) WithRan(s runst.State) Refusal {
	r.Ran = s
	return r
}

// WithRetryAfter returns the refusal with the delay after which the caller may
// retry, in milliseconds.
func (r Refusal) WithRetryAfter(millis int64) Refusal {
	r.RetryAfterMillis = millis
	return r
}

// WithDetail returns the refusal with a sentence about this request. It must
// not hold a key, a token or an internal address.
func (r Refusal) WithDetail(detail string) Refusal {
	r.Detail = detail
	return r
}

// problem is the body of a refusal. The members of RFC 9457 have lower-case
// names, the extension members of this project are in Pascal case.
type problem struct {
	Type   string `json:"type"`
	Title  string `json:"title"`
	Status int    `json:"status"`
	Detail string `json:"detail,omitempty"`
	Reason string `json:"Reason"`
	Ran    string `json:"Ran"`
}

// Write sends the refusal as the response, with its status, the run state
// header and, for 429 and 503, Retry-After in whole seconds, rounded up and at
// least 1. It returns the error of writing the body.
func (r Refusal) Write(w http.ResponseWriter) error {
	r.setHeaders(w.Header())
	w.WriteHeader(r.Reason.Status())
	return r.writeBody(w)
}

// Text returns the refusal as a whole response that closes its connection, for requests
// that net/http hasn't read yet.
func (r Refusal) Text() string {
	var body, text bytes.Buffer
	// Neither fails, as buffers don't.
	_ = r.writeBody(&body)
	response := http.Response{
		ProtoMajor: 1, ProtoMinor: 1, StatusCode: r.Reason.Status(), Header: make(http.Header),
		ContentLength: int64(body.Len()), Body: io.NopCloser(&body), Close: true,
	}
	r.setHeaders(response.Header)
	_ = response.Write(&text)
	return text.String()
}

func (r Refusal) setHeaders(h http.Header) {
	h.Set("Content-Type", "application/problem+json")
	h.Set(runst.Header, string(r.Ran))
	if status := r.Reason.Status(); status == http.StatusTooManyRequests || status == http.StatusServiceUnavailable {
		h.Set("Retry-After", strconv.FormatInt(r.retryAfterSeconds(), 10))
	}
}

func (r Refusal) writeBody(w io.Writer) error {
	return json.NewEncoder(w).Encode(problem{
		Type:   "urn:bergamotloom:refusal:" + string(r.Reason),
		Title:  r.Reason.Text(),
		Status: r.Reason.Status(),
		Detail: r.Detail,
		Reason: string(r.Reason),
		Ran:    string(r.Ran),
	})
}

func (r Refusal) retryAfterSeconds() int64 {
	seconds := (r.RetryAfterMillis + millisPerSecond - 1) / millisPerSecond
	return max(seconds, 1)
}
