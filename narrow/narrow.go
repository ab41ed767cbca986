// Package narrow opens connections with a small receive buffer, for tests: most of a
// response waits at its sender until it's read, as on a link with a small window.
package narrow

import (
	"context"
	"net"
	"syscall"
	"time"

	"github.com/pkg/errors"
)

const (
	receiveBytes = 4 << 10
	dialTimeout  = 5 * time.Second
)

// Dial connects to a host:port address over TCP. It returns an error if that fails, or if
// the buffer can't be set.
func Dial(ctx context.Context, address string) (net.Conn, error) {
	d := net.Dialer{Timeout: dialTimeout, ControlContext: limitBuffer}
	c, err := d.DialContext(ctx, "tcp", address)
	return c, errors.Wrap(err, "narrow")
}

// limitBuffer sets the buffer of a socket, which must not be connected yet.
func limitBuffer(_ context.Context, _, _ string, raw syscall.RawConn) error {
	var setErr error
	err := raw.Control(func(fd uintptr) {
		setErr = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, receiveBytes)
	})
	if err != nil {
		return err
	}
	return setErr
}
