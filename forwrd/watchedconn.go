package forwrd

import (
	"net"
	"sync/atomic"

	"github.com/pkg/errors"

	"bergamotloom.example/clock"
)

// watchedConn is a connection that records which side ended it.
type watchedConn struct {
	net.Conn
	clock          clock.Clock
	lastReadMillis atomic.Int64
	// endedByPeer says that the peer ended the connection, closedLocally that
	// this side did.
	endedByPeer   atomic.Bool
	closedLocally atomic.Bool
}

func watchConn(conn net.Conn, c clock.Clock) *watchedConn {
	w := &watchedConn{Conn: conn, clock: c}
	w.lastReadMillis.Store(c.Now())
	return w
}

// Read records when data last arrived and whether the peer ended the
// connection.
func (w *watchedConn) Read(b []byte) (int, error) {
	n, err := w.Conn.Read(b)
	if n > 0 {
		w.lastReadMillis.Store(w.clock.Now())
	}
	if err != nil && !errors.Is(err, net.ErrClosed) {
		w.endedByPeer.Store(true)
	}
	return n, err
}

// Close closes the connection from this side.
func (w *watchedConn) Close() error {
	w.closedLocally.Store(true)
	return w.Conn.Close()
}

// notEndedByPeer reports whether a failed request's connection was closed by
// this side, or will be because nothing arrived for SilenceMillis.
func (w *watchedConn) notEndedByPeer() bool {
	if w.endedByPeer.Load() {
		return false
	}
	return w.closedLocally.Load() || w.clock.Since(w.lastReadMillis.Load()) >= SilenceMillis
}
