package guard_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"bergamotloom.example/guard"
	"bergamotloom.example/linger"
	"bergamotloom.example/narrow"
)

const refusal = "HTTP/1.1 503 Service Unavailable\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"

// serve serves a port that reads the bodies of its requests.
func serve(t *testing.T, g *guard.Guard) net.Conn {
	t.Helper()
	l, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	s := &http.Server{
		ReadHeaderTimeout: time.Second,
		Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			body, _ := io.ReadAll(r.Body)
			_, _ = w.Write(body)
		}),
	}
	g.Watch(s)
	go func() { _ = s.Serve(g.Listen(l)) }()
	t.Cleanup(func() { _ = s.Close() })
	c, err := (&net.Dialer{}).DialContext(t.Context(), "tcp", l.Addr().String())
	assert.NilError(t, err)
	t.Cleanup(func() { _ = c.Close() })
	assert.NilError(t, c.SetDeadline(time.Now().Add(5*time.Second)))
	return c
}

// waitHeld waits until heads take this much.
func waitHeld(t *testing.T, g *guard.Guard, holds func(bytes int64) bool) {
	t.Helper()
	for end := time.Now().Add(5 * time.Second); !holds(g.HeldBytes()); time.Sleep(time.Millisecond) {
		assert.Assert(t, time.Now().Before(end), "heads take %d bytes", g.HeldBytes())
	}
}

// Heads that haven't ended count too, and bodies don't, whatever lines they have.
func TestHeadsBeyondTheBoundAreRead(t *testing.T) {
	g := guard.New(50_000, refusal)
	stalled := serve(t, g)
	_, err := io.WriteString(stalled, "GET / HTTP/1.1\r\nHost: x\r\n"+strings.Repeat("a:\r\n", 300))
	assert.NilError(t, err)
	waitHeld(t, g, func(bytes int64) bool { return bytes > 25_000 })

	second := serve(t, g)
	_, err = io.WriteString(second, "GET / HTTP/1.1\r\nHost: x\r\n"+strings.Repeat("a:\r\n", 300)+"\r\n")
	assert.NilError(t, err)
	response, err := http.ReadResponse(bufio.NewReader(second), nil)
	assert.NilError(t, err)
	assert.NilError(t, response.Body.Close())
	assert.Equal(t, response.StatusCode, http.StatusServiceUnavailable)
	assert.Equal(t, g.Refused(), int64(1))

	assert.NilError(t, stalled.Close())
	waitHeld(t, g, func(bytes int64) bool { return bytes == 0 })
}

func TestRequestsOnOneConnectionAreCountedAnew(t *testing.T) {
	g := guard.New(1000, refusal)
	c := serve(t, g)
	reader := bufio.NewReader(c)
	body := strings.Repeat("\n", 30_000)
	for range 5 {
		_, err := io.WriteString(c, "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 30000\r\n"+strings.Repeat("a:\r\n", 50)+"\r\n"+body)
		assert.NilError(t, err)
		response, err := http.ReadResponse(reader, nil)
		assert.NilError(t, err)
		got, err := io.ReadAll(response.Body)
		assert.NilError(t, err)
		assert.NilError(t, response.Body.Close())
		assert.Assert(t, string(got) == body, "%d bytes", len(got))
	}
	assert.Equal(t, g.Refused(), int64(0))
}

// A body whose head came with the request before it is taken for a head, and refused as not
// run while its request runs.
func TestBodyOfAPipelinedRequestIsTakenForAHead(t *testing.T) {
	g := guard.New(1000, refusal)
	c := serve(t, g)
	reader := bufio.NewReader(c)
	const length = 200_000
	_, err := io.WriteString(c, "GET / HTTP/1.1\r\nHost: x\r\n\r\nPOST / HTTP/1.1\r\nHost: x\r\nContent-Length: 200000\r\n\r\n")
	assert.NilError(t, err)
	for _, want := range []int{0, length} {
		if want > 0 {
			_, err = io.WriteString(c, strings.Repeat("x\n", want/2))
			assert.NilError(t, err)
		}
		response, err := http.ReadResponse(reader, nil)
		assert.NilError(t, err)
		got, err := io.ReadAll(response.Body)
		assert.NilError(t, err)
		assert.NilError(t, response.Body.Close())
		assert.Equal(t, response.StatusCode, http.StatusOK)
		assert.Equal(t, len(got), want)
	}
	assert.Equal(t, g.Refused(), int64(0))
}

// The refusal of a head cuts the response before it, which its sender still receives.
func TestRefusalOfAHeadCutsTheResponseBeforeIt(t *testing.T) {
	const length = 40_000
	g := guard.New(1000, refusal)
	l, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	s := &http.Server{
		ReadHeaderTimeout: time.Second,
		Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			_, _ = io.WriteString(w, strings.Repeat("r", length))
		}),
	}
	g.Watch(s)
	go func() { _ = s.Serve(g.Listen(linger.New(10).Listen(l))) }()
	t.Cleanup(func() { _ = s.Close() })
	c, err := narrow.Dial(t.Context(), l.Addr().String())
	assert.NilError(t, err)
	t.Cleanup(func() { _ = c.Close() })
	assert.NilError(t, c.SetDeadline(time.Now().Add(10*time.Second)))
	_, err = io.WriteString(c, "GET / HTTP/1.1\r\nHost: x\r\n\r\n")
	assert.NilError(t, err)
	time.Sleep(50 * time.Millisecond)
	// The sender may be cut off.
	go func() {
		_, _ = io.WriteString(c, "GET / HTTP/1.1\r\nHost: x\r\nPadding: "+strings.Repeat("p", 900_000))
	}()
	time.Sleep(time.Second)
	reader := bufio.NewReader(c)
	for _, want := range []struct{ status, length int }{{http.StatusOK, length}, {http.StatusServiceUnavailable, 0}} {
		response, err := http.ReadResponse(reader, nil)
		assert.NilError(t, err)
		body, err := io.ReadAll(response.Body)
		assert.NilError(t, err)
		assert.NilError(t, response.Body.Close())
		assert.Equal(t, response.StatusCode, want.status)
		assert.Equal(t, len(body), want.length)
	}
	assert.Equal(t, g.Refused(), int64(1))
}
