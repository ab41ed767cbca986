package accept_test

import (
	"bufio"
	"bytes"
	"io"
	"log/slog"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/pkg/errors"
	"gotest.tools/v3/assert"

	"bergamotloom.example/accept"
	"bergamotloom.example/clock"
	"bergamotloom.example/linger"
	"bergamotloom.example/narrow"
)

// fakeListener returns one result after the other.
type fakeListener struct {
	net.Listener
	results []any
}

func (l *fakeListener) Accept() (net.Conn, error) {
	if len(l.results) == 0 {
		return nil, net.ErrClosed
	}
	next := l.results[0]
	l.results = l.results[1:]
	if c, ok := next.(net.Conn); ok {
		return c, nil
	}
	if err, ok := next.(error); ok {
		return nil, err
	}
	return nil, errors.New("no result")
}

func listen(t *testing.T) net.Listener {
	t.Helper()
	l, err := new(net.ListenConfig).Listen(t.Context(), "tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	return l
}

func dial(t *testing.T, l net.Listener) net.Conn {
	t.Helper()
	c, err := (&net.Dialer{Timeout: time.Second}).DialContext(t.Context(), "tcp", l.Addr().String())
	assert.NilError(t, err)
	t.Cleanup(func() { _ = c.Close() })
	return c
}

func TestWaitingConnectionsAreCounted(t *testing.T) {
	a := accept.New(listen(t), "callers", 10, clock.New(), slog.New(slog.DiscardHandler))
	for range 3 {
		dial(t, a)
	}
	assert.Equal(t, a.Waiting(), 3)
	c, err := a.Accept()
	assert.NilError(t, err)
	assert.Equal(t, a.Waiting(), 2)
	open, accepted, failed := a.Counts()
	assert.DeepEqual(t, []int64{int64(open), accepted, failed}, []int64{1, 1, 0})
	a.ConnState(c, http.StateClosed)
	open, _, _ = a.Counts()
	assert.Equal(t, open, 0)
}

func TestErrorsAreLoggedOnceASecondAndTheirEndToo(t *testing.T) {
	c, advance := clock.NewManual(1000)
	log := &bytes.Buffer{}
	server, client := net.Pipe()
	t.Cleanup(func() { _, _ = server.Close(), client.Close() })
	results := []any{syscall.EMFILE, syscall.EMFILE, server}
	a := accept.New(&fakeListener{results: results}, "callers", 10, c, slog.New(slog.NewJSONHandler(log, nil)))
	advance(10)
	got, err := a.Accept()
	assert.NilError(t, err)
	assert.Equal(t, got, server)
	assert.Equal(t, strings.Count(log.String(), "accepting a connection failed"), 1, log.String())
	assert.Equal(t, strings.Count(log.String(), "accepted again"), 1, log.String())
	assert.Equal(t, a.FailingMillis(), int64(0))
}

// net/http stops serving a port after an error that it doesn't know as temporary.
func TestPortIsDeadAfterAnErrorOfAccept(t *testing.T) {
	for _, failure := range []error{syscall.ENOBUFS, syscall.ENOMEM, syscall.EPROTO, syscall.EPERM, syscall.EMFILE, errors.New("unknown")} {
		a := accept.New(&failingListener{Listener: listen(t), failure: failure}, "callers", 10, clock.New(), slog.New(slog.DiscardHandler))
		s := &http.Server{ReadHeaderTimeout: time.Second, Handler: http.HandlerFunc(func(http.ResponseWriter, *http.Request) {})}
		go func() { _ = s.Serve(a) }()
		t.Cleanup(func() { _ = s.Close() })
		r, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://"+a.Addr().String(), http.NoBody)
		assert.NilError(t, err)
		resp, err := (&http.Client{Timeout: time.Second}).Do(r)
		assert.Check(t, err == nil, "after %v: %v", failure, err)
		if err == nil {
			_ = resp.Body.Close()
		}
	}
}

// failingListener fails the first time.
type failingListener struct {
	net.Listener
	failure error
}

func (l *failingListener) Accept() (net.Conn, error) {
	if err := l.failure; err != nil {
		l.failure = nil
		return nil, err
	}
	return l.Listener.Accept()
}

// serve serves a port with at most maxOpen connections, whose requests wait for
// release, and returns the wrapped listener and the number of requests that have waited.
func serve(t *testing.T, maxOpen int, release chan struct{}) (a *accept.Accept, waiting *atomic.Int64) {
	t.Helper()
	waiting = &atomic.Int64{}
	a = accept.New(listen(t), "callers", maxOpen, clock.New(), slog.New(slog.DiscardHandler))
	s := &http.Server{
		ReadHeaderTimeout: time.Second, ConnState: a.ConnState, ConnContext: a.ConnContext,
		Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if accept.IsExcess(r.Context()) {
				w.Header().Set("Connection", "close")
				w.WriteHeader(http.StatusServiceUnavailable)
				return
			}
			waiting.Add(1)
			<-release
		}),
	}
	go func() { _ = s.Serve(a) }()
	t.Cleanup(func() { _ = s.Close() })
	return a, waiting
}

// waitFor waits until the condition holds, and fails the test if that takes too long.
func waitFor(t *testing.T, condition func() bool) {
	t.Helper()
	for end := time.Now().Add(5 * time.Second); !condition(); time.Sleep(time.Millisecond) {
		assert.Assert(t, time.Now().Before(end), "the connections aren't in use")
	}
}

// get sends a request on the connection and returns the status of the response, 0
// without one.
func get(c net.Conn, timeout time.Duration) int {
	_ = c.SetDeadline(time.Now().Add(timeout))
	if _, err := c.Write([]byte("GET / HTTP/1.1\r\nHost: x\r\n\r\n")); err != nil {
		return 0
	}
	r, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return 0
	}
	_ = r.Body.Close()
	return r.StatusCode
}

