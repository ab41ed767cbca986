// Package local keeps what a node knows of the target beside it and sends
// requests to it.
package local

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"bergamotloom.example/clock"
)

// HeartbeatTimeoutMillis is how long a target may be silent before it counts as
// gone. It announces itself every second.
const HeartbeatTimeoutMillis = 2500

const (
	dialTimeoutMillis = 500
	idleConnMillis    = 30_000
	idleConns         = 1024
)

// errNoTarget is the outcome of a request when no target has announced itself.
var errNoTarget = errors.New("local: no target has announced itself")

// Target is the target beside the node. It's safe for many goroutines.
type Target struct {
	clock     clock.Clock
	transport *http.Transport

	mutex     sync.Mutex
	service   string
	address   string
	slots     int
	leaving   bool
	heardAt   int64
	announced bool
}

// New returns the record of a target that hasn't announced itself yet.
func New(c clock.Clock) *Target {
	dialer := &net.Dialer{Timeout: dialTimeoutMillis * time.Millisecond}
	return &Target{
		clock: c,
		transport: &http.Transport{
			DialContext:         dialer.DialContext,
			DisableCompression:  true,
			MaxIdleConnsPerHost: idleConns,
			IdleConnTimeout:     idleConnMillis * time.Millisecond,
		},
	}
}

// RecordHeartbeat takes note of a target's heartbeat. Fresh tells that it's another
// target than before, changed that the same one has other slots.
func (l *Target) RecordHeartbeat(service, address string, slots int) (fresh, changed bool) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	fresh = !l.announced || service != l.service || address != l.address
	changed = slots != l.slots
	l.service, l.address, l.slots = service, address, slots
	l.heardAt = l.clock.Now()
	l.announced = true
	return fresh, changed
}

// MarkLeaving takes note that the target leaves. Once it has left it stays so.
func (l *Target) MarkLeaving() {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.leaving = true
}

// Leaving tells whether the target said that it leaves.
func (l *Target) Leaving() bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.leaving
}

// Alive tells whether the target's last heartbeat is recent enough.
func (l *Target) Alive() bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.announced && l.clock.Since(l.heardAt) <= HeartbeatTimeoutMillis
}

// MarkUnreachable takes note that the target refused a connection. The next heartbeat
// brings it back.
func (l *Target) MarkUnreachable() {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.announced = false
}

// Service returns the service that the target announced, and its slots.
func (l *Target) Service() (name string, slots int) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.service, l.slots
}

func (l *Target) host() (string, bool) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.address, l.announced
}

// Send passes the request to the target and returns its response. The request
// is never sent a second time by the transport. Wrote tells whether any byte
// of it may have reached the target.
func (l *Target) Send(ctx context.Context, r *http.Request) (res *http.Response, wrote bool, err error) {
	host, ok := l.host()
	if !ok {
		return nil, false, errNoTarget
	}
	var connected atomic.Bool
	traced := httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected.Store(true) },
	})
	out := r.WithContext(traced)
	address := *r.URL
	address.Scheme = "http"
	address.Host = host
	out.URL = &address
	out.RequestURI = ""
	if out.Body == nil || out.Body == http.NoBody {
		// With a body that it can't rewind, however short, the transport
		// doesn't send the request again when a connection breaks.
		out.Body = io.NopCloser(noBytes{})
	}
	out.GetBody = nil
	res, err = l.transport.RoundTrip(out)
	if err != nil {
		return nil, connected.Load(), errors.Wrap(err, "local: the target didn't answer")
	}
	return res, true, nil
}

// RefusesConnections asks the target whether it takes connections. Only a
// refused one tells that its process has ended.
func (l *Target) RefusesConnections() bool {
	host, ok := l.host()
	if !ok {
		return true
	}
	ctx, cancel := context.WithTimeout(context.Background(), dialTimeoutMillis*time.Millisecond)
	defer cancel()
	conn, err := (&net.Dialer{}).DialContext(ctx, "tcp", host)
	if err == nil {
		_ = conn.Close()
	}
	return errors.Is(err, syscall.ECONNREFUSED)
}

// CloseIdleConnections ends the idle connections to the target.
func (l *Target) CloseIdleConnections() {
	l.transport.CloseIdleConnections()
}

// noBytes is an empty body.
type noBytes struct{}

func (noBytes) Read([]byte) (int, error) {
	return 0, io.EOF
}
