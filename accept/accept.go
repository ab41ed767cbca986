// Package accept wraps the listener of a port and records whether connections are
// accepted there: how many were, how many are open, how many wait, and which
// errors came instead.
package accept

import (
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
)

// Accept is the listener of one port. It's safe for concurrent use.
type Accept struct {
	net.Listener
	port  string
	clock clock.Clock
	log   *slog.Logger

	mutex    sync.Mutex
	open     map[net.Conn]struct{}
	accepted int64
	failed   int64
	// failingSince is when the first of the errors since the last accepted
	// connection came, 0 if there was none; errorLoggedAt is when one was logged.
	failingSince  int64
	errorLoggedAt int64
}

// New returns a wrapper of the listener. Its methods Accept and ConnState must be
// given to the server of the port, whose name is used in logs.
func New(l net.Listener, port string, c clock.Clock, log *slog.Logger) *Accept {
	return &Accept{Listener: l, port: port, clock: c, log: log, open: make(map[net.Conn]struct{})}
}

// Accept waits for the next connection. It fails only if the listener is closed.
func (a *Accept) Accept() (net.Conn, error) {
	delay := minErrorDelay
	for {
		c, err := a.Listener.Accept()
		switch {
		case err == nil:
			a.recordAccepted(c)
			return c, nil
		case errors.Is(err, net.ErrClosed):
			return nil, err
		}
		a.recordError(err)
		time.Sleep(delay)
		delay = min(2*delay, maxErrorDelay)
	}
}

func (a *Accept) recordAccepted(c net.Conn) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.accepted++
	a.open[c] = struct{}{}
	if a.failingSince != 0 {
		a.log.Info("node: connections are accepted again", "Port", a.port, "SinceMillis", a.clock.Since(a.failingSince), "Open", len(a.open))
		a.failingSince, a.errorLoggedAt = 0, 0
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
	if s != http.StateClosed && s != http.StateHijacked {
		return
	}
	a.mutex.Lock()
	defer a.mutex.Unlock()
	delete(a.open, c)
}

// Counts returns how many connections are open, how many were accepted since the
// start, and how many errors came instead.
func (a *Accept) Counts() (open int, accepted, failed int64) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	return len(a.open), a.accepted, a.failed
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
