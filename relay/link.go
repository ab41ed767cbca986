package relay

import (
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

const (
	chunkBytes  = 32 << 10
	queueChunks = 64
	// lingerTimeout is how long a closing connection is still read.
	lingerTimeout = 2 * time.Second
)

// chunk is the result of one read and its time. Nil bytes stand for the end of
// the stream.
type chunk struct {
	bytes  []byte
	readAt time.Time
}

// link is one forwarded connection.
type link struct {
	ends        [directions]net.Conn // the end that the direction reads from
	passedBytes [directions]atomic.Int64
	silent      chan struct{}
	closed      chan struct{}
	silenceOnce sync.Once
	closeOnce   sync.Once
}

func newLink(client, server net.Conn) *link {
	l := &link{silent: make(chan struct{}), closed: make(chan struct{})}
	l.ends[Up], l.ends[Down] = client, server
	return l
}

func (l *link) apply(a action) {
	switch a {
	case Cut:
		l.close(false)
	case Reset:
		l.close(true)
	case Silence:
		l.silence()
	case noAction:
	}
}

func (l *link) silence() {
	l.silenceOnce.Do(func() { close(l.silent) })
}

func (l *link) close(reset bool) {
	l.closeOnce.Do(func() {
		close(l.closed)
		for _, c := range l.ends {
			if t, ok := c.(*net.TCPConn); ok && reset {
				_ = t.SetLinger(0)
				_ = c.Close()
				continue
			}
			go lingeringClose(c)
		}
	})
}

// lingeringClose closes the write side and discards incoming bytes for a while
// before it closes the connection. If the connection were closed with unread
// bytes, the kernel would reset it, and the other side would lose bytes that
// were sent to it before.
func lingeringClose(c net.Conn) {
	closeWrite(c)
	_ = c.SetReadDeadline(time.Now().Add(lingerTimeout))
	_, _ = io.Copy(io.Discard, c)
	_ = c.Close()
}

// run forwards in both directions until the link is closed or both streams have
// ended.
func (l *link) run(r *Relay) {
	var wait sync.WaitGroup
	for d := range directions {
		queue := make(chan chunk, queueChunks)
		wait.Go(func() { l.read(d, queue) })
		wait.Go(func() { l.write(r, d, queue) })
	}
	wait.Wait()
	l.close(false)
}

// read puts the bytes of one end into the queue, followed by a chunk with nil
// bytes. It stops reading a silent link, so that the sender's socket buffers
// fill up and its writes block.
func (l *link) read(d direction, queue chan<- chunk) {
	defer close(queue)
	for {
		buffer := make([]byte, chunkBytes)
		n, err := l.ends[d].Read(buffer)
		if l.isSilent() {
			<-l.closed
			return
		}
		if n > 0 && !l.put(queue, chunk{buffer[:n], time.Now()}) {
			return
		}
		if err != nil {
			l.put(queue, chunk{nil, time.Now()})
			return
		}
	}
}

func (l *link) put(queue chan<- chunk, c chunk) bool {
	select {
	case queue <- c:
		return true
	case <-l.closed:
		return false
	}
}

func (l *link) isSilent() bool {
	select {
	case <-l.silent:
		return true
	default:
		return false
	}
}

// write sends the chunks of the queue to the other end.
func (l *link) write(r *Relay, d direction, queue <-chan chunk) {
	other := l.ends[Down-d] // Down-d is the opposite direction
	for c := range queue {
		delay, limitBytes, after := r.settings(d)
		if !l.wait(time.Until(c.readAt.Add(delay))) {
			return
		}
		if c.bytes == nil {
			closeWrite(other)
			continue
		}
		if !l.pass(other, c.bytes, d, limitBytes, after) {
			l.close(false)
			return
		}
	}
}

// wait sleeps for the delay. It returns false if the link was closed. On a
// silent link it blocks until the link is closed.
func (l *link) wait(d time.Duration) bool {
	timer := time.NewTimer(max(d, 0))
	defer timer.Stop()
	select {
	case <-l.closed:
		return false
	case <-l.silent:
	case <-timer.C:
	}
	if l.isSilent() {
		<-l.closed
		return false
	}
	return true
}

// pass writes the bytes. If there is an action to apply after limitBytes, pass
// writes only the bytes up to that limit and then applies the action.
func (l *link) pass(to net.Conn, bytes []byte, d direction, limitBytes int64, after action) bool {
	remainingBytes := limitBytes - l.passedBytes[d].Load()
	limitReached := after != noAction && int64(len(bytes)) >= remainingBytes
	if limitReached {
		bytes = bytes[:max(remainingBytes, 0)]
	}
	// Counted before the write, so that the receiver of the bytes finds them
	// counted.
	l.passedBytes[d].Add(int64(len(bytes)))
	_, err := to.Write(bytes)
	if limitReached {
		l.apply(after)
	}
	return err == nil
}

func closeWrite(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		_ = t.CloseWrite()
	}
}
