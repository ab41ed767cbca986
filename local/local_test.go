package local_test

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"bergamotloom.example/clock"
	"bergamotloom.example/local"
)

// maxReadBytes is how many bytes of a head without end may be taken in, including
// those in the socket's buffers.
const maxReadBytes = 8 << 20

// A head without end fills the memory of the node beside the target.
func TestEndlessHeadFillsTheMemory(t *testing.T) {
	for name, repeated := range map[string]string{
		"headers":           "N: v\r\n",
		"interim responses": "\r\nHTTP/1.1 103 Early Hints\r\nName: value\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			var sent atomic.Int64
			block := strings.Repeat(repeated, 1000)
			s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				conn, _, err := http.NewResponseController(w).Hijack()
				if err != nil {
					return
				}
				defer func() { _ = conn.Close() }()
				_, err = io.WriteString(conn, "HTTP/1.1 103 Early Hints\r\n")
				for err == nil {
					var n int
					n, err = io.WriteString(conn, block)
					sent.Add(int64(n))
				}
			}))
			defer s.Close()
			target := local.New(clock.New())
			target.RecordHeartbeat("stock", s.Listener.Addr().String(), 1)
			r, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://stock/", http.NoBody)
			assert.NilError(t, err)
			began := time.Now()
			response, _, err := target.Send(t.Context(), r)
			if err == nil {
				_ = response.Body.Close()
			}
			assert.Assert(t, err != nil)
			assert.Check(t, time.Since(began) < time.Second)
			assert.Check(t, sent.Load() < maxReadBytes, "%d bytes were taken in", sent.Load())
		})
	}
}
