// Package forwrd sends a request over the hop from the entry node to a peer,
// where the gate of the chosen target takes it.
//
// The hop is HTTP/2 over mutual TLS: it streams bodies, carries cancellation,
// shows a broken answer as broken, and its pings find silent connections. On
// top of that, while a request waits, the gate sends an interim response every
// HeartbeatMillis. An attempt that hears nothing for SilenceMillis is given up
// and its connection is closed, so that the request can go elsewhere.
//
// A request that must not run twice, or that has a body, is sent in two steps.
// First goes the envelope. When the gate has admitted it, the forwarder releases
// the confirmation byte and the body. An attempt that failed before the
// release has certainly not run.
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
	"bergamotloom.example/level"
	"bergamotloom.example/reason"
	"bergamotloom.example/refuse"
	"bergamotloom.example/reply"
	"bergamotloom.example/runst"
	"bergamotloom.example/secret"
)

// Bounds of the hop, in milliseconds.
const (
	// HeartbeatMillis is the time between interim responses of the gate.
	HeartbeatMillis = 100
	// SilenceMillis is how long an attempt may hear nothing.
	SilenceMillis = 450
	// MissedHeartbeatMillis without a sign of life, two heartbeats and a half, let new
	// requests go elsewhere: each one that a silent connection catches costs a
	// retry.
	MissedHeartbeatMillis = 250

	dialTimeoutMillis = 300
	pingAfterMillis   = 500
	pingTimeoutMillis = 500
	idleConnMillis    = 90_000
)

// ConfirmationByte is the first byte of a confirmed body.
const ConfirmationByte = 'G'

// StatusAdmitted is the interim response that tells that the gate has admitted
// the request and waits for the confirmation byte.
const StatusAdmitted = http.StatusEarlyHints

var (
	errSilent    = errors.New("the connection is silent")
	errAbandoned = errors.New("the attempt was abandoned")
	errSealed    = errors.New("forwrd: the attempt has failed before its admission")
)

// Forwarder holds the connections to all peers. It's safe for many goroutines.
type Forwarder struct {
	clock     clock.Clock
	transport *http.Transport
}

// New returns a forwarder that shows the fleet's certificate to its peers.
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
				return watch(conn, c), nil
			},
			DisableCompression: true,
			IdleConnTimeout:    idleConnMillis * time.Millisecond,
			HTTP2: &http.HTTP2Config{
				SendPingTimeout: pingAfterMillis * time.Millisecond,
				PingTimeout:     pingTimeoutMillis * time.Millisecond,
			},
		},
	}
}

// Close ends the idle connections.
func (p *Forwarder) Close() {
	p.transport.CloseIdleConnections()
}

// Forward sends the request to the peer and returns as soon as the answer begins
// or the attempt has failed. The request gives method, path, headers (already
// fit to be forwarded) and body. Doubt is called each time that nothing was
// heard for MissedHeartbeatMillis, while the attempt goes on. The caller closes a served
// answer.
func (p *Forwarder) Forward(ctx context.Context, peer string, e envel.Envelope, r *http.Request, doubt func()) reply.Reply {
	a := newAttempt(ctx, e, r, doubt)
	out := a.request(peer, r)
	start := p.clock.Fine()
	a.watch()
	res, err := p.transport.RoundTrip(out)
	a.unwatch()
	took := p.clock.Fine() - start
	if err != nil {
		failed := a.failed(ctx, err)
		failed.TookMillis = took
		return failed
	}
	got := a.answered(res)
	got.TookMillis = took
	return got
}

// answered turns the gate's response into an answer: the target's own one, or
// a refusal that the gate marked as such.
func (a *attempt) answered(res *http.Response) reply.Reply {
	got := reply.Reply{
		Threshold: level.Level(number(res.Header, header.Threshold, int(level.Full))),
		Lowest:    bounds.Decode(res.Header.Get(header.Lowest)),
		Unused:    number(res.Header, header.Unused, 0),
	}
	if why := res.Header.Get(header.Refused); why != "" {
		_ = res.Body.Close()
		a.cancel(errAbandoned)
		got.Refusal = refuse.New(reason.Reason(why)).
			WithRan(runst.State(res.Header.Get(runst.Header))).
			WithRetryAfter(int64(number(res.Header, header.RetryAfterMillis, 0)))
		return got
	}
	got.Status = res.StatusCode
	got.Header = header.Forward(res.Header)
	got.Body = &closer{ReadCloser: res.Body, cancel: a.cancel}
	got.Trailer = &res.Trailer
	got.Length = res.ContentLength
	return got
}

// failed tells what is known of an attempt that got no response.
func (a *attempt) failed(ctx context.Context, err error) reply.Reply {
	ran := runst.Maybe
	gone := errors.Is(err, syscall.ECONNREFUSED)
	if gone || !a.connected.Load() || a.held != nil && a.held.seal() {
		ran = runst.Never
	}
	why := reason.InstanceLost
	switch {
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		why = reason.DeadlineExceeded
	case ctx.Err() != nil:
		why = reason.Cancelled
	}
	a.cancel(errAbandoned)
	got := reply.Refuse(refuse.New(why).WithRan(ran))
	got.Gone = gone
	got.Silent = errors.Is(context.Cause(a.context), errSilent) || a.onSilent()
	got.Broke = ran != runst.Never && !got.Silent && ctx.Err() == nil
	if ran == runst.Never {
		// Nobody took up the lent allowance.
		got.Unused = a.envelope.Allowance
	}
	return got
}

// closer ends the attempt when the answer's reader is done with it.
type closer struct {
	io.ReadCloser
	cancel context.CancelCauseFunc
}

// Close closes the body and frees what the attempt holds.
func (c *closer) Close() error {
	err := c.ReadCloser.Close()
	c.cancel(errAbandoned)
	return err
}

func number(h http.Header, name string, missing int) int {
	n, err := strconv.Atoi(h.Get(name))
	if err != nil {
		return missing
	}
	return n
}
