// Package heads writes the heads and chunked bodies of forwarded HTTP requests.
package heads

import (
	"io"
	"net/http"
	"strconv"
	"strings"

	"github.com/pkg/errors"
)

// hopHeaders aren't forwarded: most apply to one connection only, and Content-Length
// is written anew for the forwarded request.
var hopHeaders = map[string]bool{
	"Connection":          true,
	"Keep-Alive":          true,
	"Proxy-Connection":    true,
	"Proxy-Authenticate":  true,
	"Proxy-Authorization": true,
	"Te":                  true,
	"Trailer":             true,
	"Transfer-Encoding":   true,
	"Upgrade":             true,
	"Content-Length":      true,
	"Expect":              true,
}

// RemoveHopHeaders removes hopHeaders and the headers that the Connection header
// lists.
func RemoveHopHeaders(h http.Header) {
	for _, field := range h["Connection"] {
		for _, name := range strings.Split(field, ",") {
			h.Del(strings.TrimSpace(name))
		}
	}
	for name := range hopHeaders {
		delete(h, name)
	}
}

// AppendHead appends the head of a request in the format of RFC 9112, including the
// empty line. The headers are those to forward; length is that of the body in
// bytes, -1 if it's sent in chunks. Content-Length: 0 is written only for POST, PUT
// and PATCH.
func AppendHead(b []byte, r *http.Request, headers http.Header, length int64) []byte {
	b = append(b, r.Method...)
	b = append(b, ' ')
	b = append(b, r.RequestURI...)
	b = append(b, " HTTP/1.1\r\n"...)
	b = appendField(b, "Host", r.Host)
	for name, values := range headers {
		for _, v := range values {
			b = appendField(b, name, v)
		}
	}
	switch {
	case length < 0:
		b = appendField(b, "Transfer-Encoding", "chunked")
	case length > 0 || r.Method == http.MethodPost || r.Method == http.MethodPut || r.Method == http.MethodPatch:
		b = appendField(b, "Content-Length", strconv.FormatInt(length, 10))
	}
	return append(b, "\r\n"...)
}

func appendField(b []byte, name, value string) []byte {
	b = append(b, name...)
	b = append(b, ": "...)
	b = append(b, value...)
	return append(b, "\r\n"...)
}

// maxStatus is the highest status that RFC 9110 defines a class for.
const maxStatus = 599

// IsStatus reports whether a number can be the status of a response.
func IsStatus(status int) bool {
	return status >= http.StatusContinue && status <= maxStatus
}

// SetOrRemove sets a header; an empty value removes it. It does nothing if the name is
// empty.
func SetOrRemove(h http.Header, name, value string) {
	switch {
	case name == "":
	case value == "":
		h.Del(name)
	default:
		h.Set(name, value)
	}
}

const chunkBytes = 32 << 10

// EncodeChunk encodes bytes as one chunk of a chunked body.
func EncodeChunk(b []byte) []byte {
	chunk := strconv.AppendInt(nil, int64(len(b)), 16)
	chunk = append(chunk, "\r\n"...)
	chunk = append(chunk, b...)
	return append(chunk, "\r\n"...)
}

// CopyChunks copies r to w as chunks, and writes the last chunk if r ends without
// an error. It returns the first error of reading or writing.
func CopyChunks(w io.Writer, r io.Reader) error {
	buffer := make([]byte, chunkBytes)
	for {
		n, err := r.Read(buffer)
		if n > 0 {
			if _, err := w.Write(EncodeChunk(buffer[:n])); err != nil {
				return err
			}
		}
		switch {
		case errors.Is(err, io.EOF):
			_, err = io.WriteString(w, "0\r\n\r\n")
			return err
		case err != nil:
			return err
		}
	}
}
