// Package socket detects that the peer of a served request has closed its
// connection, even if the process was suspended and the server hasn't noticed, or if
// further requests are behind the one that is served.
package socket

import (
	"context"
	"net"
	"net/http"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"bergamotloom.example/pause"
)

// watchInterval is the time between two looks at the connection of a request. A caller
// may expect that nothing of its requests begins later than half a second after it has
// closed their connection.
const watchInterval = 100 * time.Millisecond

// Socket is the connection of a served request.
type Socket struct {
	raw syscall.RawConn
}

type key struct{}

// Context stores the connection in the context of the requests that arrive on
// it. It's used as the ConnContext of an HTTP server.
func Context(ctx context.Context, c net.Conn) context.Context {
	tcp, ok := c.(syscall.Conn)
	if !ok {
		return ctx
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return ctx
	}
	return context.WithValue(ctx, key{}, &Socket{raw: raw})
}

// Watch returns a handler that ends the context of a request once its sender has closed
// the connection. The server notices that by itself only while it has received nothing
// behind the request: it reads no more than a byte ahead.
func Watch(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s, ok := r.Context().Value(key{}).(*Socket)
		if !ok {
			h.ServeHTTP(w, r)
			return
		}
		ctx, cancel := context.WithCancel(r.Context())
		defer cancel()
		// Most requests end before the first look.
		timer := time.AfterFunc(watchInterval, func() {
			for !s.closed() && pause.For(ctx, watchInterval) {
			}
			cancel()
		})
		defer timer.Stop()
		h.ServeHTTP(w, r.WithContext(ctx))
	})
}

// ClosedByPeer reports whether the sender of the request has closed its
// connection.
func ClosedByPeer(r *http.Request) bool {
	if r.Context().Err() != nil {
		return true
	}
	s, ok := r.Context().Value(key{}).(*Socket)
	return ok && s.closed()
}

// closed looks at the state of the socket. Peeking at its bytes would miss a close behind
// bytes that weren't read yet.
func (s *Socket) closed() bool {
	closed := false
	// Control suffices, as the non-blocking call never waits for readiness.
	err := s.raw.Control(func(fd uintptr) {
		// The kernel reports POLLHUP and POLLERR without being asked.
		state := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLRDHUP}} //nolint:gosec // The kernel's descriptors fit.
		n, err := unix.Poll(state, 0)
		closed = err == nil && n > 0 && state[0].Revents&(unix.POLLRDHUP|unix.POLLHUP|unix.POLLERR) != 0
	})
	return err != nil || closed
}
