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

// serve answers each connection by the script: one text for each request head
// that comes in; the connection is closed after the last one.
func serve(t *testing.T, script ...string) (address string, opened func() int) {
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
			go play(c, script)
		}
	}()
	return l.Addr().String(), func() int { return len(count) }
}

func play(c net.Conn, script []string) {
	defer func() { _ = c.Close() }()
	r := bufio.NewReader(c)
	for _, text := range script {
		if _, err := http.ReadRequest(r); err != nil {
			return
		}
		if _, err := io.WriteString(c, text); err != nil {
			return
		}
	}
}

func answer(id, body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nId: %s\r\nContent-Length: %d\r\n\r\n%s", id, len(body), body)
}

func head(id string) []byte {
	return []byte("GET / HTTP/1.1\r\nHost: x\r\nId: " + id + "\r\n\r\n")
}

// ask sends a request and returns the body of its answer.
func ask(t *testing.T, p *conns.Conns, c clock.Clock, id string) (string, bool, error) {
	t.Helper()
	a, done, sent, err := p.Do(t.Context(), http.MethodGet, head(id), nil,
		func(a *http.Response) bool { return a.Header.Get("Id") == id }, c.Fine()+1000)
	if err != nil {
		return "", sent, err
	}
	body, err := io.ReadAll(a.Body)
	assert.NilError(t, a.Body.Close())
	done(err == nil)
	return string(body), sent, err
}

func TestConnectionIsKept(t *testing.T) {
	address, opened := serve(t, answer("a", "one"), answer("b", "two"))
	c := clock.New()
	p := conns.New(address, c, 10_000)
	for id, want := range map[string]string{"a": "one"} {
		got, _, err := ask(t, p, c, id)
		assert.NilError(t, err)
		assert.Equal(t, got, want)
	}
	got, _, err := ask(t, p, c, "b")
	assert.NilError(t, err)
	assert.Equal(t, got, "two")
	assert.Equal(t, opened(), 1)
}

func TestLateAnswerOfAnotherRequestIsPassedOver(t *testing.T) {
	address, _ := serve(t, answer("earlier", "theirs")+answer("a", "ours"))
	c := clock.New()
	got, _, err := ask(t, conns.New(address, c, 10_000), c, "a")
	assert.NilError(t, err)
	assert.Equal(t, got, "ours")
}

func TestInterimAnswersArePassedOver(t *testing.T) {
	address, _ := serve(t, "HTTP/1.1 103 Early Hints\r\n\r\n"+answer("a", "ours"))
	c := clock.New()
	got, _, err := ask(t, conns.New(address, c, 10_000), c, "a")
	assert.NilError(t, err)
	assert.Equal(t, got, "ours")
}

func TestConnectionWithBytesTooManyIsNotUsedAgain(t *testing.T) {
	address, opened := serve(t, answer("a", "one")+"surplus", answer("b", "never"))
	c := clock.New()
	p := conns.New(address, c, 10_000)
	_, _, err := ask(t, p, c, "a")
	assert.NilError(t, err)
	time.Sleep(20 * time.Millisecond)
	_, _, err = ask(t, p, c, "b")
	assert.ErrorContains(t, err, "waiting")
	assert.Equal(t, opened(), 2)
}

func TestClosedAndOldConnectionsAreNotUsedAgain(t *testing.T) {
	address, opened := serve(t, answer("a", "one"))
	c := clock.New()
	p := conns.New(address, c, 10_000)
	for range 3 {
		got, _, err := ask(t, p, c, "a")
		assert.NilError(t, err)
		assert.Equal(t, got, "one")
		time.Sleep(20 * time.Millisecond)
	}
	assert.Equal(t, opened(), 3)

	address, opened = serve(t, answer("a", "one"), answer("a", "one"))
	manual, advance := clock.NewManual(0)
	p = conns.New(address, manual, 1000)
	for range 2 {
		_, _, err := ask(t, p, manual, "a")
		assert.NilError(t, err)
		advance(1500)
	}
	assert.Equal(t, opened(), 2)
}

func TestKeepAliveOfTheOtherSideBounds(t *testing.T) {
	kept := "HTTP/1.1 200 OK\r\nId: a\r\nKeep-Alive: timeout=2\r\nContent-Length: 0\r\n\r\n"
	address, opened := serve(t, kept, kept)
	c, advance := clock.NewManual(0)
	p := conns.New(address, c, 10_000)
	for range 2 {
		_, _, err := ask(t, p, c, "a")
		assert.NilError(t, err)
		advance(1500)
	}
	assert.Equal(t, opened(), 2)
}

func TestItTellsWhetherARequestWasSent(t *testing.T) {
	l, err := new(net.ListenConfig).Listen(t.Context(), "tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	nobody := l.Addr().String()
	assert.NilError(t, l.Close())
	c := clock.New()
	_, sent, err := ask(t, conns.New(nobody, c, 1000), c, "a")
	assert.ErrorContains(t, err, "connecting")
	assert.Assert(t, !sent)

	address, _ := serve(t)
	_, sent, err = ask(t, conns.New(address, c, 1000), c, "a")
	assert.Assert(t, err != nil)
	assert.Assert(t, sent)
}

func TestCancelledRequestEndsItsConnection(t *testing.T) {
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
	taken := func(*http.Response) bool { return true }
	_, _, sent, err := conns.New(l.Addr().String(), c, 1000).Do(ctx, http.MethodGet, head("a"), nil, taken, c.Fine()+5000) //nolint:bodyclose // There's no answer.
	assert.Assert(t, err != nil && sent)
	assert.Equal(t, <-ended, io.EOF)
}

func TestAnswerBeforeALongBodyIsSentEndsTheConnection(t *testing.T) {
	address, opened := serve(t, answer("a", "early"), answer("a", "second"))
	c := clock.New()
	p := conns.New(address, c, 10_000)
	stuck := make(chan struct{})
	defer close(stuck)
	request := []byte("POST / HTTP/1.1\r\nHost: x\r\nId: a\r\nContent-Length: 5\r\n\r\n")
	hang := func(io.Writer) error {
		<-stuck
		return nil
	}
	taken := func(*http.Response) bool { return true }
	a, done, _, err := p.Do(t.Context(), http.MethodPost, request, hang, taken, c.Fine()+1000)
	assert.NilError(t, err)
	_, err = io.Copy(io.Discard, a.Body)
	assert.NilError(t, err)
	assert.NilError(t, a.Body.Close())
	done(true)
	_, _, err = ask(t, p, c, "a")
	assert.NilError(t, err)
	assert.Equal(t, opened(), 2)
}

func TestConnectionsThatArentNeededAnyMoreAreClosed(t *testing.T) {
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
					// Two requests are open at once, so there are two connections.
					time.Sleep(30 * time.Millisecond)
					_, _ = io.WriteString(c, answer("a", "x"))
				}
			}()
		}
	}()
	manual, advance := clock.NewManual(0)
	p := conns.New(l.Addr().String(), manual, 1000)
	both := make(chan error, 2)
	for range 2 {
		go func() {
			_, _, err := ask(t, p, manual, "a")
			both <- err
		}()
	}
	assert.NilError(t, <-both)
	assert.NilError(t, <-both)
	advance(700)
	_, _, err = ask(t, p, manual, "a")
	assert.NilError(t, err)
	advance(700)
	_, _, err = ask(t, p, manual, "a")
	assert.NilError(t, err)
	select {
	case <-closed:
	case <-time.After(2 * time.Second):
		t.Fatal("the second connection is still open")
	}
}
