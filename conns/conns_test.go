package conns_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"bergamotloom.example/clock"
	"bergamotloom.example/conns"
)

// serve starts a server that sends, on each connection, one of the texts for
// each request header received, and closes the connection after the last one.
func serve(t *testing.T, texts ...string) (address string, opened func() int) {
	t.Helper()
	l, err := new(net.ListenConfig).Listen(t.Context(), "tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	count := make(chan int, 100)
	go func() {
		for n := 1; ; n++ {
			c, err := l.Accept()
			if err != nil {
				return
			}
			count <- n
			go serveConnection(c, texts)
		}
	}()
	return l.Addr().String(), func() int { return len(count) }
}

func serveConnection(c net.Conn, texts []string) {
	defer func() { _ = c.Close() }()
	r := bufio.NewReader(c)
	for _, text := range texts {
		if _, err := http.ReadRequest(r); err != nil {
			return
		}
		if _, err := io.WriteString(c, text); err != nil {
			return
		}
	}
}

func response(id, body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nId: %s\r\nContent-Length: %d\r\n\r\n%s", id, len(body), body)
}

func header(id string) []byte {
	return []byte("GET / HTTP/1.1\r\nHost: x\r\nId: " + id + "\r\n\r\n")
}

// send sends a request and returns the body of its response.
func send(t *testing.T, p *conns.Conns, c clock.Clock, id string) (string, bool, error) {
	t.Helper()
	r, done, sent, err := p.Do(t.Context(), http.MethodGet, header(id), nil,
		func(r *http.Response, _ bool) bool { return r.Header.Get("Id") == id }, c.Fine()+1000)
	if err != nil {
		return "", sent, err
	}
	body, err := io.ReadAll(r.Body)
	assert.NilError(t, r.Body.Close())
	done(err == nil)
	return string(body), sent, err
}

func TestConnectionIsReused(t *testing.T) {
	address, opened := serve(t, response("a", "one"), response("b", "two"))
	c := clock.New()
	p := conns.New(address, c, 10_000)
	for id, want := range map[string]string{"a": "one"} {
		got, _, err := send(t, p, c, id)
		assert.NilError(t, err)
		assert.Equal(t, got, want)
	}
	got, _, err := send(t, p, c, "b")
	assert.NilError(t, err)
	assert.Equal(t, got, "two")
	assert.Equal(t, opened(), 1)
}

func TestSkipsLateResponsesToOtherRequests(t *testing.T) {
	address, _ := serve(t, response("earlier", "theirs")+response("a", "ours"))
	c := clock.New()
	got, _, err := send(t, conns.New(address, c, 10_000), c, "a")
	assert.NilError(t, err)
	assert.Equal(t, got, "ours")
}

func TestSkipsInterimResponses(t *testing.T) {
	address, _ := serve(t, "HTTP/1.1 103 Early Hints\r\n\r\n"+response("a", "ours"))
	c := clock.New()
	got, _, err := send(t, conns.New(address, c, 10_000), c, "a")
	assert.NilError(t, err)
	assert.Equal(t, got, "ours")
}

func TestConnectionWithSurplusBytesIsNotReused(t *testing.T) {
	address, opened := serve(t, response("a", "one")+"surplus", response("b", "never"))
	c := clock.New()
	p := conns.New(address, c, 10_000)
	_, _, err := send(t, p, c, "a")
	assert.NilError(t, err)
	time.Sleep(20 * time.Millisecond)
	_, _, err = send(t, p, c, "b")
	assert.ErrorContains(t, err, "waiting")
	assert.Equal(t, opened(), 2)
}

func TestClosedAndExpiredConnectionsAreNotReused(t *testing.T) {
	address, opened := serve(t, response("a", "one"))
	c := clock.New()
	p := conns.New(address, c, 10_000)
	for range 3 {
		got, _, err := send(t, p, c, "a")
		assert.NilError(t, err)
		assert.Equal(t, got, "one")
		time.Sleep(20 * time.Millisecond)
	}
	assert.Equal(t, opened(), 3)

	address, opened = serve(t, response("a", "one"), response("a", "one"))
	manual, advance := clock.NewManual(0)
	p = conns.New(address, manual, 1000)
	for range 2 {
		_, _, err := send(t, p, manual, "a")
		assert.NilError(t, err)
		advance(1500)
	}
	assert.Equal(t, opened(), 2)
}

func TestKeepAliveHeaderLimitsReuse(t *testing.T) {
	withTimeout := "HTTP/1.1 200 OK\r\nId: a\r\nKeep-Alive: timeout=2\r\nContent-Length: 0\r\n\r\n"
	address, opened := serve(t, withTimeout, withTimeout)
	c, advance := clock.NewManual(0)
	p := conns.New(address, c, 10_000)
	for range 2 {
		_, _, err := send(t, p, c, "a")
		assert.NilError(t, err)
		advance(1500)
	}
	assert.Equal(t, opened(), 2)
}

func TestReportsWhetherRequestWasSent(t *testing.T) {
	l, err := new(net.ListenConfig).Listen(t.Context(), "tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	unused := l.Addr().String()
	assert.NilError(t, l.Close())
	c := clock.New()
	_, sent, err := send(t, conns.New(unused, c, 1000), c, "a")
	assert.ErrorContains(t, err, "connecting")
	assert.Assert(t, !sent)

	address, _ := serve(t)
	_, sent, err = send(t, conns.New(address, c, 1000), c, "a")
	assert.Assert(t, err != nil)
	assert.Assert(t, sent)
}

func TestCancelledRequestClosesItsConnection(t *testing.T) {
	l, err := new(net.ListenConfig).Listen(t.Context(), "tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer func() { _ = l.Close() }()
	ended := make(chan error, 1)
	ctx, cancel := context.WithCancel(t.Context())
	go func() {
		c, err := l.Accept()
		if err != nil {
			return
		}
		r := bufio.NewReader(c)
		if _, err := http.ReadRequest(r); err == nil {
			cancel()
		}
		_, err = r.ReadByte()
		ended <- err
	}()
	c := clock.New()
	matches := func(*http.Response, bool) bool { return true }
	_, _, sent, err := conns.New(l.Addr().String(), c, 1000).Do(ctx, http.MethodGet, header("a"), nil, matches, c.Fine()+5000) //nolint:bodyclose // There's no response.
	assert.Assert(t, err != nil && sent)
	assert.Equal(t, <-ended, io.EOF)
}

func TestResponseBeforeBodyIsSentClosesTheConnection(t *testing.T) {
	address, opened := serve(t, response("a", "early"), response("a", "second"))
	c := clock.New()
	p := conns.New(address, c, 10_000)
	release := make(chan struct{})
	defer close(release)
	request := []byte("POST / HTTP/1.1\r\nHost: x\r\nId: a\r\nContent-Length: 5\r\n\r\n")
	blocked := func(io.Writer) error {
		<-release
		return nil
	}
	matches := func(*http.Response, bool) bool { return true }
	r, done, _, err := p.Do(t.Context(), http.MethodPost, request, blocked, matches, c.Fine()+1000)
	assert.NilError(t, err)
	_, err = io.Copy(io.Discard, r.Body)
	assert.NilError(t, err)
	assert.NilError(t, r.Body.Close())
	done(true)
	_, _, err = send(t, p, c, "a")
	assert.NilError(t, err)
	assert.Equal(t, opened(), 2)
}

func TestUnusedConnectionsAreClosed(t *testing.T) {
	l, err := new(net.ListenConfig).Listen(t.Context(), "tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer func() { _ = l.Close() }()
	closed := make(chan struct{}, 10)
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				r := bufio.NewReader(c)
				for {
					if _, err := http.ReadRequest(r); err != nil {
						closed <- struct{}{}
						return
					}
					// The delay keeps both requests in flight, so that there
					// are two connections.
					time.Sleep(30 * time.Millisecond)
					_, _ = io.WriteString(c, response("a", "x"))
				}
			}()
		}
	}()
	manual, advance := clock.NewManual(0)
	p := conns.New(l.Addr().String(), manual, 1000)
	errs := make(chan error, 2)
	for range 2 {
		go func() {
			_, _, err := send(t, p, manual, "a")
			errs <- err
		}()
	}
	assert.NilError(t, <-errs)
	assert.NilError(t, <-errs)
	advance(700)
	_, _, err = send(t, p, manual, "a")
	assert.NilError(t, err)
	advance(700)
	_, _, err = send(t, p, manual, "a")
	assert.NilError(t, err)
	select {
	case <-closed:
	case <-time.After(2 * time.Second):
		t.Fatal("the second connection is still open")
	}
}
