// Package accept wraps the listener of a port so that it goes on accepting
// connections: it bounds how many are open, and an error never ends it. It also
// records how many connections were accepted, are open and wait, and which errors
// came instead.
package accept

import (
	"container/list"
	"context"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"

	"bergamotloom.example/clock"
)

const (
	// errorLogMillis is the min time between two log lines about errors.
	errorLogMillis = 1000
	// minErrorDelay and maxErrorDelay bound the delay after an error, which doubles
	// with each further one.
	minErrorDelay = 2 * time.Millisecond
	maxErrorDelay = 100 * time.Millisecond
	// excessDivisor is the divisor of the max number of open connections that gives
	// how many more are accepted to refuse their requests.
	excessDivisor = 8
	// closedPerError is how many idle connections are closed after an error, which
	// in most cases says that no descriptor is left.
	closedPerError = 8
)

// Accept is the listener of one port. It's safe for concurrent use.
type Accept struct {
	net.Listener
	port    string
	maxOpen int
	clock   clock.Clock
	log     *slog.Logger

	mutex sync.Mutex
	open  map[net.Conn]*openConn
	// idle and idleExcess have the open connections without a request, those that
	// became idle first at the front; idleExcess those that are excess ones.
	idle       *list.List
	idleExcess *list.List
	// excess is how many open connections are beyond maxOpen.
	excess   int
	accepted int64
	failed   int64
	// responding is how many connections have isResponding.
	responding int
	// closedIdle and closedNew count the idle and the new connections that were
	// closed to stay below the limit.
	closedIdle int64
	closedNew  int64
	// failingSince is when the first of the errors since the last accepted
	// connection came, 0 if there was none; errorLoggedAt is when one was logged.
	failingSince  int64
	errorLoggedAt int64
}

// openConn is the state of an open connection.
type openConn struct {
	// idleElement is its place among the idle connections, nil while it has a
	// request.
	idleElement *list.Element
	isExcess    bool
	// isResponding is true from the start of a request's handler until its response is
	// written.
	isResponding bool
	isForgotten  bool
}

type connKey struct{}

// New returns a wrapper of the listener that keeps up to maxOpen connections open.
// Its methods Accept, ConnState and ConnContext must be given to the server of the
// port, whose name is used in logs.
func New(l net.Listener, port string, maxOpen int, c clock.Clock, log *slog.Logger) *Accept {
	return &Accept{Listener: l, port: port, maxOpen: maxOpen, clock: c, log: log, open: make(map[net.Conn]*openConn), idle: list.New(), idleExcess: list.New()}
}

// Accept waits for the next connection. It fails only if the listener is closed.
func (a *Accept) Accept() (net.Conn, error) {
	delay := minErrorDelay
	for {
		c, err := a.Listener.Accept()
		switch {
		case err == nil:
			if a.admit(c) {
				return c, nil
			}
			// Resets the connection, so that the caller learns at once.
			if tcp, ok := c.(interface{ SetLinger(seconds int) error }); ok {
				_ = tcp.SetLinger(0)
			}
			_ = c.Close()
		case errors.Is(err, net.ErrClosed):
			return nil, err
		default:
			a.recordError(err)
			a.closeIdle(closedPerError)
			time.Sleep(delay)
			delay = min(2*delay, maxErrorDelay)
		}
	}
}

// admit records a new connection, and reports whether it may stay open. If there
// are too many, the one that has been idle for longest is closed. If none is idle,
// the new one becomes an excess connection, whose request is to be refused. If there
// are too many of these as well, one that hasn't sent a request is closed, or else
// the new one can't stay open.
func (a *Accept) admit(c net.Conn) bool {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	if len(a.open)-a.excess >= a.maxOpen {
		a.closeFirst(a.idle)
	}
	state := &openConn{isExcess: len(a.open)-a.excess >= a.maxOpen}
	if state.isExcess {
		maxExcess := max(a.maxOpen/excessDivisor, 1)
		if a.excess >= maxExcess {
			a.closeFirst(a.idleExcess)
		}
		if a.excess >= maxExcess {
			a.closedNew++
			return false
		}
		a.excess++
	}
	state.idleElement = a.idleOf(state).PushBack(c)
	a.open[c] = state
	a.accepted++
	if a.failingSince != 0 {
		a.log.Info("node: connections are accepted again", "Port", a.port, "SinceMillis", a.clock.Since(a.failingSince), "Open", len(a.open))
		a.failingSince, a.errorLoggedAt = 0, 0
	}
	return true
}

// closeIdle closes up to count connections, those first that have been idle for
// longest.
func (a *Accept) closeIdle(count int) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	for range count {
		a.closeFirst(a.idle)
	}
}

