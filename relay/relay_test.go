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
	silenceTimeout = 60 * time.Millisecond
	// responseTimeout is for responses that must come. It's long, so that a busy
	// machine doesn't fail the test.
	responseTimeout = 5 * time.Second
)

// startEchoRelay starts a relay to a server that sends back what it receives.
func startEchoRelay(t *testing.T) *relay.Relay {
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

// exchange sends n bytes and returns those that come back before the timeout.
func exchange(t *testing.T, c net.Conn, n int, timeout time.Duration) ([]byte, error) {
	t.Helper()
	_, err := c.Write(make([]byte, n))
	assert.NilError(t, err)
	assert.NilError(t, c.SetReadDeadline(time.Now().Add(timeout)))
	var got bytes.Buffer
	_, err = io.CopyN(&got, c, int64(n))
	return got.Bytes(), err
}

func TestOpenConnectionsAreCutResetOrSilencedAndNewOnesWork(t *testing.T) {
	r := startEchoRelay(t)
	for _, c := range []struct {
		apply func()
		check func(error)
	}{
		{func() { r.Apply(relay.Cut) }, func(err error) { assert.ErrorIs(t, err, io.EOF) }},
		{func() { r.Apply(relay.Reset) }, func(err error) { assert.ErrorContains(t, err, "reset") }},
		{func() { r.Apply(relay.Silence) }, func(err error) { assert.ErrorIs(t, err, os.ErrDeadlineExceeded) }},
	} {
		conn := dial(t, r)
		_, err := exchange(t, conn, 10, responseTimeout)
		assert.NilError(t, err)
		c.apply()
		assert.NilError(t, conn.SetReadDeadline(time.Now().Add(silenceTimeout)))
		_, err = conn.Read(make([]byte, 1))
		c.check(err)
		_, err = exchange(t, dial(t, r), 10, responseTimeout)
		assert.NilError(t, err)
	}
	assert.Equal(t, r.Accepted(), int64(6))
}

func TestActionAppliesAfterExactlyTheGivenBytes(t *testing.T) {
	r := startEchoRelay(t)
	c := dial(t, r)
	_, err := exchange(t, c, 500, responseTimeout)
	assert.NilError(t, err)
	r.ApplyAfter(relay.Down, 100_000, relay.Cut)
	for _, conn := range []net.Conn{c, dial(t, r)} {
		got, _ := exchange(t, conn, 300_000, responseTimeout)
		assert.Equal(t, len(got), 100_000)
	}
	r.ClearApplyAfter()
	_, err = exchange(t, dial(t, r), 300_000, responseTimeout)
	assert.NilError(t, err)
}

func TestSilencedAndDelayedNewConnections(t *testing.T) {
	r := startEchoRelay(t)
	r.SilenceNew(true)
	silenced := dial(t, r)
	_, err := exchange(t, silenced, 10, silenceTimeout)
	assert.ErrorIs(t, err, os.ErrDeadlineExceeded)
	r.SilenceNew(false)
	r.Delay(20 * time.Millisecond)
	start := time.Now()
	_, err = exchange(t, dial(t, r), 10, responseTimeout)
	assert.NilError(t, err)
	// 20 ms in each direction.
	assert.Assert(t, time.Since(start) >= 40*time.Millisecond)
}
