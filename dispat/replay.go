package dispat

import (
	"io"
	"net/http"
	"sync/atomic"

	"github.com/pkg/errors"
)

// replay is a request whose body can be sent more than once if it can be read
// again (GetBody), or as long as nobody has read of it.
type replay struct {
	source  *http.Request
	touched atomic.Bool
	broken  atomic.Bool
}

func newReplay(r *http.Request) *replay {
	return &replay{source: r}
}

// empty tells whether there is no body.
func (p *replay) empty() bool {
	return p.source.Body == nil || p.source.Body == http.NoBody
}

// request returns the request for one attempt.
func (p *replay) request() *http.Request {
	if p.empty() {
		return p.source
	}
	out := p.source.WithContext(p.source.Context())
	if p.source.GetBody != nil {
		body, err := p.source.GetBody()
		if err == nil {
			out.Body = body
			return out
		}
	}
	out.Body = &touching{ReadCloser: p.source.Body, owner: p}
	return out
}

// whole tells whether another attempt could send the whole body.
func (p *replay) whole() bool {
	return p.source.GetBody != nil || !p.touched.Load()
}

// touching takes note of the first read, and of a failed one.
type touching struct {
	io.ReadCloser
	owner *replay
}

// Read reads on.
func (t *touching) Read(b []byte) (int, error) {
	t.owner.touched.Store(true)
	n, err := t.ReadCloser.Read(b)
	if err != nil && !errors.Is(err, io.EOF) {
		t.owner.broken.Store(true)
	}
	return n, err
}
