// Package stream copies response bodies in constant memory.
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

// Copy writes the body to the response until its end. A read that doesn't fill
// the buffer is taken as a pause of the source, and the bytes are flushed, so
// that a slow response isn't delayed. The last part of a body of known length in
// bytes (-1 if unknown) is sent together with the end of the response, which
// saves a packet. An error means that the response is incomplete.
func Copy(w http.ResponseWriter, body io.Reader, length int64) error {
	buffer, ok := buffers.Get().(*[]byte)
	if !ok {
		panic("stream: the pool holds a value that isn't a buffer")
	}
	defer buffers.Put(buffer)
	flusher := http.NewResponseController(w)
	sentBytes := int64(0)
	for {
		n, err := body.Read(*buffer)
		if n > 0 {
			sentBytes += int64(n)
			if writeErr := send(w, flusher, (*buffer)[:n], sentBytes == length); writeErr != nil {
				return writeErr
			}
		}
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return errors.Wrap(err, "stream: the response ended early")
		}
	}
}

func send(w io.Writer, flusher *http.ResponseController, chunk []byte, isLast bool) error {
	if _, err := w.Write(chunk); err != nil {
		return errors.Wrap(err, "stream: writing to the receiver")
	}
	if len(chunk) < bufferBytes && !isLast {
		return errors.Wrap(flusher.Flush(), "stream: flushing to the receiver")
	}
	return nil
}

// Headers copies all headers to the response.
func Headers(to, from http.Header) {
	for name, values := range from {
		to[name] = values
	}
}

// Trailers sets the trailers received after a body, which weren't announced
// before it.
func Trailers(w http.ResponseWriter, trailer *http.Header) {
	if trailer == nil {
		return
	}
	for name, values := range *trailer {
		w.Header()[http.TrailerPrefix+name] = values
	}
}
