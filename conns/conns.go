// Package conns sends HTTP/1.1 requests to one address over persistent
// connections.
//
// It reports whether any byte of a request may have reached the server, and it
// never retries a request. One goroutine does the whole exchange, which needs
// less processor time than the client of net/http.
package conns

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"bergamotloom.example/clock"
	"bergamotloom.example/heads"
)

const (
	// dialTimeout allows for one lost SYN packet, which is retransmitted after
	// a second.
	dialTimeout = 1200 * time.Millisecond
	// A connection is closed after keepAliveCount probes without response. This
	// detects a silent connection after two to three seconds, also while the
	// response is awaited.
	keepAliveInterval = time.Second
	keepAliveCount    = 2
	// unackedMillis is how long sent bytes may stay unacknowledged.
	unackedMillis = 2500
	// tcpUserTimeout is the socket option TCP_USER_TIMEOUT.
	tcpUserTimeout = 18
	readerBytes    = 4 << 10
	// maxResponses is how many responses are read for a request, including
	// interim responses and responses to other requests. The body of a response
	// to another request may have up to maxSkippedBytes.
	maxResponses    = 8
	maxSkippedBytes = 256 << 10
	// maxHeadBytes and maxHeaders bound the head of a response. A parsed header takes
	// far more memory than its bytes.
	maxHeadBytes = 64 << 10
	maxHeaders   = 512
	// defaultMaxIdle is the max number of idle connections in the pool, unless
	// SetMaxIdle sets another one.
	defaultMaxIdle = 128
)

// ErrMalformed is the error of a request whose response can't be read although its
// connection hasn't failed.
var ErrMalformed = errors.New("the answer is malformed")

// Conns is a pool of connections to one address. It's safe for many goroutines.
type Conns struct {
	address    string
	clock      clock.Clock
	idleMillis int64
	mutex      sync.Mutex
	idle       []*conn
	maxIdle    int
	opened     atomic.Int64
	// sent and received count bytes. The rest of a long body isn't counted as sent.
	sent     atomic.Int64
	received atomic.Int64
}

type conn struct {
	net.Conn
	raw    syscall.RawConn
	reader *bufio.Reader
	// source is what reader reads from.
	source *headReader
	// lastUsedMillis is when the last response was read, or the connection
	// opened.
	lastUsedMillis int64
	// idleMillis is how long the connection may be idle and still be reused.
	idleMillis int64
	// isUsed is true once a request was sent.
	isUsed bool
}

// New returns a pool for the address. Connections that were idle for longer
// than idleMillis aren't reused.
func New(address string, c clock.Clock, idleMillis int64) *Conns {
	return &Conns{address: address, clock: c, idleMillis: idleMillis, maxIdle: defaultMaxIdle}
}

// SetMaxIdle sets the max number of idle connections. It closes none: those beyond
// it are closed after their next use or when they have been idle for too long.
func (p *Conns) SetMaxIdle(count int) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.maxIdle = count
}

// Idle returns the number of idle connections.
func (p *Conns) Idle() int {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return len(p.idle)
}

// Opened returns the number of connections opened since the start.
func (p *Conns) Opened() int64 {
	return p.opened.Load()
}

// Bytes returns how many bytes were sent and received since the start, without the
// rests of long bodies that were sent.
func (p *Conns) Bytes() (sent, received int64) {
	return p.sent.Load(), p.received.Load()
}

// Do sends a request, given as the bytes of its header and body, and waits for
// the header of its response until the context ends or until deadlineMillis by
// the clock. writeRest sends the rest of a long body, unless it's nil.
//
// Responses for which matches is false are skipped, as they belong to earlier
// requests. IsFirst says that there was no earlier one on the connection.
//
// If there's no error, done must be called after the response's body was read;
// it returns the connection to the pool if complete is true, that is, if the
// body was read to its end. With an error, sent reports whether the request may
// have reached the server.
func (p *Conns) Do(ctx context.Context, method string, request []byte, writeRest func(io.Writer) error, matches func(response *http.Response, isFirst bool) bool, deadlineMillis float64) (response *http.Response, done func(complete bool), sent bool, err error) {
	remaining := time.Duration((deadlineMillis - p.clock.Fine()) * float64(time.Millisecond))
	if remaining <= 0 {
		return nil, nil, false, context.DeadlineExceeded
	}
	c, err := p.get(ctx, min(remaining, dialTimeout))
	if err != nil {
		return nil, nil, false, err
	}
	_ = c.SetDeadline(time.Now().Add(remaining))
	isFirst := !c.isUsed
	c.isUsed = true
	// A deadline in the past ends reads and writes at once.
	stop := context.AfterFunc(ctx, func() { _ = c.SetDeadline(time.Unix(1, 0)) })
	if n, err := c.Write(request); err != nil {
		stop()
		_ = c.Close()
		return nil, nil, n > 0, errors.Wrap(err, "sending")
	}
	p.sent.Add(int64(len(request)))
	var restSent chan error
	if writeRest != nil {
		restSent = make(chan error, 1)
		go func() { restSent <- writeRest(c) }()
	}
	response, err = c.readResponse(method, func(r *http.Response) bool { return matches(r, isFirst) })
	if err != nil {
		stop()
		_ = c.Close()
		return nil, nil, true, errors.Wrap(err, "waiting for the answer")
	}
	return response, func(complete bool) {
		reusable := complete && stop() && !response.Close && c.reader.Buffered() == 0 && isSent(restSent)
		if !reusable || !p.put(c, response) {
			_ = c.Close()
		}
	}, true, nil
}

