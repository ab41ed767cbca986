package conns_test

import (
	"bytes"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"bergamotloom.example/clock"
	"bergamotloom.example/conns"
)

// maxReadBytes is how many bytes of a response without end may be taken in,
// including those in the socket's buffers.
const maxReadBytes = 16 << 20

// serveEndless starts a server that sends, on each connection, start and then
// repeated without end, until the connection is closed. It returns how many
// bytes were sent and whether a connection was closed.
func serveEndless(t *testing.T, start, repeated string) (address string, sent *atomic.Int64, closed *atomic.Bool) {
	t.Helper()
	l, err := new(net.ListenConfig).Listen(t.Context(), "tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	sent, closed = &atomic.Int64{}, &atomic.Bool{}
	block := bytes.Repeat([]byte(repeated), 1+(32<<10)/max(len(repeated), 1))
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = c.Close() }()
				_, err := io.WriteString(c, start)
				for err == nil {
					var n int
					n, err = c.Write(block)
					sent.Add(int64(n))
				}
				closed.Store(true)
			}()
		}
	}()
	return l.Addr().String(), sent, closed
}

func assertClosed(t *testing.T, closed *atomic.Bool, sent *atomic.Int64) {
	t.Helper()
	for end := time.Now().Add(time.Second); !closed.Load() && time.Now().Before(end); {
		time.Sleep(time.Millisecond)
	}
	assert.Check(t, closed.Load(), "the connection is still open")
	assert.Check(t, sent.Load() < maxReadBytes, "%d bytes were taken in", sent.Load())
}

// A head without end, and a body without end of a response to another request,
// fail the request long before its deadline.
func TestEndlessBytesFillTheMemory(t *testing.T) {
	for name, c := range map[string]struct{ start, repeated string }{
		"status line":            {"", "x"},
		"garbage with lines":     {"", "no answer\r\n"},
		"header value":           {"HTTP/1.1 200 OK\r\nId: a\r\nName: ", "x"},
		"headers":                {"HTTP/1.1 200 OK\r\nId: a\r\n", "Name: value\r\n"},
		"interim responses":      {"", "HTTP/1.1 103 Early Hints\r\nName: value\r\n\r\n"},
		"body of another answer": {"HTTP/1.1 200 OK\r\nId: other\r\nConnection: close\r\n\r\n", "x"},
		"chunks of another":      {"HTTP/1.1 200 OK\r\nId: other\r\nTransfer-Encoding: chunked\r\n\r\n", "4\r\nabcd\r\n"},
		"chunk extension":        {"HTTP/1.1 200 OK\r\nId: other\r\nTransfer-Encoding: chunked\r\n\r\n4;", "x"},
		"trailers of another":    {"HTTP/1.1 200 OK\r\nId: other\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n", "Name: value\r\n"},
	} {
		t.Run(name, func(t *testing.T) {
			address, sent, closed := serveEndless(t, c.start, c.repeated)
			virtual := clock.New()
			p := conns.New(address, virtual, 10_000)
			began := time.Now()
			_, _, wasSent, err := p.Do(t.Context(), http.MethodGet, header("a"), nil, //nolint:bodyclose // There's no response.
				func(r *http.Response, _ bool) bool { return r.Header.Get("Id") == "a" }, virtual.Fine()+5000)
			assert.Assert(t, err != nil)
			assert.Assert(t, wasSent)
			assert.Check(t, time.Since(began) < 2*time.Second, "it took %v", time.Since(began))
			assertClosed(t, closed, sent)
		})
	}
}

// Bytes after a complete response arrive while the connection is idle.
func TestIdleConnectionThatReceivesBytesStaysOpen(t *testing.T) {
	l, err := new(net.ListenConfig).Listen(t.Context(), "tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer func() { _ = l.Close() }()
	closed := make(chan error, 1)
	go func() {
		c, err := l.Accept()
		if err != nil {
			return
		}
		_, _ = io.WriteString(c, response("a", "one"))
		time.Sleep(100 * time.Millisecond)
		for err == nil {
			_ = c.SetWriteDeadline(time.Now().Add(3 * time.Second))
			_, err = c.Write(make([]byte, 32<<10))
		}
		closed <- err
	}()
	virtual := clock.New()
	p := conns.New(l.Addr().String(), virtual, 10_000)
	got, _, err := send(t, p, virtual, "a")
	assert.NilError(t, err)
	assert.Equal(t, got, "one")
	time.Sleep(300 * time.Millisecond)
	p.CloseUnusable()
	err = <-closed
	assert.Assert(t, !errors.Is(err, os.ErrDeadlineExceeded), "the connection is still open")
}
