package forwrd

import (
	"context"
	"crypto/tls"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/textproto"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"bergamotloom.example/envel"
)

// attempt is one send of a request to one peer.
type attempt struct {
	context  context.Context
	cancel   context.CancelCauseFunc
	envelope envel.Envelope
	held     *heldBody

	connected atomic.Bool
	mutex     sync.Mutex
	conn      net.Conn
	// heartbeatTimer fires before silenceTimer, which ends the attempt.
	heartbeatTimer    *time.Timer
	silenceTimer      *time.Timer
	onMissedHeartbeat func()
}

func newAttempt(ctx context.Context, e envel.Envelope, r *http.Request, onMissedHeartbeat func()) *attempt {
	a := &attempt{envelope: e, onMissedHeartbeat: onMissedHeartbeat}
	a.context, a.cancel = context.WithCancelCause(ctx)
	if e.Confirm {
		a.held = newHeldBody(a.context, r.Body)
	}
	return a
}

// request builds the request that is sent to the peer.
func (a *attempt) request(peer string, r *http.Request) *http.Request {
	tracedContext := httptrace.WithClientTrace(a.context, &httptrace.ClientTrace{
		GotConn:        a.gotConn,
		Got1xxResponse: a.gotInterim,
	})
	peerURL := *r.URL
	peerURL.Scheme = "https"
	peerURL.Host = peer
	out := (&http.Request{
		Method:     r.Method,
		URL:        &peerURL,
		Proto:      "HTTP/2.0",
		ProtoMajor: 2,
		Header:     r.Header.Clone(),
		Host:       r.Host,
	}).WithContext(tracedContext)
	out.Header.Set(envel.Header, a.envelope.Encode())
	if a.held != nil {
		// The length isn't declared, because the confirmation byte precedes the
		// body. The transport never resends a request with a body of unknown
		// length by itself, whatever its method and headers are.
		out.Body = a.held
		out.ContentLength = -1
	}
	return out
}

func (a *attempt) gotConn(info httptrace.GotConnInfo) {
	a.connected.Store(true)
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.conn = info.Conn
}

// gotInterim is called for each interim response. Each one shows that the peer
// is alive, and StatusAdmitted is the admission.
func (a *attempt) gotInterim(status int, _ textproto.MIMEHeader) error {
	a.mutex.Lock()
	if a.silenceTimer != nil {
		a.silenceTimer.Reset(SilenceMillis * time.Millisecond)
		a.heartbeatTimer.Reset(MissedHeartbeatMillis * time.Millisecond)
	}
	a.mutex.Unlock()
	if status == StatusAdmitted && a.held != nil {
		a.held.release()
	}
	return nil
}

func (a *attempt) startTimers() {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.silenceTimer = time.AfterFunc(SilenceMillis*time.Millisecond, a.closeStalled)
	a.heartbeatTimer = time.AfterFunc(MissedHeartbeatMillis*time.Millisecond, a.onMissedHeartbeat)
}

func (a *attempt) stopTimers() {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.silenceTimer.Stop()
	a.heartbeatTimer.Stop()
}

// closeStalled cancels the attempt and closes its connection, so that no other
// request waits on it.
func (a *attempt) closeStalled() {
	a.cancel(errConnectionStalled)
	a.mutex.Lock()
	defer a.mutex.Unlock()
	if a.conn == nil {
		return
	}
	_ = a.conn.Close()
}

// connectionStalled reports whether the connection failed without the peer
// ending it: another attempt or the ping timeout closed it, or nothing has
// arrived on it for SilenceMillis.
func (a *attempt) connectionStalled() bool {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	tlsConn, ok := a.conn.(*tls.Conn)
	if !ok {
		return false
	}
	w, ok := tlsConn.NetConn().(*watchedConn)
	return ok && w.notEndedByPeer()
}

// heldBody is a request body that is held back until the gate admits the
// request. Its first byte is the confirmation byte.
type heldBody struct {
	context  context.Context
	body     io.ReadCloser
	admitted chan struct{}
	once     sync.Once
	state    atomic.Int32
}

// The state of a held body is either confirmed, when the confirmation byte may
// have been sent, or withheld, when it never will be. Both states are final.
const (
	statePending int32 = iota
	stateConfirmed
	stateWithheld
)

func newHeldBody(ctx context.Context, body io.ReadCloser) *heldBody {
	if body == nil {
		body = http.NoBody
	}
	return &heldBody{context: ctx, body: body, admitted: make(chan struct{})}
}

func (h *heldBody) release() {
	h.once.Do(func() { close(h.admitted) })
}

// withhold prevents the confirmation byte from being sent. It returns false if
// the byte may already have been sent.
func (h *heldBody) withhold() bool {
	return h.state.CompareAndSwap(statePending, stateWithheld) || h.state.Load() == stateWithheld
}

// Read blocks until the gate has admitted the request, then returns the
// confirmation byte and after it the body.
func (h *heldBody) Read(b []byte) (int, error) {
	if h.state.Load() == stateConfirmed {
		return h.body.Read(b)
	}
	select {
	case <-h.context.Done():
		return 0, errors.Wrap(context.Cause(h.context), "forwrd: not admitted")
	case <-h.admitted:
	}
	if err := h.context.Err(); err != nil {
		return 0, errors.Wrap(err, "forwrd: not admitted in time")
	}
	if len(b) == 0 {
		return 0, nil
	}
	if !h.state.CompareAndSwap(statePending, stateConfirmed) {
		return 0, errWithheld
	}
	b[0] = ConfirmationByte
	return 1, nil
}

// Close does nothing: the body belongs to the sender of the request, who may
// send it to another peer.
func (h *heldBody) Close() error {
	return nil
}
