// Package local holds the state of a node's own target and sends requests to it.
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
	"bergamotloom.example/heads"
)

// HeartbeatTimeoutMillis is how long a target may be silent before it counts as
// dead. It sends a heartbeat to its node every second, so one lost heartbeat is
// tolerated.
const HeartbeatTimeoutMillis = 2500

const (
	dialTimeoutMillis     = 500
	idleConnTimeoutMillis = 30_000
	maxIdleConnsPerHost   = 1024
	// maxHeadBytes bounds the head of a response, interim responses included.
	maxHeadBytes = 64 << 10
)

// errNoTarget is the error of a request while no target is reachable.
var errNoTarget = errors.New("local: no target is reachable")

// Target is the node's own target. It's safe for concurrent use.
type Target struct {
	clock     clock.Clock
	transport *http.Transport

	mutex   sync.Mutex
	service string
	address string
	slots   int
	leaving bool
	// reachable is false before the first heartbeat and after a refused
	// connection.
	reachable bool
	// lastHeartbeatMillis is when the last heartbeat came, by the node's clock.
	lastHeartbeatMillis int64
}

// New returns a target that has sent no heartbeat yet.
func New(c clock.Clock) *Target {
	dialer := &net.Dialer{Timeout: dialTimeoutMillis * time.Millisecond}
	return &Target{
		clock: c,
		transport: &http.Transport{
			DialContext:            dialer.DialContext,
			DisableCompression:     true,
			MaxIdleConnsPerHost:    maxIdleConnsPerHost,
			IdleConnTimeout:        idleConnTimeoutMillis * time.Millisecond,
			MaxResponseHeaderBytes: maxHeadBytes,
		},
	}
}

// RecordHeartbeat records a heartbeat of a target. The result isNew is true for
// the first heartbeat, for another service or address, and after
// MarkUnreachable; slotsChanged reports whether the number of slots
// has changed.
func (t *Target) RecordHeartbeat(service, address string, slots int) (isNew, slotsChanged bool) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	isNew = !t.reachable || service != t.service || address != t.address
	slotsChanged = slots != t.slots
	t.service, t.address, t.slots = service, address, slots
	t.lastHeartbeatMillis = t.clock.Now()
	t.reachable = true
	return isNew, slotsChanged
}

// MarkLeaving records that the target is leaving, by itself or with the node.
// This is final.
func (t *Target) MarkLeaving() {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.leaving = true
}

// Leaving reports whether the target is leaving.
func (t *Target) Leaving() bool {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return t.leaving
}

// Alive reports whether the target is reachable and its last heartbeat recent
// enough.
func (t *Target) Alive() bool {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return t.reachable && t.clock.Since(t.lastHeartbeatMillis) <= HeartbeatTimeoutMillis
}

// MarkUnreachable records that the target refused a connection. The next
// heartbeat undoes this.
func (t *Target) MarkUnreachable() {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.reachable = false
}

// Service returns the service that the target announced, and its slots.
func (t *Target) Service() (name string, slots int) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return t.service, t.slots
}

func (t *Target) reachableAddress() (string, bool) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return t.address, t.reachable
}

// Send passes the request to the target and returns its response. The transport
// never sends the request a second time. The result maybeSent reports whether
// any byte of it may have reached the target. An error says that no target is
// reachable, or that no response came or a malformed one.
func (t *Target) Send(ctx context.Context, r *http.Request) (res *http.Response, maybeSent bool, err error) {
	address, ok := t.reachableAddress()
	if !ok {
		return nil, false, errNoTarget
	}
	var connection atomic.Pointer[net.Conn]
	traced := httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) { connection.Store(&info.Conn) },
	})
	out := r.WithContext(traced)
	url := *r.URL
	url.Scheme = "http"
	url.Host = address
	out.URL = &url
	out.RequestURI = ""
	if out.Body == nil || out.Body == http.NoBody {
		// The transport resends a request without a body when a connection
		// breaks, but not one with a body that it can't rewind, even if empty.
		out.Body = io.NopCloser(emptyBody{})
	}
	out.GetBody = nil
	res, err = t.transport.RoundTrip(out)
	if err != nil {
		return nil, connection.Load() != nil, errors.Wrap(err, "local: the target didn't respond")
	}
	if !heads.IsStatus(res.StatusCode) {
		_ = res.Body.Close()
		// The transport reuses the connection after a status above 599 without a body.
		// What may follow there isn't a response to another request.
		if used := connection.Load(); used != nil {
			_ = (*used).Close()
		}
		return nil, true, errors.Errorf("local: malformed response of the target, status %q", res.Status)
	}
	return res, true, nil
}

// RefusesConnections tries to connect to the target. Only a refused connection
// proves that its process has ended; a timeout does not. It also returns
// true while no target is reachable.
func (t *Target) RefusesConnections() bool {
	address, ok := t.reachableAddress()
	if !ok {
		return true
	}
	ctx, cancel := context.WithTimeout(context.Background(), dialTimeoutMillis*time.Millisecond)
	defer cancel()
	conn, err := (&net.Dialer{}).DialContext(ctx, "tcp", address)
	if err == nil {
		_ = conn.Close()
	}
	return errors.Is(err, syscall.ECONNREFUSED)
}

// CloseIdleConnections closes the idle connections to the target.
func (t *Target) CloseIdleConnections() {
	t.transport.CloseIdleConnections()
}

// emptyBody is an empty body that the transport can't rewind.
type emptyBody struct{}

func (emptyBody) Read([]byte) (int, error) {
	return 0, io.EOF
}
