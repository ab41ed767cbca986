// Package socket detects that the peer of a served request has closed its
// connection, even if the process was suspended and the server hasn't noticed.
package socket

import (
	"context"
	"net"
	"net/http"
	"syscall"
)

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

// ClosedByPeer reports whether the sender of the request has closed its
// connection. The request's body must have been read.
func ClosedByPeer(r *http.Request) bool {
	if r.Context().Err() != nil {
		return true
	}
	s, ok := r.Context().Value(key{}).(*Socket)
	return ok && s.closed()
}

// closed peeks at the socket without consuming bytes from it.
func (s *Socket) closed() bool {
	closed := false
	// Control suffices, as the non-blocking call never waits for readiness.
	err := s.raw.Control(func(fd uintptr) {
		var buffer [1]byte
		n, _, err := syscall.Recvfrom(int(fd), buffer[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		closed = n == 0 && err == nil || err == syscall.ECONNRESET
	})
	return err != nil || closed
}
