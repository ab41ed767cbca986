package dispat

import (
	"io"
	"net/http"
	"sync/atomic"

	"github.com/pkg/errors"
)

// resendableRequest is a request whose body can be sent again if it can be
// reopened with GetBody, or as long as nothing has been read from it.
type resendableRequest struct {
	source     *http.Request
	bodyRead   atomic.Bool
	bodyFailed atomic.Bool
}

func newResendableRequest(r *http.Request) *resendableRequest {
	return &resendableRequest{source: r}
}

// withoutBody reports whether the request has no body.
func (r *resendableRequest) withoutBody() bool {
	return r.source.Body == nil || r.source.Body == http.NoBody
}

// request returns the request for one attempt.
func (r *resendableRequest) request() *http.Request {
	if r.withoutBody() {
		return r.source
	}
	outgoing := r.source.WithContext(r.source.Context())
	if r.source.GetBody != nil {
		body, err := r.source.GetBody()
		if err == nil {
			outgoing.Body = body
			return outgoing
		}
	}
	outgoing.Body = &trackedBody{ReadCloser: r.source.Body, request: r}
	return outgoing
}

// canResend reports whether another attempt could send the whole body.
func (r *resendableRequest) canResend() bool {
	return r.source.GetBody != nil || !r.bodyRead.Load()
}

// trackedBody records whether the body was read from and whether a read failed.
type trackedBody struct {
	io.ReadCloser
	request *resendableRequest
}

// Read reads from the body.
func (t *trackedBody) Read(b []byte) (int, error) {
	t.request.bodyRead.Store(true)
	n, err := t.ReadCloser.Read(b)
	if err != nil && !errors.Is(err, io.EOF) {
		t.request.bodyFailed.Store(true)
	}
	return n, err
}
