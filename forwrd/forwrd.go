// Package forwrd forwards a request from the entry node to a peer, where the
// gate of the selected target receives it.
//
// The protocol is HTTP/2 over mutual TLS: it streams bodies, propagates
// cancellation and shows that a response is incomplete, and its pings detect
// stalled connections. In addition, while a request waits, the gate sends an
// interim response every HeartbeatMillis. An attempt that receives nothing for
// SilenceMillis is cancelled and its connection is closed, so that the request
// can be retried on another instance.
//
// A request that must not run twice, or that has a body, is sent in two steps.
// The envelope goes first. Once the gate has admitted it, the forwarder sends
// the confirmation byte and the body. An attempt that failed before this byte
// was sent has certainly not run.
package forwrd

import (
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"bergamotloom.example/bounds"
	"bergamotloom.example/clock"
	"bergamotloom.example/envel"
	"bergamotloom.example/header"
	"bergamotloom.example/heads"
	"bergamotloom.example/level"
	"bergamotloom.example/reason"
	"bergamotloom.example/refuse"
	"bergamotloom.example/reply"
	"bergamotloom.example/runst"
	"bergamotloom.example/secret"
)

// Times of the connection between nodes, in milliseconds.
const (
	// HeartbeatMillis is the interval between the gate's interim responses.
	HeartbeatMillis = 100
	// SilenceMillis, four and a half heartbeats, is how long an attempt may
	// receive nothing before it's cancelled.
	SilenceMillis = 450
	// MissedHeartbeatMillis, two and a half heartbeats, is how long an attempt
	// may receive nothing before its instance is ejected. It's shorter than
	// SilenceMillis because each request sent on a stalled connection costs a
	// retry.
	MissedHeartbeatMillis = 250

	dialTimeoutMillis = 300
	// pingAfterMillis is how long nothing may arrive on a connection before a
	// ping is sent. The connection is closed if there is no response to the ping
	// within pingTimeoutMillis.
	pingAfterMillis       = 500
	pingTimeoutMillis     = 500
	idleConnTimeoutMillis = 90_000
)

// ConfirmationByte precedes the body of a confirmed request. It tells the gate
// that the entry still waits for the request, which may then run.
const ConfirmationByte = 'G'

// StatusAdmitted is the status of the interim response which says that the gate
// has admitted the request and waits for the confirmation byte.
const StatusAdmitted = http.StatusEarlyHints

var (
	errConnectionStalled = errors.New("the connection stalled")
	errAbandoned         = errors.New("the attempt was abandoned")
	errWithheld          = errors.New("forwrd: the request body was withheld after the attempt failed")
)

// Forwarder holds the connections to all peers. It's safe for concurrent use.
type Forwarder struct {
	clock     clock.Clock
	transport *http.Transport
}

// New returns a forwarder that authenticates to its peers with the fleet's
// certificate.
func New(c clock.Clock, secret *secret.Secret) *Forwarder {
	protocols := &http.Protocols{}
	protocols.SetHTTP2(true)
	dialer := &net.Dialer{Timeout: dialTimeoutMillis * time.Millisecond}
	return &Forwarder{
		clock: c,
		transport: &http.Transport{
			Protocols:           protocols,
			TLSClientConfig:     secret.ClientTLS("h2"),
			TLSHandshakeTimeout: dialTimeoutMillis * time.Millisecond,
			DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
				conn, err := dialer.DialContext(ctx, network, address)
				if err != nil {
					return nil, err
				}
				return watchConn(conn, c), nil
			},
			DisableCompression: true,
			IdleConnTimeout:    idleConnTimeoutMillis * time.Millisecond,
			HTTP2: &http.HTTP2Config{
				SendPingTimeout: pingAfterMillis * time.Millisecond,
				PingTimeout:     pingTimeoutMillis * time.Millisecond,
			},
		},
	}
}

// Close closes the idle connections.
func (f *Forwarder) Close() {
	f.transport.CloseIdleConnections()
}

