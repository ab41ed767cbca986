// Package output holds the outcome of a request at a gate or at a target.
package output

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"strings"

	"github.com/pkg/errors"

	"bergamotloom.example/heads"
	"bergamotloom.example/reason"
	"bergamotloom.example/runst"
)

// bufferBytes of a response are read before any of it is forwarded, so that a
// short response that ends early is detected before its header is sent.
const bufferBytes = 64 << 10

// maxDetailBytes bounds the detail of an outcome.
const maxDetailBytes = 512

// Read reads a response, or the first bufferBytes of a long one. Read itself
// calls done for a short response or an error, Close for a long one; complete
// tells whether the body was read to its end. An error means that the response
// ended early.
func Read(response *http.Response, done func(complete bool)) (Output, error) {
	o := Output{Ran: runst.Once, Status: response.StatusCode, Header: response.Header, Length: response.ContentLength}
	if response.Request != nil && response.Request.Method == http.MethodHead {
		// Its length is that of the body that a GET request would get.
		done(true)
		return o, nil
	}
	body, err := readStart(response)
	if err != nil {
		_ = response.Body.Close()
		done(false)
		return Output{}, errors.Wrap(err, "the answer was cut")
	}
	o.Body = body
	if len(body) < bufferBytes {
		_ = response.Body.Close()
		done(true)
		o.Length = int64(len(body))
		return o, nil
	}
	rest := &eofReader{source: response.Body}
	o.Rest = rest
	o.Close = func() {
		// Closing a body reads it to its end; done(false) closes the connection
		// instead.
		if rest.sawEOF {
			_ = response.Body.Close()
		}
		done(rest.sawEOF)
	}
	return o, nil
}

// readStart reads up to bufferBytes of the body.
func readStart(response *http.Response) ([]byte, error) {
	if n := response.ContentLength; n >= 0 && n < bufferBytes {
		body := make([]byte, n)
		_, err := io.ReadFull(response.Body, body)
		return body, err
	}
	return io.ReadAll(io.LimitReader(response.Body, bufferBytes))
}

// eofReader records whether the end was reached.
type eofReader struct {
	source io.Reader
	sawEOF bool
}

func (e *eofReader) Read(b []byte) (int, error) {
	n, err := e.source.Read(b)
	e.sawEOF = e.sawEOF || errors.Is(err, io.EOF)
	return n, err
}

// Write forwards the response. If it ends early, Write panics with
// http.ErrAbortHandler, which closes the connection and so shows the caller
// that the response is incomplete.
func (o Output) Write(w http.ResponseWriter) {
	if o.Close != nil {
		defer o.Close()
	}
	h := w.Header()
	heads.RemoveHopHeaders(o.Header)
	for name, values := range o.Header {
		h[name] = values
	}
	for _, name := range []string{"Date", "Content-Type"} {
		// Keeps net/http from adding a header that the target didn't send.
		if _, ok := h[name]; !ok {
			h[name] = nil
		}
	}
	if o.Length >= 0 {
		h.Set("Content-Length", strconv.FormatInt(o.Length, 10))
	}
	w.WriteHeader(o.Status)
	if _, err := w.Write(o.Body); err != nil {
		panic(http.ErrAbortHandler)
	}
	if o.Rest == nil {
		return
	}
	if _, err := io.Copy(w, o.Rest); err != nil {
		panic(http.ErrAbortHandler)
	}
}

// Output is either the response of a target or the reason why there's none.
// It's used by value; Rest may be read once.
type Output struct {
	// Ran tells whether the target ran the request: runst.Once, Never or Maybe.
	Ran runst.State
	// Reason is why there's no response; empty if there is one.
	Reason reason.Reason
	// Detail explains the reason, for logs.
	Detail string
	// RetryAfterMillis is the time until there may be free capacity again.
	RetryAfterMillis int64
	// Status, Header and Body are those of the response.
	Status int
	Header http.Header
	Body   []byte
	// Rest is what follows Body in a long response, or nil. Reading it ends
	// with io.EOF only if the response is complete. Close must be called if it
	// isn't nil.
	Rest  io.Reader
	Close func()
	// Length is the length of Body and Rest together in bytes, or -1 if it
	// isn't known.
	Length int64
}

// Refused returns the output of a request that didn't run. It keeps the first
// maxDetailBytes of the detail.
func Refused(r reason.Reason, detail string) Output {
	return Output{Ran: runst.Never, Reason: r, Detail: limitDetail(detail)}
}

// Lost returns the output of a request that may have run. It keeps the first
// maxDetailBytes of the detail.
func Lost(r reason.Reason, detail string) Output {
	return Output{Ran: runst.Maybe, Reason: r, Detail: limitDetail(detail)}
}

// limitDetail bounds a detail, which may quote what a target sent.
func limitDetail(detail string) string {
	if len(detail) <= maxDetailBytes {
		return detail
	}
	// A copy, so that the whole text isn't kept.
	return strings.Clone(detail[:maxDetailBytes])
}

// ErrStopping is the cause with which a stopping node cancels the contexts of
// the requests that are still running at the end of its grace.
var ErrStopping = errors.New("the node stops")

// WithCause replaces the reason Cancelled by Leaving or InstanceLost if the
// stopping node, and not the sender, ended the context.
func (o Output) WithCause(ctx context.Context) Output {
	if o.Reason != reason.Cancelled || !errors.Is(context.Cause(ctx), ErrStopping) {
		return o
	}
	if o.Ran == runst.Never {
		return Refused(reason.Leaving, ErrStopping.Error())
	}
	return Lost(reason.InstanceLost, ErrStopping.Error())
}

// WithRetryAfter returns the output with the time until there may be free
// capacity.
func (o Output) WithRetryAfter(millis int64) Output {
	o.RetryAfterMillis = millis
	return o
}

// HasResponse reports whether the output is a target's response.
func (o Output) HasResponse() bool {
	return o.Reason == ""
}

// Failed reports whether the target responded with a server error.
func (o Output) Failed() bool {
	return o.HasResponse() && o.Status >= http.StatusInternalServerError
}
