package accept_test

import (
	"bytes"
	"log/slog"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/pkg/errors"
	"gotest.tools/v3/assert"

	"bergamotloom.example/accept"
	"bergamotloom.example/clock"
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
	a := accept.New(listen(t), "callers", clock.New(), slog.New(slog.DiscardHandler))
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
	a := accept.New(&fakeListener{results: results}, "callers", c, slog.New(slog.NewJSONHandler(log, nil)))
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
		a := accept.New(&failingListener{Listener: listen(t), failure: failure}, "callers", clock.New(), slog.New(slog.DiscardHandler))
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
