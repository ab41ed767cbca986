// Package linger closes connections so that their peers receive all that was sent to
// them. A socket that is closed with unread bytes resets its connection, and drops what
// the peer hasn't received yet. These connections end their sending side first, and go on
// reading until the peer has closed too, as RFC 9112, section 9.6, recommends.
package linger

import (
	"container/list"
	"context"
	"io"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"
)

const (
	// lingerTimeout bounds how long a connection lingers.
	lingerTimeout = 30 * time.Second
	// stallTimeout is how long a connection lingers if its peer doesn't receive any more.
	stallTimeout = 5 * time.Second
	// receivedTimeout is how long it lingers once its peer has received everything. Some
	// systems drop received bytes that weren't read when a reset arrives.
	receivedTimeout = 500 * time.Millisecond
	// checkInterval is the time between two checks of what the peer has received.
	checkInterval = 100 * time.Millisecond
	discardBytes  = 4 << 10
	// closedPerError is how many lingering connections are closed if none can be
	// accepted, which in most cases says that no descriptor is left.
	closedPerError = 8
)

// Linger closes the connections of its listeners. It's safe for concurrent use.
type Linger struct {
	maxOpen int

	mutex sync.Mutex
	// open is how many connections hold a descriptor, lingering ones too.
	open int
	// lingering has the lingering connections, those first that began first.
	lingering *list.List
	lingered  int64
	cut       int64
}

// New returns a Linger that closes those connections at once that have lingered for
// longest while more than maxOpen connections are open, lingering ones included.
func New(maxOpen int) *Linger {
	return &Linger{maxOpen: maxOpen, lingering: list.New()}
}

// Counts returns how many connections linger, how many have lingered since the start, and
// how many of these were closed before their peers had received everything.
func (l *Linger) Counts() (lingering int, lingered, cut int64) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.lingering.Len(), l.lingered, l.cut
}

// Wait waits until no connection lingers, or until the context ends.
func (l *Linger) Wait(ctx context.Context) {
	t := time.NewTicker(checkInterval / 10)
	defer t.Stop()
	for {
		if lingering, _, _ := l.Counts(); lingering == 0 {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
	}
}

// Listen returns the listener with connections that linger, if it's one for TCP.
func (l *Linger) Listen(inner net.Listener) net.Listener {
	if tcp, ok := inner.(*net.TCPListener); ok {
		return &listener{tcp, l}
	}
	return inner
}

type listener struct {
	*net.TCPListener
	linger *Linger
}

// Accept waits for the next connection.
func (l *listener) Accept() (net.Conn, error) {
	c, err := l.AcceptTCP()
	if err != nil {
		if !errors.Is(err, net.ErrClosed) {
			l.linger.closeFirst(closedPerError)
		}
		return nil, err
	}
	return l.linger.add(c), nil
}

// add takes in a new connection.
func (l *Linger) add(c *net.TCPConn) *conn {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.open++
	l.enforceBound()
	return &conn{TCPConn: c, linger: l}
}

// closeFirst closes up to count connections that have lingered for longest.
func (l *Linger) closeFirst(count int) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	for ; count > 0 && l.lingering.Len() > 0; count-- {
		l.giveUpFirst()
	}
}

// enforceBound closes lingering connections while too many are open. The mutex must be
// held.
func (l *Linger) enforceBound() {
	for l.open > l.maxOpen && l.lingering.Len() > 0 {
		l.giveUpFirst()
	}
}

// giveUpFirst closes the connection that has lingered for longest. The mutex must be held.
func (l *Linger) giveUpFirst() {
	c, ok := l.lingering.Front().Value.(*conn)
	if !ok {
		panic("linger: the list of lingering connections holds something else")
	}
	l.forget(c, c.unreceived() > 0)
	// Ends the wait in drain.
	_ = c.TCPConn.Close()
}

// begin records that a connection lingers.
func (l *Linger) begin(c *conn) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	c.element = l.lingering.PushBack(c)
	l.lingered++
	l.enforceBound()
}

// end records that a connection was closed.
func (l *Linger) end(c *conn, isCut bool) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.forget(c, isCut)
}

// forget counts a connection as closed, unless it was counted before. The mutex must be
// held.
func (l *Linger) forget(c *conn, isCut bool) {
	if c.isForgotten {
		return
	}
	c.isForgotten = true
	l.open--
	if isCut {
		l.cut++
	}
	if c.element != nil {
		l.lingering.Remove(c.element)
	}
}

// conn is a connection that lingers when it's closed.
type conn struct {
	*net.TCPConn
	linger *Linger
	// element is its place among the lingering connections. IsForgotten is true once it
	// doesn't count as open any more.
	element     *list.Element
	isForgotten bool
	// reading is held during a read.
	reading sync.Mutex
	// hasEnded is true once the peer has ended the connection or reset it.
	hasEnded atomic.Bool

	// mutex is held while closed is read or changed, and while deadlines are set.
	mutex  sync.Mutex
	closed bool
	// resets is true if a close should reset the connection.
	resets bool
}