// isSent reports whether the rest of a long body was sent completely. Otherwise
// the connection can't be reused, as the server would read the next request as
// part of the body.
func isSent(restSent chan error) bool {
	if restSent == nil {
		return true
	}
	select {
	case err := <-restSent:
		return err == nil
	default:
		return false
	}
}

// readResponse returns the first final response for which matches is true. It
// skips interim responses and responses to other requests. It fails if a head or
// the body of a response to another request is too long.
func (c *conn) readResponse(method string, matches func(*http.Response) bool) (*http.Response, error) {
	for range maxResponses {
		c.source.beginHead()
		response, err := http.ReadResponse(c.reader, &http.Request{Method: method})
		c.source.endHead()
		switch {
		case err != nil && c.source.failed:
			return nil, err
		case err != nil:
			return nil, errors.Wrap(ErrMalformed, err.Error())
		case !heads.IsStatus(response.StatusCode):
			// net/http accepts any three characters that are a number.
			return nil, errors.Wrapf(ErrMalformed, "status %q", response.Status)
		case countValues(response.Header) > maxHeaders:
			return nil, errors.Wrapf(ErrMalformed, "the head of the answer has more than %d headers", maxHeaders)
		case response.StatusCode < http.StatusOK:
			continue
		case matches(response):
			return response, nil
		}
		skipped, err := io.Copy(io.Discard, io.LimitReader(response.Body, maxSkippedBytes))
		if err != nil {
			return nil, err
		}
		if skipped == maxSkippedBytes {
			// Closing the body would read it to its end.
			return nil, errors.New("an answer to another request is too long")
		}
		_ = response.Body.Close()
	}
	return nil, errors.New("too many answers that belong to other requests")
}

func countValues(h http.Header) int {
	count := 0
	for _, values := range h {
		count += len(values)
	}
	return count
}

func (p *Conns) get(ctx context.Context, timeout time.Duration) (*conn, error) {
	now := p.clock.Now()
	for {
		p.mutex.Lock()
		n := len(p.idle)
		if n == 0 {
			p.mutex.Unlock()
			return p.dial(ctx, timeout)
		}
		// The most recently used connection is the least likely to be closed.
		c := p.idle[n-1]
		p.idle = p.idle[:n-1]
		p.mutex.Unlock()
		if now-c.lastUsedMillis < c.idleMillis && c.isIdle() {
			return c, nil
		}
		_ = c.Close()
	}
}

// Dialer returns a dialer whose connections fail within some seconds once nothing comes
// from the server any more, also while a response is awaited.
func Dialer(timeout time.Duration) *net.Dialer {
	return &net.Dialer{
		Timeout:         timeout,
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: keepAliveInterval, Interval: keepAliveInterval, Count: keepAliveCount},
		Control: func(_, _ string, raw syscall.RawConn) error {
			return raw.Control(func(fd uintptr) {
				// Keep-alive probes aren't sent while bytes are unacknowledged:
				// without this option, the failure of a server would then be
				// detected only at the deadline.
				_ = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, unackedMillis)
			})
		},
	}
}

func (p *Conns) dial(ctx context.Context, timeout time.Duration) (*conn, error) {
	opened, err := Dialer(timeout).DialContext(ctx, "tcp", p.address)
	if err != nil {
		return nil, errors.Wrap(err, "connecting")
	}
	p.opened.Add(1)
	source := &headReader{source: opened, received: &p.received}
	c := &conn{Conn: opened, reader: bufio.NewReaderSize(source, readerBytes), source: source}
	if tcp, ok := opened.(*net.TCPConn); ok {
		c.raw, err = tcp.SyscallConn()
	}
	return c, errors.Wrap(err, "connecting")
}

// Probe checks that the server can be reached within the timeout, and keeps the
// connection for the next request.
func (p *Conns) Probe(timeout time.Duration) error {
	c, err := p.dial(context.Background(), timeout)
	if err != nil {
		return err
	}
	c.lastUsedMillis, c.idleMillis = p.clock.Now(), p.idleMillis
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.idle = append(p.idle, c)
	return nil
}

// CloseUnusable closes the idle connections that were idle for too long, that the
// server has closed, or that received bytes which belong to no request.
func (p *Conns) CloseUnusable() {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	now := p.clock.Now()
	p.idle = slices.DeleteFunc(p.idle, func(c *conn) bool {
		if now-c.lastUsedMillis < c.idleMillis && c.isIdle() {
			return false
		}
		_ = c.Close()
		return true
	})
}

// isIdle reports whether the connection is open and has no bytes to read.
func (c *conn) isIdle() bool {
	idle := false
	err := c.raw.Read(func(fd uintptr) bool {
		var buffer [1]byte
		_, err := syscall.Read(int(fd), buffer[:])
		idle = errors.Is(err, syscall.EAGAIN)
		return true
	})
	return err == nil && idle
}

func (p *Conns) put(c *conn, response *http.Response) bool {
	c.lastUsedMillis = p.clock.Now()
	c.idleMillis = min(p.idleMillis, keepAliveMillis(response.Header))
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if len(p.idle) >= p.maxIdle || c.idleMillis <= 0 {
		return false
	}
	p.idle = append(p.idle, c)
	p.prune(c.lastUsedMillis)
	return true
}

// prune closes connections that were idle for too long. As the most recently
// used ones are reused first, the others would otherwise stay open forever.
func (p *Conns) prune(now int64) {
	expired := 0
	for expired < len(p.idle) && now-p.idle[expired].lastUsedMillis >= p.idle[expired].idleMillis {
		_ = p.idle[expired].Close()
		expired++
	}
	p.idle = append(p.idle[:0], p.idle[expired:]...)
}
