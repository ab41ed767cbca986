package entry

import (
	"bytes"
	"io"
	"net/http"

	"github.com/pkg/errors"

	"bergamotloom.example/reason"
	"bergamotloom.example/refuse"
)

// keptBytes is the largest body that is kept in memory, so that it can be sent
// again to another instance.
const keptBytes = 64 * 1024

// limitBody refuses a body over the route's limit, and keeps a short one.
func limitBody(_ *Entry, k *work) (refuse.Refusal, bool) {
	in := k.in
	if in.Body == nil || in.Body == http.NoBody {
		return pass()
	}
	if k.route.BodyLimit > 0 {
		if in.ContentLength > k.route.BodyLimit {
			return stop(reason.BodyTooLarge)
		}
		k.body = &limited{ReadCloser: http.MaxBytesReader(nil, in.Body, k.route.BodyLimit)}
		in.Body = k.body
	}
	if in.ContentLength < 0 || in.ContentLength > keptBytes {
		return pass()
	}
	kept, err := io.ReadAll(in.Body)
	if err != nil {
		return refuse.New(reason.BadRequest).WithDetail("The body broke off."), true
	}
	in.GetBody = func() (io.ReadCloser, error) {
		return io.NopCloser(bytes.NewReader(kept)), nil
	}
	return pass()
}

// limited is a body that takes note when it grows over its limit.
type limited struct {
	io.ReadCloser
	exceeded bool
}

// Read reads on and fails over the limit.
func (l *limited) Read(b []byte) (int, error) {
	n, err := l.ReadCloser.Read(b)
	var large *http.MaxBytesError
	if errors.As(err, &large) {
		l.exceeded = true
	}
	return n, err
}
