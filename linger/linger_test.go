package linger_test

import (
	"bufio"
	"context"
	"io"
	"log/slog"
	"net"
	"net/http"
	"runtime"
	"strings"
	"testing"
	"time"

	"github.com/pkg/errors"
	"gotest.tools/v3/assert"

	"bergamotloom.example/linger"
	"bergamotloom.example/narrow"
)

const (
	responseBytes = 40_000
	// lingerBound is the stated bound on how long a stalled connection lingers, with some
	// time for a busy machine.
	lingerBound = 8 * time.Second
)

// dial opens a connection with a small window, whose deadline is far away.
func dial(t *testing.T, address string) net.Conn {
	t.Helper()
	c, err := narrow.Dial(t.Context(), address)
	assert.NilError(t, err)
	t.Cleanup(func() { _ = c.Close() })
	assert.NilError(t, c.SetDeadline(time.Now().Add(20*time.Second)))
	return c
}

// serve serves a port with the server's limits. A response has responseBytes; one to
// /close closes the connection.
func serve(t *testing.T, l *linger.Linger, s *http.Server) string {
	t.Helper()
	inner, err := new(net.ListenConfig).Listen(t.Context(), "tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	s.ReadHeaderTimeout = 300 * time.Millisecond
	s.ErrorLog = slog.NewLogLogger(slog.DiscardHandler, slog.LevelError)
	s.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/close" {
			w.Header().Set("Connection", "close")
		}
		_, _ = io.WriteString(w, strings.Repeat("r", responseBytes))
	})
	go func() { _ = s.Serve(l.Listen(inner)) }()
	t.Cleanup(func() { _ = s.Close() })
	return inner.Addr().String()
}

const (
	keptRequest    = "GET / HTTP/1.1\r\nHost: x\r\n\r\n"
	closingRequest = "GET /close HTTP/1.1\r\nHost: x\r\n\r\n"
)

// waitCounts waits until the counts hold.
func waitCounts(t *testing.T, l *linger.Linger, bound time.Duration, holds func(lingering int, lingered, cut int64) bool) {
	t.Helper()
	for end := time.Now().Add(bound); !holds(l.Counts()); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			lingering, lingered, cut := l.Counts()
			t.Fatalf("%d lingering, %d lingered, %d cut after %v", lingering, lingered, cut, bound)
		}
	}
}

// A response is cut by bytes behind its request, whatever closes the connection.
func TestResponseIsCutByBytesBehindItsRequest(t *testing.T) {
	for _, c := range []struct {
		name, request, behind string
		server                *http.Server
	}{
		{"response that closes", closingRequest, strings.Repeat(keptRequest, 3), &http.Server{}},
		{"upload that isn't read", "POST /close HTTP/1.1\r\nHost: x\r\nContent-Length: 600000\r\n\r\n", strings.Repeat("u", 600_000), &http.Server{}},
		{"idle timeout", keptRequest, keptRequest, &http.Server{IdleTimeout: 100 * time.Millisecond}},
		{"half of a head", keptRequest, "GET / HTTP/1.1\r\nHo", &http.Server{}},
		{"malformed head", keptRequest, "GET\r\n\r\n" + keptRequest, &http.Server{}},
		{"long head", keptRequest, "GET / HTTP/1.1\r\nHost: x\r\nPadding: " + strings.Repeat("p", 100_000), &http.Server{MaxHeaderBytes: 4096}},
		{"request on a stopping server", keptRequest, keptRequest, &http.Server{}},
	} {
		t.Run(c.name, func(t *testing.T) {
			l := linger.New(100)
			conn := dial(t, serve(t, l, c.server))
			_, err := io.WriteString(conn, c.request)
			assert.NilError(t, err)
			// The response waits for the client, and the server for the next request.
			time.Sleep(50 * time.Millisecond)
			if strings.Contains(c.name, "stopping") {
				ctx, cancel := context.WithTimeout(t.Context(), time.Second)
				defer cancel()
				assert.NilError(t, c.server.Shutdown(ctx))
			}
			if c.name == "idle timeout" {
				time.Sleep(300 * time.Millisecond)
			}
			// The sender may be cut off.
			go func() { _, _ = io.WriteString(conn, c.behind) }()
			// Longer than any timeout of the server.
			time.Sleep(time.Second)
			response, err := http.ReadResponse(bufio.NewReader(conn), nil)
			assert.NilError(t, err)
			defer func() { _ = response.Body.Close() }()
			body, err := io.ReadAll(response.Body)
			assert.NilError(t, err)
			assert.Equal(t, len(body), responseBytes)
			assert.NilError(t, conn.Close())
			waitCounts(t, l, lingerBound, func(lingering int, _, cut int64) bool { return lingering == 0 && cut == 0 })
		})
	}
}

