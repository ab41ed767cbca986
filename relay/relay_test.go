package relay_test

import (
	"bytes"
	"io"
	"net"
	"os"
	"testing"
	"time"

	"go.uber.org/goleak"
	"gotest.tools/v3/assert"

	"bergamotloom.example/relay"
)

const (
	quiet = 60 * time.Millisecond
	// patience is for answers that must come; no time is promised for them.
	patience = 5 * time.Second
)

// echo starts a relay to a server that sends back what it gets.
func echo(t *testing.T) *relay.Relay {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0") //nolint:noctx // test
	assert.NilError(t, err)
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				_, _ = io.Copy(c, c)
				_ = c.Close()
			}()
		}
	}()
	r, err := relay.New("127.0.0.1:0", listener.Addr().String())
	assert.NilError(t, err)
	t.Cleanup(func() {
		r.Close()
		assert.NilError(t, listener.Close())
		goleak.VerifyNone(t)
	})
	return r
}

func dial(t *testing.T, r *relay.Relay) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp", r.Address()) //nolint:noctx // test
	assert.NilError(t, err)
	t.Cleanup(func() { _ = c.Close() })
	return c
}

// exchange sends bytes and returns what came back within the wait.
func exchange(t *testing.T, c net.Conn, n int, wait time.Duration) ([]byte, error) {
	t.Helper()
	_, err := c.Write(make([]byte, n))
	assert.NilError(t, err)
	assert.NilError(t, c.SetReadDeadline(time.Now().Add(wait)))
	var got bytes.Buffer
	_, err = io.CopyN(&got, c, int64(n))
	return got.Bytes(), err
}

func TestPresentConnectionsAreCutResetOrSilencedAndNewOnesWork(t *testing.T) {
	r := echo(t)
	for _, a := range []struct {
		do    func()
		check func(error)
	}{
		{func() { r.Apply(relay.Cut) }, func(err error) { assert.ErrorIs(t, err, io.EOF) }},
		{func() { r.Apply(relay.Reset) }, func(err error) { assert.ErrorContains(t, err, "reset") }},
		{func() { r.Apply(relay.Silence) }, func(err error) { assert.ErrorIs(t, err, os.ErrDeadlineExceeded) }},
	} {
		c := dial(t, r)
		_, err := exchange(t, c, 10, patience)
		assert.NilError(t, err)
		a.do()
		assert.NilError(t, c.SetReadDeadline(time.Now().Add(quiet)))
		_, err = c.Read(make([]byte, 1))
		a.check(err)
		_, err = exchange(t, dial(t, r), 10, patience)
		assert.NilError(t, err)
	}
	assert.Equal(t, r.Accepted(), int64(6))
}

func TestConnectionEndsAfterExactlyThatManyBytes(t *testing.T) {
	r := echo(t)
	c := dial(t, r)
	_, err := exchange(t, c, 500, patience)
	assert.NilError(t, err)
	r.ApplyAfter(relay.Down, 100_000, relay.Cut)
	for _, conn := range []net.Conn{c, dial(t, r)} {
		got, _ := exchange(t, conn, 300_000, patience)
		assert.Equal(t, len(got), 100_000)
	}
	r.ClearApplyAfter()
	_, err = exchange(t, dial(t, r), 300_000, patience)
	assert.NilError(t, err)
}

func TestHeldAndDelayedConnections(t *testing.T) {
	r := echo(t)
	r.SilenceNew(true)
	held := dial(t, r)
	_, err := exchange(t, held, 10, quiet)
	assert.ErrorIs(t, err, os.ErrDeadlineExceeded)
	r.SilenceNew(false)
	r.Delay(20 * time.Millisecond)
	start := time.Now()
	_, err = exchange(t, dial(t, r), 10, patience)
	assert.NilError(t, err)
	assert.Assert(t, time.Since(start) >= 40*time.Millisecond)
}