// Read reads from the connection.
func (c *conn) Read(p []byte) (int, error) {
	c.reading.Lock()
	defer c.reading.Unlock()
	if c.isClosed() {
		return 0, c.closedError("read")
	}
	n, err := c.TCPConn.Read(p)
	if err != nil && c.isClosed() {
		return n, c.closedError("read")
	}
	if err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
		c.hasEnded.Store(true)
	}
	return n, err
}

// WriteTo copies what is read to w.
func (c *conn) WriteTo(w io.Writer) (int64, error) {
	return io.Copy(w, struct{ io.Reader }{c})
}

// SetLinger sets what the kernel does at a close. With 0 seconds a close resets the
// connection at once.
func (c *conn) SetLinger(seconds int) error {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.resets = seconds == 0
	return c.TCPConn.SetLinger(seconds)
}

// SetDeadline sets the deadlines of reads and writes.
func (c *conn) SetDeadline(t time.Time) error { return c.setDeadline(c.TCPConn.SetDeadline, t) }

// SetReadDeadline sets the deadline of reads.
func (c *conn) SetReadDeadline(t time.Time) error {
	return c.setDeadline(c.TCPConn.SetReadDeadline, t)
}

// SetWriteDeadline sets the deadline of writes.
func (c *conn) SetWriteDeadline(t time.Time) error {
	return c.setDeadline(c.TCPConn.SetWriteDeadline, t)
}

// setDeadline sets a deadline, unless the connection lingers with one of its own.
func (c *conn) setDeadline(set func(time.Time) error, t time.Time) error {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.closed {
		return c.closedError("set")
	}
	return set(t)
}

// Close ends the connection for the process. It returns at once, while the connection may
// linger.
func (c *conn) Close() error {
	c.mutex.Lock()
	if c.closed {
		c.mutex.Unlock()
		return c.closedError("close")
	}
	c.closed = true
	// Ends reads and writes in progress.
	_ = c.TCPConn.SetDeadline(time.Unix(1, 0))
	resets := c.resets
	c.mutex.Unlock()
	if resets || c.hasEnded.Load() || c.CloseWrite() != nil {
		err := c.TCPConn.Close()
		c.linger.end(c, false)
		return err
	}
	c.linger.begin(c)
	go c.drain()
	return nil
}

// SyscallConn returns the socket, which is closed for its users from Close on.
func (c *conn) SyscallConn() (syscall.RawConn, error) {
	raw, err := c.TCPConn.SyscallConn()
	if err != nil {
		return nil, err
	}
	return &rawConn{raw, c}, nil
}

func (c *conn) isClosed() bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.closed
}

func (c *conn) closedError(operation string) error {
	return &net.OpError{Op: operation, Net: "tcp", Source: c.LocalAddr(), Addr: c.RemoteAddr(), Err: net.ErrClosed}
}

// drain reads and drops what the peer still sends, until it has closed the connection or
// has received everything for receivedTimeout, or until a timeout.
func (c *conn) drain() {
	c.waitRead()
	buffer := make([]byte, discardBytes)
	began := time.Now()
	checkedAt, progressAt, unreceived := began, began, c.unreceived()
	for now := began; now.Sub(began) < lingerTimeout; now = time.Now() {
		_ = c.TCPConn.SetReadDeadline(now.Add(checkInterval))
		if _, err := c.TCPConn.Read(buffer); err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
			// The kernel goes on sending to a peer that has only ended its own side.
			unreceived = 0
			break
		}
		if time.Since(checkedAt) < checkInterval {
			continue
		}
		checkedAt = time.Now()
		before := unreceived
		unreceived = c.unreceived()
		if unreceived != before {
			progressAt = checkedAt
		}
		timeout := stallTimeout
		if unreceived == 0 {
			timeout = receivedTimeout
		}
		if checkedAt.Sub(progressAt) >= timeout {
			break
		}
	}
	_ = c.TCPConn.Close()
	c.linger.end(c, unreceived > 0)
}

// waitRead waits until the read that Close has ended returns. It would notice the next
// deadline in place of the one that ended it, and go on waiting.
func (c *conn) waitRead() {
	c.reading.Lock()
	defer c.reading.Unlock()
}

// unreceived returns how many bytes the peer hasn't received, with one for the end of the
// connection. It's -1 if the system doesn't tell.
func (c *conn) unreceived() int {
	raw, err := c.TCPConn.SyscallConn()
	if err != nil {
		return -1
	}
	count := -1
	controlErr := raw.Control(func(fd uintptr) {
		count, err = unix.IoctlGetInt(int(fd), unix.SIOCOUTQ)
	})
	if controlErr != nil || err != nil {
		return -1
	}
	return count
}

// rawConn is the socket of a connection that may linger.
type rawConn struct {
	syscall.RawConn
	conn *conn
}

// Control calls f with the descriptor, unless the connection is closed.
func (r *rawConn) Control(f func(fd uintptr)) error {
	if r.conn.isClosed() {
		return r.conn.closedError("control")
	}
	return r.RawConn.Control(f)
}
