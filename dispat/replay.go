package dispat

import (
	"io"
	"net/http"
	"sync/atomic"
)

// replay is a request whose body can be sent more than once if it can be read
// again (GetBody), or as long as nobody has read of it.
type replay struct {
	source  *http.Request
	touched atomic.Bool
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
	out.Body = &touching{ReadCloser: p.source.Body, touched: &p.touched}
	return out
}

// whole tells whether another attempt could send the whole body.
func (p *replay) whole() bool {
	return p.source.GetBody != nil || !p.touched.Load()
}

// touching takes note of the first read.
type touching struct {
	io.ReadCloser
	touched *atomic.Bool
}

// Read reads on.
func (t *touching) Read(b []byte) (int, error) {
	t.touched.Store(true)
	return t.ReadCloser.Read(b)
}
