// Package guard bounds the memory that the heads of requests take on all connections
// together, also while they're still being read.
package guard

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/pkg/errors"
)

const (
	// lineBytes is what a parsed header takes beside its own bytes: its place in a map
	// and a slice of one value.
	lineBytes = 128
	// uncountedBytes of a head don't count towards the bound, so that usual heads are
	// read also while long ones take all of it. The number of connections bounds them.
	uncountedBytes = 8 << 10
	// discardTimeout and maxDiscardedBytes bound how much of a refused head is read, so
	// that its sender gets the refusal before the connection is reset.
	discardTimeout    = 500 * time.Millisecond
	maxDiscardedBytes = 256 << 10
)

// errFull ends a connection. net/http closes a connection without a further response if
// reading fails with an error of the network.
var errFull = &net.OpError{Op: "read", Net: "tcp", Err: errors.New("guard: heads of other requests take all the memory for them")}

// Guard counts what heads take. It's safe for concurrent use.
type Guard struct {
	maxBytes int64
	refusal  string
	held     atomic.Int64
	refused  atomic.Int64
}

// New returns a guard that lets heads take up to maxBytes, and answers others with the
// refusal, a whole response.
func New(maxBytes int64, refusal string) *Guard {
	return &Guard{maxBytes: maxBytes, refusal: refusal}
}

// HeldBytes returns how much memory heads take, without those parts that don't count.
func (g *Guard) HeldBytes() int64 {
	return g.held.Load()
}

// Refused returns how many heads were refused.
func (g *Guard) Refused() int64 {
	return g.refused.Load()
}

// Listen returns the listener with connections whose heads are counted, if it's one for
// TCP. The server of the port must have been given to Watch.
func (g *Guard) Listen(l net.Listener) net.Listener {
	if tcp, ok := l.(tcpListener); ok {
		return &listener{tcp, g}
	}
	return l
}

// tcpListener has the methods of a listener for TCP that its users need.
type tcpListener interface {
	net.Listener
	syscall.Conn
}

// tcpConn has the methods of a connection over TCP that its users need.
type tcpConn interface {
	net.Conn
	syscall.Conn
	io.ReaderFrom
	CloseWrite() error
	SetLinger(seconds int) error
}

type key struct{}

// Watch adds to the handler and the callbacks of a server what tells where the heads on its
// connections begin and end. It must be called before the server is used.
func (g *Guard) Watch(s *http.Server) {
	connState, connContext, handler := s.ConnState, s.ConnContext, s.Handler
	s.ConnState = func(c net.Conn, state http.ConnState) {
		if counted, ok := c.(*conn); ok && (state == http.StateIdle || state == http.StateClosed) {
			counted.reset()
		}
		if connState != nil {
			connState(c, state)
		}
	}
	s.ConnContext = func(ctx context.Context, c net.Conn) context.Context {
		if connContext != nil {
			ctx = connContext(ctx, c)
		}
		return context.WithValue(ctx, key{}, c)
	}
	s.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if c, ok := r.Context().Value(key{}).(*conn); ok {
			c.endHead()
		}
		handler.ServeHTTP(w, r)
	})
}

type listener struct {
	tcpListener
	guard *Guard
}

// Accept waits for the next connection.
func (l *listener) Accept() (net.Conn, error) {
	c, err := l.tcpListener.Accept()
	if err != nil {
		return nil, err
	}
	tcp, ok := c.(tcpConn)
	if !ok {
		return c, nil
	}
	return &conn{tcpConn: tcp, guard: l.guard}, nil
}

// conn counts the head of the request that is being read.
type conn struct {
	tcpConn
	guard *Guard

	mutex sync.Mutex
	// bytes is what the head takes so far, counted the part that counts.
	bytes   int64
	counted int64
	// hasText says that the present line isn't empty, hasEnded that the head has ended.
	hasText  bool
	hasEnded bool
}

// Read reads from the connection. It fails if the head takes more than the bound allows,
// once the sender was told.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.tcpConn.Read(p)
	if c.count(p[:n]) {
		return n, err
	}
	c.guard.refused.Add(1)
	if _, err := io.WriteString(c.tcpConn, c.guard.refusal); err == nil {
		_ = c.CloseWrite()
		_ = c.SetReadDeadline(time.Now().Add(discardTimeout))
		_, _ = io.CopyN(io.Discard, c.tcpConn, maxDiscardedBytes)
	}
	return 0, errFull
}

// count takes in what was read, and reports whether the bound allows it.
func (c *conn) count(read []byte) bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	for len(read) > 0 && !c.hasEnded {
		end := bytes.IndexByte(read, '\n') + 1
		line := read[:end]
		if end == 0 {
			line = read
		}
		read = read[len(line):]
		c.bytes += int64(len(line))
		c.hasText = c.hasText || len(bytes.TrimRight(line, "\r\n")) > 0
		if end == 0 {
			break
		}
		c.hasEnded = !c.hasText
		c.hasText = false
		c.bytes += lineBytes
	}
	more := max(c.bytes-uncountedBytes, 0) - c.counted
	if more <= 0 {
		return true
	}
	if c.guard.held.Add(more) > c.guard.maxBytes {
		c.guard.held.Add(-more)
		return false
	}
	c.counted += more
	return true
}

// endHead ends the head of a request that is being handled, also if its end was read
// together with the request before it: what follows is its body.
func (c *conn) endHead() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.hasEnded = true
}

// reset ends the count of a head; the next one may follow.
func (c *conn) reset() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.guard.held.Add(-c.counted)
	c.bytes, c.counted, c.hasText, c.hasEnded = 0, 0, false, false
}