// idleOf returns the list that has the connection while it's idle.
func (a *Accept) idleOf(state *openConn) *list.List {
	if state.isExcess {
		return a.idleExcess
	}
	return a.idle
}

// closeFirst closes the first connection of a list of idle ones, if there is one.
// The mutex must be held.
func (a *Accept) closeFirst(idle *list.List) {
	first := idle.Front()
	if first == nil {
		return
	}
	c, ok := first.Value.(net.Conn)
	if !ok {
		panic("accept: the list of idle connections holds something else")
	}
	a.forget(c)
	a.closedIdle++
	_ = c.Close()
}

// forget removes a connection that was closed. The mutex must be held.
func (a *Accept) forget(c net.Conn) {
	state, ok := a.open[c]
	if !ok {
		return
	}
	delete(a.open, c)
	state.isForgotten = true
	if state.isExcess {
		a.excess--
	}
	a.endResponse(state)
	if state.idleElement != nil {
		a.idleOf(state).Remove(state.idleElement)
	}
}

// ConnContext adds the state of their connection to the contexts of requests. It's the
// callback of the same name of the port's server.
func (a *Accept) ConnContext(ctx context.Context, c net.Conn) context.Context {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	if state, ok := a.open[c]; ok {
		return context.WithValue(ctx, connKey{}, state)
	}
	return ctx
}

// IsExcess reports whether the context is that of a request on an excess
// connection. The request should be refused and the connection closed.
func IsExcess(ctx context.Context) bool {
	state, ok := ctx.Value(connKey{}).(*openConn)
	return ok && state.isExcess
}

// Handler returns a handler that lets Responding count the requests of the port.
func (a *Accept) Handler(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if state, ok := r.Context().Value(connKey{}).(*openConn); ok {
			a.beginResponse(state)
		}
		h.ServeHTTP(w, r)
	})
}

// Responding returns how many connections have a request whose response isn't written
// yet. Its handler may have ended before.
func (a *Accept) Responding() int {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	return a.responding
}

func (a *Accept) beginResponse(state *openConn) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	// A connection that was closed has no place among the open ones any more.
	if !state.isResponding && !state.isForgotten {
		state.isResponding = true
		a.responding++
	}
}

// endResponse records that a response is written, or never will be. The mutex must be
// held.
func (a *Accept) endResponse(state *openConn) {
	if state.isResponding {
		state.isResponding = false
		a.responding--
	}
}

func (a *Accept) recordError(err error) {
	waiting := a.Waiting()
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.failed++
	now := a.clock.Now()
	if a.failingSince == 0 {
		a.failingSince = now
	}
	if a.errorLoggedAt == 0 || now-a.errorLoggedAt >= errorLogMillis {
		a.errorLoggedAt = now
		a.log.Warn("node: accepting a connection failed", "Port", a.port, "Error", err.Error(),
			"Open", len(a.open), "Waiting", waiting, "SinceMillis", now-a.failingSince)
	}
}

// ConnState takes in the state of a connection. It's the callback of the same name
// of the port's server.
func (a *Accept) ConnState(c net.Conn, s http.ConnState) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	state, ok := a.open[c]
	switch {
	case !ok:
	case s == http.StateClosed || s == http.StateHijacked:
		a.forget(c)
	case s == http.StateActive && state.idleElement != nil:
		a.idleOf(state).Remove(state.idleElement)
		state.idleElement = nil
	case s == http.StateIdle && state.idleElement == nil:
		a.endResponse(state)
		state.idleElement = a.idleOf(state).PushBack(c)
	}
}

// Counts returns how many connections are open, how many were accepted since the
// start without those that were closed at once, and how many errors came instead.
func (a *Accept) Counts() (open int, accepted, failed int64) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	return len(a.open), a.accepted, a.failed
}

// Closed returns how many idle and how many new connections were closed since the
// start because too many were open.
func (a *Accept) Closed() (idle, fresh int64) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	return a.closedIdle, a.closedNew
}

// FailingMillis returns for how long accepting has failed, 0 if it doesn't.
func (a *Accept) FailingMillis() int64 {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	if a.failingSince == 0 {
		return 0
	}
	return max(a.clock.Since(a.failingSince), 1)
}

// Waiting returns how many connections the kernel has established that weren't
// accepted yet, -1 if that isn't known.
func (a *Accept) Waiting() int {
	l, ok := a.Listener.(syscall.Conn)
	if !ok {
		return -1
	}
	raw, err := l.SyscallConn()
	if err != nil {
		return -1
	}
	waiting := -1
	err = raw.Control(func(fd uintptr) {
		// The kernel reports the length of the queue of a listening socket in
		// this field.
		if info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO); err == nil {
			waiting = int(info.Unacked)
		}
	})
	if err != nil {
		return -1
	}
	return waiting
}