// A client that never reads and goes on sending holds its connection for good.
func TestStalledClientHoldsItsConnection(t *testing.T) {
	l := linger.New(100)
	conn := dial(t, serve(t, l, &http.Server{}))
	_, err := io.WriteString(conn, closingRequest)
	assert.NilError(t, err)
	go func() {
		for {
			if _, err := io.WriteString(conn, keptRequest); err != nil {
				return
			}
			time.Sleep(time.Millisecond)
		}
	}()
	waitCounts(t, l, time.Second, func(lingering int, _, _ int64) bool { return lingering == 1 })
	waitCounts(t, l, lingerBound, func(lingering int, _, cut int64) bool { return lingering == 0 && cut == 1 })
}

// A client that has received its response and doesn't close holds its connection for good.
func TestClientThatNeverClosesHoldsItsConnection(t *testing.T) {
	l := linger.New(100)
	conn := dial(t, serve(t, l, &http.Server{}))
	_, err := io.WriteString(conn, closingRequest)
	assert.NilError(t, err)
	_, err = io.Copy(io.Discard, conn)
	assert.NilError(t, err)
	waitCounts(t, l, 2*time.Second, func(lingering int, lingered, cut int64) bool {
		return lingering == 0 && lingered == 1 && cut == 0
	})
}

// Lingering connections take descriptors and memory without bound.
func TestLingeringConnectionsAreUnbounded(t *testing.T) {
	const maxOpen, clients = 20, 200
	l := linger.New(maxOpen)
	address := serve(t, l, &http.Server{})
	goroutines := runtime.NumGoroutine()
	for range clients {
		_, err := io.WriteString(dial(t, address), closingRequest)
		assert.NilError(t, err)
		lingering, _, _ := l.Counts()
		assert.Assert(t, lingering <= maxOpen, "%d lingering", lingering)
	}
	waitCounts(t, l, time.Second, func(lingering int, lingered, cut int64) bool {
		return lingering <= maxOpen && lingered == clients && cut >= clients-maxOpen
	})
	assert.Check(t, runtime.NumGoroutine() <= goroutines+2*maxOpen, "%d goroutines", runtime.NumGoroutine())
}

// accept returns the server's side of a new connection and the client's.
func accept(t *testing.T, l *linger.Linger) (server, client net.Conn) {
	t.Helper()
	inner, err := new(net.ListenConfig).Listen(t.Context(), "tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = inner.Close() })
	client = dial(t, inner.Addr().String())
	server, err = l.Listen(inner).Accept()
	assert.NilError(t, err)
	return server, client
}

// A closed connection is still used by the process, or a deadline set after the close
// makes it linger for good.
func TestClosedConnectionIsUsed(t *testing.T) {
	l := linger.New(100)
	server, client := accept(t, l)
	read := make(chan error, 1)
	go func() {
		_, err := server.Read(make([]byte, 1))
		read <- err
	}()
	time.Sleep(20 * time.Millisecond)
	assert.NilError(t, server.Close())
	select {
	case err := <-read:
		assert.Assert(t, errors.Is(err, net.ErrClosed), "%v", err)
	case <-time.After(time.Second):
		t.Fatal("the close didn't end the read")
	}
	_, err := io.WriteString(client, "late")
	assert.NilError(t, err)
	time.Sleep(20 * time.Millisecond)
	began := time.Now()
	_, err = server.Read(make([]byte, 1))
	assert.Assert(t, errors.Is(err, net.ErrClosed), "%v", err)
	assert.Assert(t, time.Since(began) < 300*time.Millisecond, "the read took %v", time.Since(began))
	_, err = server.Write([]byte("x"))
	assert.Assert(t, err != nil)
	assert.Assert(t, errors.Is(server.SetReadDeadline(time.Time{}), net.ErrClosed))
	assert.Assert(t, errors.Is(server.Close(), net.ErrClosed))
	waitCounts(t, l, 2*time.Second, func(lingering int, _, _ int64) bool { return lingering == 0 })
}

// A connection that is to be reset lingers.
func TestConnectionThatIsResetLingers(t *testing.T) {
	l := linger.New(100)
	server, client := accept(t, l)
	resets, ok := server.(interface{ SetLinger(seconds int) error })
	assert.Assert(t, ok)
	assert.NilError(t, resets.SetLinger(0))
	assert.NilError(t, server.Close())
	_, err := client.Read(make([]byte, 1))
	assert.ErrorContains(t, err, "reset")
	_, lingered, _ := l.Counts()
	assert.Equal(t, lingered, int64(0))
}

// Waiting for lingering connections outlasts its context.
func TestWaitOutlastsItsContext(t *testing.T) {
	l := linger.New(100)
	server, _ := accept(t, l)
	_, err := server.Write(make([]byte, responseBytes))
	assert.NilError(t, err)
	assert.NilError(t, server.Close())
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	ended := make(chan struct{})
	go func() {
		l.Wait(ctx)
		close(ended)
	}()
	select {
	case <-ended:
	case <-time.After(400 * time.Millisecond):
		t.Fatal("waited for longer")
	}
	assert.Assert(t, ctx.Err() != nil, "waited for less")
}