// Forward sends the request to the peer and returns once the response begins or
// the attempt has failed. r provides the method, path, body and headers, which
// must already be filtered for forwarding. onMissedHeartbeat is called each
// time that nothing was received for MissedHeartbeatMillis while the attempt
// continues. The caller must close the body of a served response.
func (f *Forwarder) Forward(ctx context.Context, peer string, e envel.Envelope, r *http.Request, onMissedHeartbeat func()) reply.Reply {
	a := newAttempt(ctx, e, r, onMissedHeartbeat)
	out := a.request(peer, r)
	start := f.clock.Fine()
	a.startTimers()
	response, err := f.transport.RoundTrip(out)
	a.stopTimers()
	firstByteMillis := f.clock.Fine() - start
	if err != nil {
		result := a.failureResult(ctx, err)
		result.FirstByteMillis = firstByteMillis
		return result
	}
	if !heads.IsStatus(response.StatusCode) {
		// A gate of an older build forwards the invalid status of its target.
		_ = response.Body.Close()
		a.cancel(errAbandoned)
		return reply.Refused(refuse.New(reason.InstanceLost).WithRan(runst.Maybe))
	}
	result := a.responseResult(response)
	result.FirstByteMillis = firstByteMillis
	return result
}

// responseResult returns the result of an attempt that got a response: the
// target's response, or a refusal that the gate marked as one.
func (a *attempt) responseResult(response *http.Response) reply.Reply {
	result := reply.Reply{
		Threshold:       level.Level(headerInt(response.Header, header.Threshold, int(level.Full))),
		Lowest:          bounds.Decode(response.Header.Get(header.Lowest)),
		UnusedAllowance: headerInt(response.Header, header.UnusedAllowance, 0),
	}
	if cause := response.Header.Get(header.Refused); cause != "" {
		_ = response.Body.Close()
		a.cancel(errAbandoned)
		result.TargetStalled = response.Header.Get(header.Stalled) == strconv.FormatBool(true)
		result.Refusal = refuse.New(reason.Reason(cause)).
			WithRan(runst.State(response.Header.Get(runst.Header))).
			WithRetryAfter(int64(headerInt(response.Header, header.RetryAfterMillis, 0)))
		return result
	}
	result.Status = response.StatusCode
	result.Header = header.Forward(response.Header)
	result.Body = &responseBody{ReadCloser: response.Body, cancel: a.cancel}
	result.Trailer = &response.Trailer
	result.Length = response.ContentLength
	return result
}

// failureResult returns the result of an attempt that got no response, with
// what is known about whether it ran.
func (a *attempt) failureResult(ctx context.Context, err error) reply.Reply {
	ran := runst.Maybe
	connectionRefused := errors.Is(err, syscall.ECONNREFUSED)
	if connectionRefused || !a.connected.Load() || a.held != nil && a.held.withhold() {
		ran = runst.Never
	}
	cause := reason.InstanceLost
	switch {
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		cause = reason.DeadlineExceeded
	case ctx.Err() != nil:
		cause = reason.Cancelled
	}
	a.cancel(errAbandoned)
	result := reply.Refused(refuse.New(cause).WithRan(ran))
	result.ConnectionRefused = connectionRefused
	result.ConnectionStalled = errors.Is(context.Cause(a.context), errConnectionStalled) || a.connectionStalled()
	result.ConnectionLost = ran != runst.Never && !result.ConnectionStalled && ctx.Err() == nil
	if ran == runst.Never {
		// The attempt's allowance never reached the target.
		result.UnusedAllowance = a.envelope.Allowance
	}
	return result
}

// responseBody ends the attempt when the response body is closed.
type responseBody struct {
	io.ReadCloser
	cancel context.CancelCauseFunc
}

// Close closes the body and releases the attempt's resources.
func (r *responseBody) Close() error {
	err := r.ReadCloser.Close()
	r.cancel(errAbandoned)
	return err
}

func headerInt(h http.Header, name string, fallback int) int {
	n, err := strconv.Atoi(h.Get(name))
	if err != nil {
		return fallback
	}
	return n
}
