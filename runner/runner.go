// Package runner serves the hop at the peer port: it takes a request from an
// entry node through the gate, runs it at the target beside the node and
// streams the answer back.
package runner

import (
	"context"
	"io"
	"log/slog"
	"net/http"
	"strconv"
	"syscall"
	"time"

	"bergamotloom.example/ident"

	"github.com/pkg/errors"
	"github.com/rcrowley/go-metrics"

	"bergamotloom.example/admit"
	"bergamotloom.example/call"
	"bergamotloom.example/calls"
	"bergamotloom.example/clock"
	"bergamotloom.example/crash"
	"bergamotloom.example/envel"
	"bergamotloom.example/header"
	"bergamotloom.example/local"
	"bergamotloom.example/passer"
	"bergamotloom.example/reason"
	"bergamotloom.example/refuse"
	"bergamotloom.example/runst"
	"bergamotloom.example/stream"
)

// statusProcessing is the interim response that shows that the gate is alive.
const statusProcessing = http.StatusProcessing

// Runner runs requests at the node's own target.
type Runner struct {
	clock  clock.Clock
	gate   *admit.Admitter
	calls  *calls.Table
	target *local.Target
	marks  *crash.Marks
	deaths *deaths
	log    *slog.Logger

	served  metrics.Counter
	refused metrics.Counter
	took    metrics.Timer
}

// New returns a runner for the target, whose gate admits the requests.
func New(c clock.Clock, gate *admit.Admitter, running *calls.Table, target *local.Target, marks *crash.Marks, registry metrics.Registry, log *slog.Logger) *Runner {
	return &Runner{
		clock:   c,
		gate:    gate,
		calls:   running,
		target:  target,
		marks:   marks,
		deaths:  newDeaths(target, marks, log),
		log:     log,
		served:  metrics.GetOrRegisterCounter("Gate.Served", registry),
		refused: metrics.GetOrRegisterCounter("Gate.Refused", registry),
		took:    metrics.GetOrRegisterTimer("Gate.Took", registry),
	}
}

// ServeHTTP takes one request of the hop.
func (r *Runner) ServeHTTP(w http.ResponseWriter, in *http.Request) {
	e, err := envel.Decode(in.Header.Get(envel.Header))
	if err != nil {
		r.log.Warn("gate: a peer sent a malformed envelope", "Error", err)
		r.refuse(w, refuse.New(reason.BadRequest), e, nil)
		return
	}
	ctx, cancel := context.WithTimeout(in.Context(), time.Duration(e.TimeoutMillis)*time.Millisecond)
	defer cancel()
	if _, refused := r.marks.Refuses(e.Fingerprint); refused {
		r.refuse(w, refuse.New(reason.CrashSuspect), e, nil)
		return
	}
	pulse := startPulse(w)
	defer pulse.stop()

	end, refusal, admitted := r.gate.Admit(ctx, e)
	if !admitted {
		pulse.stop()
		r.refuse(w, refusal, e, nil)
		return
	}
	c := call.New(ctx, r.clock, ident.New(), e)
	start := r.clock.Fine()
	ok := false
	// The slot is given back even if copying the answer panics.
	defer func() { end(ok, c.ChildMillis()) }()
	if e.Confirm && !confirmed(pulse, in.Body) {
		// Nobody waits for this answer: the entry has gone elsewhere.
		r.refuse(w, refuse.New(reason.Cancelled), e, c)
		return
	}
	r.calls.Add(c)
	defer r.calls.Remove(c)
	ok = r.run(w, in, c, pulse)
	r.took.Update(time.Duration((r.clock.Fine() - start) * float64(time.Millisecond)))
}

// confirmed tells the entry that the request is admitted and waits for the
// byte that lets it run.
func confirmed(p *pulse, body io.Reader) bool {
	p.send(passer.StatusAdmitted)
	var first [1]byte
	_, err := io.ReadFull(body, first[:])
	return err == nil && first[0] == passer.Confirmation
}

