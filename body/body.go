// Package body holds the body of a request as it's forwarded: its start in memory, and
// the rest of a long one as a stream.
package body

import "io"

// Body is the body of a request. The zero value is an empty body.
type Body struct {
	// Start is what was read before the request is forwarded.
	Start []byte
	// WriteRest writes what follows Start, which it can do only once. It's nil if Start
	// is the whole body.
	WriteRest func(io.Writer) error
	// Length is the length of the whole body in bytes, or -1 if Start and the rest are in
	// chunked encoding.
	Length int64

	release func()
}

// WithRelease returns the body with a function that Release calls.
func (b Body) WithRelease(release func()) Body {
	b.release = release
	return b
}

// Release must be called once the body isn't needed any more.
func (b Body) Release() {
	if b.release != nil {
		b.release()
	}
}
