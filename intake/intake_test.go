package intake_test

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"bergamotloom.example/body"
	"bergamotloom.example/intake"
	"bergamotloom.example/reason"
)

// read reads a body of n bytes, whose length the request names or not.
func read(i *intake.Intake, n int, named bool) (body.Body, error) {
	r := httptest.NewRequestWithContext(context.Background(), http.MethodPost, "/", strings.NewReader(strings.Repeat("u", n)))
	if !named {
		r.ContentLength = -1
	}
	return i.Read(httptest.NewRecorder(), r, 1000)
}

// Bodies beyond the bound fill the memory, or what they took is never given back.
func TestBodiesBeyondTheBoundAreRead(t *testing.T) {
	for _, named := range []bool{true, false} {
		i := intake.New(100_000)
		first, err := read(i, 90_000, named)
		assert.NilError(t, err)
		assert.Equal(t, len(first.Start), 90_000)
		_, err = read(i, 90_000, named)
		o := intake.Refuse(err)
		assert.Equal(t, o.Reason, reason.Overloaded)
		short, err := read(i, 4000, named)
		assert.NilError(t, err)
		first.Release()
		second, err := read(i, 90_000, named)
		assert.NilError(t, err)
		second.Release()
		short.Release()
		assert.Equal(t, i.HeldBytes(), int64(0))
	}
}

func TestLongBodyIsReadInTwoParts(t *testing.T) {
	const n = 300_000
	for _, named := range []bool{true, false} {
		i := intake.New(1 << 20)
		b, err := read(i, n, named)
		assert.NilError(t, err)
		out := bytes.NewBuffer(b.Start)
		assert.NilError(t, b.WriteRest(out))
		if named {
			assert.Equal(t, b.Length, int64(n))
			assert.Equal(t, out.Len(), n)
		} else {
			assert.Equal(t, b.Length, int64(-1))
			r, err := http.ReadRequest(bufio.NewReader(strings.NewReader("POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n" + out.String())))
			assert.NilError(t, err)
			whole, err := io.ReadAll(r.Body)
			assert.NilError(t, err)
			assert.Equal(t, len(whole), n)
		}
		b.Release()
		assert.Equal(t, i.HeldBytes(), int64(0))
	}
}