func TestOldestIdleConnectionsMakeRoomForNewOnes(t *testing.T) {
	release := make(chan struct{})
	close(release)
	a, _ := serve(t, 4, release)
	var opened []net.Conn
	for range 10 {
		c := dial(t, a)
		assert.Equal(t, get(c, time.Second), http.StatusOK)
		opened = append(opened, c)
	}
	open, _, _ := a.Counts()
	assert.Assert(t, open <= 4, "%d open", open)
	assert.Equal(t, get(opened[9], time.Second), http.StatusOK)
	assert.Equal(t, get(opened[0], time.Second), 0)
}

func TestRequestsAreRefusedWhileAllConnectionsAreInUse(t *testing.T) {
	release := make(chan struct{})
	const maxOpen = 64
	a, waiting := serve(t, maxOpen, release)
	served := make(chan int, maxOpen)
	for range maxOpen {
		c := dial(t, a)
		go func() { served <- get(c, 5*time.Second) }()
	}
	waitFor(t, func() bool { return waiting.Load() == maxOpen })
	for range 20 {
		c := dial(t, a)
		assert.Equal(t, get(c, time.Second), http.StatusServiceUnavailable)
		// The node closes it, which makes room for the next one.
		_, _ = io.Copy(io.Discard, c)
	}
	close(release)
	for range maxOpen {
		assert.Equal(t, <-served, http.StatusOK)
	}
	assert.Equal(t, get(dial(t, a), time.Second), http.StatusOK)
}

// Connections that are closed at once aren't accepted ones, and such without a request
// don't keep others out.
func TestConnectionsBeyondAllLimitsAreNotCountedAsAccepted(t *testing.T) {
	const maxOpen, excess = 16, 2
	release := make(chan struct{})
	a, waiting := serve(t, maxOpen, release)
	served := make(chan int, maxOpen+excess)
	for range maxOpen {
		c := dial(t, a)
		go func() { served <- get(c, 5*time.Second) }()
	}
	waitFor(t, func() bool { return waiting.Load() == maxOpen })
	// These send nothing.
	for range excess {
		dial(t, a)
	}
	waitFor(t, func() bool {
		open, _, _ := a.Counts()
		return open == maxOpen+excess
	})
	// Each new one takes the place of a silent one.
	for range 3 * excess {
		assert.Equal(t, get(dial(t, a), time.Second), http.StatusServiceUnavailable)
	}
	_, accepted, _ := a.Counts()
	_, closedNew := a.Closed()
	assert.Equal(t, accepted+closedNew, int64(maxOpen+4*excess))
	close(release)
	for range maxOpen {
		assert.Equal(t, <-served, http.StatusOK)
	}
}

// A connection that makes room for a new one counts as idle while its caller still receives
// the response: a further request on it cuts that.
func TestRoomForANewConnectionCutsAResponse(t *testing.T) {
	const length = 40_000
	a := accept.New(linger.New(4).Listen(listen(t)), "callers", 1, clock.New(), slog.New(slog.DiscardHandler))
	s := &http.Server{
		ReadHeaderTimeout: time.Second, ConnState: a.ConnState, ConnContext: a.ConnContext,
		Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			_, _ = io.WriteString(w, strings.Repeat("r", length))
		}),
	}
	go func() { _ = s.Serve(a) }()
	t.Cleanup(func() { _ = s.Close() })
	first, err := narrow.Dial(t.Context(), a.Addr().String())
	assert.NilError(t, err)
	t.Cleanup(func() { _ = first.Close() })
	_, err = io.WriteString(first, "GET / HTTP/1.1\r\nHost: x\r\n\r\n")
	assert.NilError(t, err)
	time.Sleep(50 * time.Millisecond)
	assert.Equal(t, get(dial(t, a), time.Second), http.StatusOK)
	idle, _ := a.Closed()
	assert.Equal(t, idle, int64(1))
	_, err = io.WriteString(first, "GET / HTTP/1.1\r\nHost: x\r\n\r\n")
	assert.NilError(t, err)
	time.Sleep(50 * time.Millisecond)
	r, err := http.ReadResponse(bufio.NewReader(first), nil)
	assert.NilError(t, err)
	defer func() { _ = r.Body.Close() }()
	body, err := io.ReadAll(r.Body)
	assert.NilError(t, err)
	assert.Equal(t, len(body), length)
}

// A stop ends the process before a response is written whose handler has returned.
func TestResponseCountsAsWrittenWithItsHandler(t *testing.T) {
	server, client := net.Pipe()
	t.Cleanup(func() { _, _ = server.Close(), client.Close() })
	blocked := &fakeListener{Listener: listen(t), results: []any{server}}
	a := accept.New(blocked, "callers", 10, clock.New(), slog.New(slog.DiscardHandler))
	returned := make(chan struct{})
	s := &http.Server{
		ReadHeaderTimeout: time.Second, ConnState: a.ConnState, ConnContext: a.ConnContext,
		Handler: a.Handler(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			_, _ = io.WriteString(w, "buffered")
			close(returned)
		})),
	}
	go func() { _ = s.Serve(a) }()
	t.Cleanup(func() { _ = s.Close() })
	assert.Equal(t, a.Responding(), 0)
	_, err := io.WriteString(client, "GET / HTTP/1.1\r\nHost: x\r\n\r\n")
	assert.NilError(t, err)
	<-returned
	time.Sleep(50 * time.Millisecond)
	assert.Equal(t, a.Responding(), 1)
	r, err := http.ReadResponse(bufio.NewReader(client), nil)
	assert.NilError(t, err)
	assert.NilError(t, r.Body.Close())
	waitFor(t, func() bool { return a.Responding() == 0 })
}
