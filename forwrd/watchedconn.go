package forwrd

import (
	"net"
	"sync/atomic"

	"github.com/pkg/errors"

	"bergamotloom.example/clock"
)

// watched is a connection that knows which side ended it.
type watched struct {
	net.Conn
	clock  clock.Clock
	readAt atomic.Int64
	// broke says that the other side ended it, closed that this side did.
	broke  atomic.Bool
	closed atomic.Bool
}

func watch(conn net.Conn, c clock.Clock) *watched {
	w := &watched{Conn: conn, clock: c}
	w.readAt.Store(c.Now())
	return w
}

// Read takes note of signs of life.
func (w *watched) Read(b []byte) (int, error) {
	n, err := w.Conn.Read(b)
	if n > 0 {
		w.readAt.Store(w.clock.Now())
	}
	if err != nil && !errors.Is(err, net.ErrClosed) {
		w.broke.Store(true)
	}
	return n, err
}

// Close ends the connection from this side.
func (w *watched) Close() error {
	w.closed.Store(true)
	return w.Conn.Close()
}

// silent tells, of a connection on which a request failed, that the other side
// didn't end it: either this side closed it, or it's about to, as nothing came.
func (w *watched) silent() bool {
	if w.broke.Load() {
		return false
	}
	return w.closed.Load() || w.clock.Since(w.readAt.Load()) >= SilenceMillis
}
