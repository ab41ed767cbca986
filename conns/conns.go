// Package conns sends HTTP/1.1 requests to one address over kept connections.
//
// It tells whether any byte of a request may have reached the other side, and
// it never sends a request twice by itself. One goroutine does the whole
// exchange, which costs less processor time than net/http's client.
package conns

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"bergamotloom.example/clock"
)

const (
	// dialTimeout is enough for one lost opening packet, which is sent again
	// after a second.
	dialTimeout = 1200 * time.Millisecond
	// probeEvery and probes find a connection that has gone silent, also while
	// an answer is awaited: after two to three seconds.
	probeEvery = time.Second
	probes     = 2
	// unackedMillis is how long sent bytes may stay unacknowledged.
	unackedMillis = 2500
	// tcpUserTimeout is the socket option TCP_USER_TIMEOUT.
	tcpUserTimeout = 18
	readerBytes    = 4 << 10
	// mostStray answers are passed over, of up to strayBytes each.
	mostStray  = 8
	strayBytes = 256 << 10
	// mostIdle is how many idle connections are kept.
	mostIdle = 128
)

// Conns keeps connections to one address. It's safe for many goroutines.
type Conns struct {
	address    string
	clock      clock.Clock
	idleMillis int64
	mutex      sync.Mutex
	idle       []*conn
	opened     atomic.Int64
}

type conn struct {
	net.Conn
	raw    syscall.RawConn
	reader *bufio.Reader
	usedAt int64
	// keepMillis is how long the other side keeps the connection idle.
	keepMillis int64
}

// New returns a pool for the address. Connections that were idle for longer
// than idleMillis aren't used again.
func New(address string, c clock.Clock, idleMillis int64) *Conns {
	return &Conns{address: address, clock: c, idleMillis: idleMillis}
}

// Opened returns how many connections were opened.
func (p *Conns) Opened() int64 {
	return p.opened.Load()
}

// Do sends a request, whose head and body are given as bytes, and waits for
// the head of its answer, until the context ends or due (a time of the clock,
// in milliseconds). More sends the rest of a long body. Answers that ours
// doesn't take are passed over: they belong to earlier requests. If there's no error,
// done must be called once the answer's body was read; it keeps the connection
// if whole is true. Sent tells, with an error, whether the request may have
// reached the other side.
func (p *Conns) Do(ctx context.Context, method string, request []byte, more func(io.Writer) error, ours func(*http.Response) bool, due float64) (answer *http.Response, done func(whole bool), sent bool, err error) {
	left := time.Duration((due - p.clock.Fine()) * float64(time.Millisecond))
	if left <= 0 {
		return nil, nil, false, context.DeadlineExceeded
	}
	c, err := p.get(ctx, min(left, dialTimeout))
	if err != nil {
		return nil, nil, false, err
	}
	_ = c.SetDeadline(time.Now().Add(left))
	stop := context.AfterFunc(ctx, func() { _ = c.SetDeadline(time.Unix(1, 0)) })
	if n, err := c.Write(request); err != nil {
		stop()
		_ = c.Close()
		return nil, nil, n > 0, errors.Wrap(err, "sending")
	}
	var body chan error
	if more != nil {
		body = make(chan error, 1)
		go func() { body <- more(c) }()
	}
	answer, err = readAnswer(c.reader, method, ours)
	if err != nil {
		stop()
		_ = c.Close()
		return nil, nil, true, errors.Wrap(err, "waiting for the answer")
	}
	return answer, func(whole bool) {
		kept := whole && stop() && !answer.Close && c.reader.Buffered() == 0 && bodySent(body)
		if !kept || !p.put(c, answer) {
			_ = c.Close()
		}
	}, true, nil
}

// bodySent tells whether all of a long body went out. A target that answers
// earlier would take other bytes for its rest.
func bodySent(body chan error) bool {
	if body == nil {
		return true
	}
	select {
	case err := <-body:
		return err == nil
	default:
		return false
	}
}

// readAnswer passes over interim responses and answers that aren't ours.
func readAnswer(r *bufio.Reader, method string, ours func(*http.Response) bool) (*http.Response, error) {
	for range mostStray {
		answer, err := http.ReadResponse(r, &http.Request{Method: method})
		switch {
		case err != nil:
			return nil, err
		case answer.StatusCode < http.StatusOK:
			continue
		case ours(answer):
			return answer, nil
		}
		if _, err := io.Copy(io.Discard, io.LimitReader(answer.Body, strayBytes)); err != nil {
			return nil, err
		}
		_ = answer.Body.Close()
	}
	return nil, errors.New("too many answers that belong to other requests")
}

func (p *Conns) get(ctx context.Context, wait time.Duration) (*conn, error) {
	now := p.clock.Now()
	for {
		p.mutex.Lock()
		n := len(p.idle)
		if n == 0 {
			p.mutex.Unlock()
			return p.dial(ctx, wait)
		}
		// The one used last is the least likely to have been closed.
		c := p.idle[n-1]
		p.idle = p.idle[:n-1]
		p.mutex.Unlock()
		if now-c.usedAt < c.keepMillis && c.quiet() {
			return c, nil
		}
		_ = c.Close()
	}
}

func (p *Conns) dial(ctx context.Context, wait time.Duration) (*conn, error) {
	dialer := net.Dialer{
		Timeout:         wait,
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: probeEvery, Interval: probeEvery, Count: probes},
		Control: func(_, _ string, raw syscall.RawConn) error {
			return raw.Control(func(fd uintptr) {
				// Without the option a dead peer is found by the deadline.
				_ = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, unackedMillis)
			})
		},
	}
	opened, err := dialer.DialContext(ctx, "tcp", p.address)
	if err != nil {
		return nil, errors.Wrap(err, "connecting")
	}
	p.opened.Add(1)
	c := &conn{Conn: opened, reader: bufio.NewReaderSize(opened, readerBytes)}
	if tcp, ok := opened.(*net.TCPConn); ok {
		c.raw, err = tcp.SyscallConn()
	}
	return c, errors.Wrap(err, "connecting")
}

// Probe opens a connection, which the next request takes, and returns why it
// couldn't.
func (p *Conns) Probe(wait time.Duration) error {
	c, err := p.dial(context.Background(), wait)
	if err != nil {
		return err
	}
	c.usedAt, c.keepMillis = p.clock.Now(), p.idleMillis
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.idle = append(p.idle, c)
	return nil
}

// quiet tells whether the connection is open and nothing came in on it.
func (c *conn) quiet() bool {
	quiet := false
	err := c.raw.Read(func(fd uintptr) bool {
		var one [1]byte
		_, err := syscall.Read(int(fd), one[:])
		quiet = errors.Is(err, syscall.EAGAIN)
		return true
	})
	return err == nil && quiet
}

func (p *Conns) put(c *conn, answer *http.Response) bool {
	c.usedAt = p.clock.Now()
	c.keepMillis = min(p.idleMillis, keptMillis(answer.Header))
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if len(p.idle) >= mostIdle || c.keepMillis <= 0 {
		return false
	}
	p.idle = append(p.idle, c)
	p.prune(c.usedAt)
	return true
}

// prune closes connections that weren't needed for a while: those used last
// are taken first, so the others would stay open for good.
func (p *Conns) prune(now int64) {
	old := 0
	for old < len(p.idle) && now-p.idle[old].usedAt >= p.idle[old].keepMillis {
		_ = p.idle[old].Close()
		old++
	}
	p.idle = append(p.idle[:0], p.idle[old:]...)
}
