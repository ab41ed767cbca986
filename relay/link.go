package relay

import (
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

const (
	chunkBytes = 32 << 10
	ringSize   = 64
	// gentleTime is how long a closing connection is still read.
	gentleTime = 2 * time.Second
)

// chunk is what was read at once, and when. A nil chunk is the end.
type chunk struct {
	bytes []byte
	at    time.Time
}

// link is one forwarded connection.
type link struct {
	ends   [directions]net.Conn // the end that the direction reads from
	passed [directions]atomic.Int64
	silent chan struct{}
	closed chan struct{}
	hush   sync.Once
	end    sync.Once
}

func newLink(client, server net.Conn) *link {
	l := &link{silent: make(chan struct{}), closed: make(chan struct{})}
	l.ends[Up], l.ends[Down] = client, server
	return l
}

func (l *link) do(a action) {
	switch a {
	case Cut:
		l.close(false)
	case Reset:
		l.close(true)
	case Silence:
		l.silence()
	case nothing:
	}
}

func (l *link) silence() {
	l.hush.Do(func() { close(l.silent) })
}

func (l *link) close(reset bool) {
	l.end.Do(func() {
		close(l.closed)
		for _, c := range l.ends {
			if t, ok := c.(*net.TCPConn); ok && reset {
				_ = t.SetLinger(0)
				_ = c.Close()
				continue
			}
			go closeGently(c)
		}
	})
}

// closeGently ends what is sent on a connection and reads what still comes for
// a moment. Closed with unread bytes, the kernel would reset the connection,
// and the other side would lose bytes that were sent to it before.
func closeGently(c net.Conn) {
	closeWrite(c)
	_ = c.SetReadDeadline(time.Now().Add(gentleTime))
	_, _ = io.Copy(io.Discard, c)
	_ = c.Close()
}

// run forwards both ways until the link is closed or both ways have ended.
func (l *link) run(r *Relay) {
	var both sync.WaitGroup
	for d := range directions {
		ring := make(chan chunk, ringSize)
		both.Go(func() { l.read(d, ring) })
		both.Go(func() { l.write(r, d, ring) })
	}
	both.Wait()
	l.close(false)
}

// read fills the ring and ends it with a nil chunk. A silent link is read no
// more, so that its writers find full buffers in the end.
func (l *link) read(d direction, ring chan<- chunk) {
	defer close(ring)
	for {
		buffer := make([]byte, chunkBytes)
		n, err := l.ends[d].Read(buffer)
		if l.isSilent() {
			<-l.closed
			return
		}
		if n > 0 && !l.put(ring, chunk{buffer[:n], time.Now()}) {
			return
		}
		if err != nil {
			l.put(ring, chunk{nil, time.Now()})
			return
		}
	}
}

func (l *link) put(ring chan<- chunk, c chunk) bool {
	select {
	case ring <- c:
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

// write empties the ring into the other end.
func (l *link) write(r *Relay, d direction, ring <-chan chunk) {
	other := l.ends[Down-d]
	for c := range ring {
		delay, limit, after := r.present(d)
		if !l.wait(time.Until(c.at.Add(delay))) {
			return
		}
		if c.bytes == nil {
			closeWrite(other)
			continue
		}
		if !l.pass(other, c.bytes, d, limit, after) {
			l.close(false)
			return
		}
	}
}

// wait sleeps for the delay. It's false when the link was closed; when it went
// silent, wait lasts until then.
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

// pass writes the bytes up to the limit, if there is one, and then does what
// was arranged.
func (l *link) pass(to net.Conn, bytes []byte, d direction, limit int64, after action) bool {
	left := limit - l.passed[d].Load()
	reached := after != nothing && int64(len(bytes)) >= left
	if reached {
		bytes = bytes[:max(left, 0)]
	}
	// Counted first, so that whoever has the bytes finds them counted.
	l.passed[d].Add(int64(len(bytes)))
	_, err := to.Write(bytes)
	if reached {
		l.do(after)
	}
	return err == nil
}

func closeWrite(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		_ = t.CloseWrite()
	}
}