// run passes the request to the target and its answer back, and tells whether
// the target answered whole.
func (r *Runner) run(w http.ResponseWriter, in *http.Request, c *call.Call, p *pulse) bool {
	res, wrote, err := r.send(in, c)
	p.stop()
	if err != nil {
		r.refuse(w, r.unanswered(c.Context(), c.Envelope.Fingerprint, wrote, err), c.Envelope, c)
		return false
	}
	defer func() { _ = res.Body.Close() }()
	if shed(res) {
		r.refuse(w, refuse.New(reason.Overloaded).WithDetail("The target shed the request."), c.Envelope, c)
		return false
	}
	h := w.Header()
	stream.Headers(h, header.Forward(res.Header))
	r.mark(h, c.Envelope, c)
	if res.ContentLength >= 0 {
		h.Set("Content-Length", strconv.FormatInt(res.ContentLength, 10))
	}
	w.WriteHeader(res.StatusCode)
	if err := stream.Copy(w, res.Body, res.ContentLength); err != nil {
		r.log.Info("gate: an answer broke off", "Request", c.Envelope.Request, "Error", err)
		if c.Context().Err() == nil {
			r.lost(c.Envelope.Fingerprint, true, err)
		}
		// Resets the stream, so that the entry sees that the answer isn't
		// whole.
		panic(http.ErrAbortHandler)
	}
	stream.Trailers(w, &res.Trailer)
	r.served.Inc(1)
	r.marks.Answered(c.Envelope.Fingerprint)
	return true
}

// outgoing builds the request as the target gets it.
func (r *Runner) outgoing(in *http.Request, c *call.Call) *http.Request {
	e := c.Envelope
	out := in.WithContext(c.Context())
	out.Header = header.Forward(in.Header)
	out.Header.Set(header.Request, e.Request)
	out.Header.Set(header.Team, e.Team)
	out.Header.Set(header.Call, c.Token)
	out.Header.Set(header.Rank, e.Rank.String())
	out.Header.Set(header.Timeout, strconv.FormatInt(max(c.DeadlineMillis-r.clock.Now(), 1), 10))
	out.ContentLength = e.BodyLength
	out.TransferEncoding = nil
	if e.BodyLength == 0 {
		out.Body = nil
	}
	return out
}

// unanswered says what is known of a request that the target didn't answer.
func (r *Runner) unanswered(ctx context.Context, fingerprint string, wrote bool, err error) refuse.Refusal {
	why := reason.InstanceLost
	switch {
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		why = reason.DeadlineExceeded
	case ctx.Err() != nil:
		why = reason.Cancelled
	default:
		r.log.Warn("gate: the target didn't answer", "Error", err)
		r.lost(fingerprint, wrote, err)
	}
	ran := runst.Maybe
	if !wrote {
		ran = runst.Never
	}
	return refuse.New(why).WithRan(ran)
}

// lost looks into a request that broke off for no reason of the caller's.
func (r *Runner) lost(fingerprint string, wrote bool, err error) {
	switch {
	case errors.Is(err, syscall.ECONNREFUSED):
		r.target.MarkUnreachable()
	case wrote:
		r.deaths.suspect(fingerprint)
	}
}

// shed tells whether the target refused the request before it ran any of it.
func shed(res *http.Response) bool {
	return res.StatusCode == http.StatusServiceUnavailable &&
		res.Header.Get(runst.Header) == string(runst.Never)
}

// refuse answers the entry with a refusal of the gate.
func (r *Runner) refuse(w http.ResponseWriter, f refuse.Refusal, e envel.Envelope, c *call.Call) {
	r.refused.Inc(1)
	h := w.Header()
	r.mark(h, e, c)
	h.Set(header.Refused, string(f.Reason))
	h.Set(runst.Header, string(f.Ran))
	h.Set(header.RetryAfterMillis, strconv.FormatInt(f.RetryAfterMillis, 10))
	w.WriteHeader(f.Reason.Status())
}

// mark sets what goes back to the entry with each answer: the thresholds, and
// what is left of the lent retry allowance.
func (r *Runner) mark(h http.Header, e envel.Envelope, c *call.Call) {
	own := r.gate.Bounds(e.Team)
	own.Service, _ = r.target.Service()
	lowest := own
	unused := e.Allowance
	if c != nil {
		unused = c.UnusedAllowance()
		lowest = own.Lower(c.LowestBounds())
	}
	h.Set(header.Threshold, strconv.Itoa(int(own.Threshold)))
	h.Set(header.Lowest, lowest.Encode())
	h.Set(header.Unused, strconv.Itoa(unused))
}
