// Package output holds what became of a request at a gate or at a target.
package output

import (
	"context"
	"io"
	"net/http"
	"strconv"

	"github.com/pkg/errors"

	"bergamotloom.example/heads"
	"bergamotloom.example/reason"
	"bergamotloom.example/runst"
)

// bufferBytes of an answer are read before any of it is passed on, so that a
// cut in a short answer is known in time.
const bufferBytes = 64 << 10

// Read takes an answer, or the begin of a long one. Done is called with
// whether the answer was read whole, at the latest when Close is.
func Read(answer *http.Response, done func(whole bool)) (Output, error) {
	o := Output{Ran: runst.Once, Status: answer.StatusCode, Header: answer.Header, Length: answer.ContentLength}
	body, err := readStart(answer)
	if err != nil {
		_ = answer.Body.Close()
		done(false)
		return Output{}, errors.Wrap(err, "the answer was cut")
	}
	o.Body = body
	if len(body) < bufferBytes {
		_ = answer.Body.Close()
		done(true)
		o.Length = int64(len(body))
		return o, nil
	}
	rest := &wholeReader{from: answer.Body}
	o.Rest = rest
	o.Close = func() {
		if rest.whole {
			_ = answer.Body.Close()
		}
		done(rest.whole)
	}
	return o, nil
}

// readStart reads as much of the body as is buffered.
func readStart(answer *http.Response) ([]byte, error) {
	if n := answer.ContentLength; n >= 0 && n < bufferBytes {
		body := make([]byte, n)
		_, err := io.ReadFull(answer.Body, body)
		return body, err
	}
	return io.ReadAll(io.LimitReader(answer.Body, bufferBytes))
}

// wholeReader notes whether the end was reached.
type wholeReader struct {
	from  io.Reader
	whole bool
}

func (w *wholeReader) Read(b []byte) (int, error) {
	n, err := w.from.Read(b)
	w.whole = w.whole || errors.Is(err, io.EOF)
	return n, err
}

// Write passes the answer on. A cut answer ends the connection, so that the
// other side sees the cut.
func (o Output) Write(w http.ResponseWriter) {
	if o.Close != nil {
		defer o.Close()
	}
	h := w.Header()
	heads.DropConnection(o.Header)
	for name, values := range o.Header {
		h[name] = values
	}
	for _, name := range []string{"Date", "Content-Type"} {
		// The server adds none of its own: the answer is the target's.
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

// Output is either the answer of a target, or the reason why there's none. It's
// a value; Rest may be read once.
type Output struct {
	// Ran tells whether the target ran the request.
	Ran runst.State
	// Reason is why there's no answer; empty if there is one.
	Reason reason.Reason
	// Detail says more, for logs.
	Detail string
	// RetryAfterMillis is when there may be room again.
	RetryAfterMillis int64
	// Status, Header and Body are those of the answer.
	Status int
	Header http.Header
	Body   []byte
	// Rest is what follows Body in a long answer, or nil. Reading it ends with
	// io.EOF only if the answer is whole. Close must be called if it isn't nil.
	Rest  io.Reader
	Close func()
	// Length is the length of Body and Rest together, or -1.
	Length int64
}

// Refused returns the output of a request that didn't run.
func Refused(r reason.Reason, detail string) Output {
	return Output{Ran: runst.Never, Reason: r, Detail: detail}
}

// Lost returns the output of a request that may have run.
func Lost(r reason.Reason, detail string) Output {
	return Output{Ran: runst.Maybe, Reason: r, Detail: detail}
}

// ErrStopping is the cause for which a stopping node ends the contexts of the
// requests that its grace has no time for.
var ErrStopping = errors.New("the node stops")

// WithCause returns the output of a request whose context may have ended: its
// sender is still there if the node ended it.
func (o Output) WithCause(ctx context.Context) Output {
	if o.Reason != reason.Cancelled || !errors.Is(context.Cause(ctx), ErrStopping) {
		return o
	}
	if o.Ran == runst.Never {
		return Refused(reason.Leaving, ErrStopping.Error())
	}
	return Lost(reason.InstanceLost, ErrStopping.Error())
}

// WithRetryAfter returns the output with the time until there may be room.
func (o Output) WithRetryAfter(millis int64) Output {
	o.RetryAfterMillis = millis
	return o
}

// HasResponse tells whether the output is a target's response.
func (o Output) HasResponse() bool {
	return o.Reason == ""
}

// Failed tells whether the target's answer is an error of the target.
func (o Output) Failed() bool {
	return o.HasResponse() && o.Status >= http.StatusInternalServerError
}
