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

// attempt is one sending of a request to one peer.
type attempt struct {
	context  context.Context
	cancel   context.CancelCauseFunc
	envelope envel.Envelope
	held     *heldBody

	connected atomic.Bool
	mutex     sync.Mutex
	conn      net.Conn
	// doubting fires before timer, which ends the attempt.
	doubting *time.Timer
	timer    *time.Timer
	doubt    func()
}

func newAttempt(ctx context.Context, e envel.Envelope, r *http.Request, doubt func()) *attempt {
	a := &attempt{envelope: e, doubt: doubt}
	a.context, a.cancel = context.WithCancelCause(ctx)
	if e.Confirm {
		a.held = newHeldBody(a.context, r.Body)
	}
	return a
}

// request builds the request to the peer.
func (a *attempt) request(peer string, r *http.Request) *http.Request {
	traced := httptrace.WithClientTrace(a.context, &httptrace.ClientTrace{
		GotConn:        a.gotConn,
		Got1xxResponse: a.gotInterim,
	})
	address := *r.URL
	address.Scheme = "https"
	address.Host = peer
	out := (&http.Request{
		Method:     r.Method,
		URL:        &address,
		Proto:      "HTTP/2.0",
		ProtoMajor: 2,
		Header:     r.Header.Clone(),
		Host:       r.Host,
	}).WithContext(traced)
	out.Header.Set(envel.Header, a.envelope.Encode())
	if a.held != nil {
		// The length isn't told, because the confirmation byte comes before
		// the body. With a body of unknown length the transport never sends
		// a request again by itself, whatever its method and headers are.
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

// gotInterim is called for each interim response: any is a sign of life, and
// one of them is the admission.
func (a *attempt) gotInterim(status int, _ textproto.MIMEHeader) error {
	a.mutex.Lock()
	if a.timer != nil {
		a.timer.Reset(SilenceMillis * time.Millisecond)
		a.doubting.Reset(MissedHeartbeatMillis * time.Millisecond)
	}
	a.mutex.Unlock()
	if status == StatusAdmitted && a.held != nil {
		a.held.release()
	}
	return nil
}

func (a *attempt) watch() {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.timer = time.AfterFunc(SilenceMillis*time.Millisecond, a.silent)
	a.doubting = time.AfterFunc(MissedHeartbeatMillis*time.Millisecond, a.doubt)
}

func (a *attempt) unwatch() {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.timer.Stop()
	a.doubting.Stop()
}

// silent gives the attempt up and closes its connection, so that no other
// request waits for it in vain.
func (a *attempt) silent() {
	a.cancel(errSilent)
	a.mutex.Lock()
	defer a.mutex.Unlock()
	if a.conn == nil {
		return
	}
	_ = a.conn.Close()
}

// onSilent tells whether the attempt's connection was given up by this side,
// by another attempt or by the transport's pings.
func (a *attempt) onSilent() bool {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	secure, ok := a.conn.(*tls.Conn)
	if !ok {
		return false
	}
	w, ok := secure.NetConn().(*watched)
	return ok && w.silent()
}

// heldBody is a request body that waits for the gate's admission. Its first
// byte is the confirmation.
type heldBody struct {
	context  context.Context
	body     io.ReadCloser
	admitted chan struct{}
	once     sync.Once
	state    atomic.Int32
}

// A held body is either confirmed, when its first byte may have left, or
// sealed, when it never will. It never changes from one to the other.
const (
	waiting int32 = iota
	confirmed
	sealed
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

// seal keeps the confirmation byte from leaving, and returns false if it may
// have left already.
func (h *heldBody) seal() bool {
	return h.state.CompareAndSwap(waiting, sealed) || h.state.Load() == sealed
}

// Read blocks until the gate has admitted the request, gives the confirmation
// byte and then the body.
func (h *heldBody) Read(b []byte) (int, error) {
	if h.state.Load() == confirmed {
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
	if !h.state.CompareAndSwap(waiting, confirmed) {
		return 0, errSealed
	}
	b[0] = ConfirmationByte
	return 1, nil
}

// Close does nothing: the body belongs to whoever made the request, who may
// send it to another peer.
func (h *heldBody) Close() error {
	return nil
}
