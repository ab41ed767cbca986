// Package peeked tells whether the other side of a served request has gone,
// also when the process was held up and the server hasn't noticed yet.
package peeked

import (
	"context"
	"net"
	"net/http"
	"syscall"
)

// Peeked holds the connection of a served request.
type Peeked struct {
	raw syscall.RawConn
}

type key struct{}

// Context keeps the connection for the requests that come in on it. It's a
// server's ConnContext.
func Context(ctx context.Context, c net.Conn) context.Context {
	tcp, ok := c.(*net.TCPConn)
	if !ok {
		return ctx
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return ctx
	}
	return context.WithValue(ctx, key{}, &Peeked{raw: raw})
}

// Gone tells whether the sender of the request has closed its connection. The
// request's body must have been read.
func Gone(r *http.Request) bool {
	if r.Context().Err() != nil {
		return true
	}
	p, ok := r.Context().Value(key{}).(*Peeked)
	return ok && p.gone()
}

// gone looks at the socket without taking bytes from it.
func (p *Peeked) gone() bool {
	gone := false
	// Control is enough: the look never waits.
	err := p.raw.Control(func(fd uintptr) {
		var one [1]byte
		n, _, err := syscall.Recvfrom(int(fd), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		gone = n == 0 && err == nil || err == syscall.ECONNRESET
	})
	return err != nil || gone
}
