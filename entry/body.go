package entry

import (
	"bytes"
	"io"
	"net/http"
	"os"
	"time"

	"github.com/pkg/errors"

	"bergamotloom.example/duplex"
	"bergamotloom.example/reason"
	"bergamotloom.example/refuse"
)

// maxBufferedBodyBytes is the largest body that is buffered in memory, so that
// it can be sent again to another instance.
const maxBufferedBodyBytes = 64 * 1024

// limitBody refuses a body over the route's limit, and buffers a body of known
// length up to maxBufferedBodyBytes. Its sender may stall until the deadline.
func limitBody(e *Entry, x *exchange) (refuse.Refusal, bool) {
	request := x.request
	if request.Body == nil || request.Body == http.NoBody {
		return proceed()
	}
	if x.route.BodyLimit > 0 {
		if request.ContentLength > x.route.BodyLimit {
			return refuseWith(reason.BodyTooLarge)
		}
		x.body = &limitedBody{ReadCloser: http.MaxBytesReader(nil, request.Body, x.route.BodyLimit)}
		request.Body = x.body
	}
	if request.ContentLength < 0 || request.ContentLength > maxBufferedBodyBytes {
		duplex.Track(request)
		return proceed()
	}
	c := http.NewResponseController(x.writer)
	// An error says that reading can't be limited.
	_ = c.SetReadDeadline(time.Now().Add(time.Duration(x.deadlineMillis-e.clock.Now()) * time.Millisecond))
	buffered, err := io.ReadAll(request.Body)
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return refuseWith(reason.DeadlineExceeded)
	}
	if err != nil {
		return refuse.New(reason.BadRequest).WithDetail("The body broke off."), true
	}
	// The server goes on reading, to notice that the caller has gone, and would take a
	// passed deadline for that.
	_ = c.SetReadDeadline(time.Time{})
	request.GetBody = func() (io.ReadCloser, error) {
		return io.NopCloser(bytes.NewReader(buffered)), nil
	}
	return proceed()
}

// limitedBody is a request body that records whether it exceeded its limit.
type limitedBody struct {
	io.ReadCloser
	exceeded bool
}

// Read reads from the body and fails once the limit is exceeded.
func (l *limitedBody) Read(b []byte) (int, error) {
	n, err := l.ReadCloser.Read(b)
	var large *http.MaxBytesError
	if errors.As(err, &large) {
		l.exceeded = true
	}
	return n, err
}
