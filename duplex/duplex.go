// Package duplex lets a response begin while the rest of its request's body is still
// being forwarded.
package duplex

import (
	"io"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
)

// Body is the body of a request that records whether it was read to its end.
type Body struct {
	io.ReadCloser
	hasEnded atomic.Bool
}

// Read reads from the body.
func (b *Body) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if errors.Is(err, io.EOF) {
		b.hasEnded.Store(true)
	}
	return n, err
}

// Track makes the body of a request one that Allow knows. It must be called before any of
// the body is read.
func Track(r *http.Request) {
	r.Body = &Body{ReadCloser: r.Body}
}

// discardTimeout is how long the server may wait for a body that nobody reads.
const discardTimeout = 500 * time.Millisecond

// Discard must be called before the response to a request whose body nobody has begun to
// read. The server reads up to 256 KB of such a body first, to keep the connection; if its
// sender stalls, it responds after discardTimeout and closes the connection.
func Discard(w http.ResponseWriter, r *http.Request) {
	if _, ok := r.Body.(*Body); ok || r.Body == nil || r.Body == http.NoBody {
		return
	}
	// An error says that reading can't be limited. The server removes the limit once the
	// body has ended.
	_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(discardTimeout))
}

// Allow must be called before the response to a request with a tracked body is begun.
// Otherwise the server reads what is left of the body before it writes the response,
// while that rest is still being forwarded: each would get only a part.
//
// The connection closes after such a response, as the server and the reader of the rest
// could both wait for its next bytes. A body that isn't tracked, or that has ended, is
// left to the server.
func Allow(w http.ResponseWriter, r *http.Request) {
	b, ok := r.Body.(*Body)
	if !ok || b.hasEnded.Load() {
		return
	}
	// An error says that the server doesn't read the body anyway.
	_ = http.NewResponseController(w).EnableFullDuplex()
	w.Header().Set("Connection", "close")
}
