// Package stream copies answers' bodies in constant memory.
package stream

import (
	"io"
	"net/http"
	"sync"

	"github.com/pkg/errors"
)

const bufferBytes = 32 * 1024

var buffers = sync.Pool{New: func() any {
	b := make([]byte, bufferBytes)
	return &b
}}

// Copy sends the body to the response until its end. What arrived is sent on
// at once when the source pauses, so that a slow answer isn't held back; the
// last part of a body of known length (-1 if it isn't) goes out with the end of
// the response, which saves a message. An error means that the answer isn't
// whole.
func Copy(w http.ResponseWriter, body io.Reader, length int64) error {
	held, ok := buffers.Get().(*[]byte)
	if !ok {
		panic("stream: the pool holds something that isn't a buffer")
	}
	defer buffers.Put(held)
	flusher := http.NewResponseController(w)
	sent := int64(0)
	for {
		n, err := body.Read(*held)
		if n > 0 {
			sent += int64(n)
			if werr := send(w, flusher, (*held)[:n], sent == length); werr != nil {
				return werr
			}
		}
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return errors.Wrap(err, "stream: the answer broke off")
		}
	}
}

func send(w io.Writer, flusher *http.ResponseController, part []byte, last bool) error {
	if _, err := w.Write(part); err != nil {
		return errors.Wrap(err, "stream: the receiver went away")
	}
	if len(part) < bufferBytes && !last {
		return errors.Wrap(flusher.Flush(), "stream: the receiver went away")
	}
	return nil
}

// Headers copies all headers to the response.
func Headers(to, from http.Header) {
	for name, values := range from {
		to[name] = values
	}
}

// Trailers announces trailers that came after a body, without having been
// announced before it.
func Trailers(w http.ResponseWriter, trailer *http.Header) {
	if trailer == nil {
		return
	}
	for name, values := range *trailer {
		w.Header()[http.TrailerPrefix+name] = values
	}
}
