// Package runner serves requests of entry nodes at the peer port: it has the
// gate admit a request, sends it to the node's own target and streams the
// response back.
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
	"golang.org/x/time/rate"

	"bergamotloom.example/admit"
	"bergamotloom.example/call"
	"bergamotloom.example/calls"
	"bergamotloom.example/clock"
	"bergamotloom.example/crash"
	"bergamotloom.example/envel"
	"bergamotloom.example/forwrd"
	"bergamotloom.example/header"
	"bergamotloom.example/local"
	"bergamotloom.example/reason"
	"bergamotloom.example/refuse"
	"bergamotloom.example/runst"
	"bergamotloom.example/stream"
)

// statusHeartbeat is the status of the interim responses that serve as
// heartbeats of the gate.
const statusHeartbeat = http.StatusProcessing

// failedLogsPerSecond bounds the log lines about responses that didn't come or were
// malformed.
const failedLogsPerSecond = 1

// Runner runs requests at the node's own target.
type Runner struct {
	clock         clock.Clock
	gate          *admit.Admitter
	runningCalls  *calls.Table
	target        *local.Target
	suspects      *crash.Suspects
	crashDetector *crashDetector
	log           *slog.Logger

	served  metrics.Counter
	refused metrics.Counter
	// failed counts requests to which the target sent no response, or a malformed one;
	// failedLog bounds the log lines about them.
	failed    metrics.Counter
	failedLog *rate.Limiter
	runTime   metrics.Timer
}

// New returns a runner for the target, whose gate admits the requests.
func New(c clock.Clock, gate *admit.Admitter, runningCalls *calls.Table, target *local.Target, suspects *crash.Suspects, registry metrics.Registry, log *slog.Logger) *Runner {
	return &Runner{
		clock:         c,
		gate:          gate,
		runningCalls:  runningCalls,
		target:        target,
		suspects:      suspects,
		crashDetector: newCrashDetector(target, suspects, log),
		log:           log,
		served:        metrics.GetOrRegisterCounter("Gate.Served", registry),
		refused:       metrics.GetOrRegisterCounter("Gate.Refused", registry),
		failed:        metrics.GetOrRegisterCounter("Gate.Failed", registry),
		failedLog:     rate.NewLimiter(failedLogsPerSecond, 1),
		runTime:       metrics.GetOrRegisterTimer("Gate.Took", registry),
	}
}

// ServeHTTP serves one request of an entry node.
func (r *Runner) ServeHTTP(w http.ResponseWriter, in *http.Request) {
	e, err := envel.Decode(in.Header.Get(envel.Header))
	if err != nil {
		r.log.Warn("gate: a peer sent a malformed envelope", "Error", err)
		r.refuse(w, refuse.New(reason.BadRequest), e, nil)
		return
	}
	ctx, cancel := context.WithTimeout(in.Context(), time.Duration(e.TimeoutMillis)*time.Millisecond)
	defer cancel()
	if _, refused := r.suspects.Refuses(e.Fingerprint); refused {
		r.refuse(w, refuse.New(reason.CrashSuspect), e, nil)
		return
	}
	interim := startInterimSender(w)
	defer interim.stop()

	end, refusal, admitted := r.gate.Admit(ctx, e)
	if !admitted {
		interim.stop()
		r.refuse(w, refusal, e, nil)
		return
	}
	c := call.New(ctx, r.clock, ident.New(), e)
	startMillis := r.clock.Fine()
	complete := false
	// The slot is freed even if copying the response panics.
	defer func() { end(complete, c.ChildMillis()) }()
	if e.Confirm && !awaitConfirmation(interim, in.Body) {
		// Nobody reads this refusal: the entry has abandoned the attempt.
		r.refuse(w, refuse.New(reason.Cancelled), e, c)
		return
	}
	r.runningCalls.Add(c)
	defer r.runningCalls.Remove(c)
	complete = r.run(w, in, c, interim)
	r.runTime.Update(time.Duration((r.clock.Fine() - startMillis) * float64(time.Millisecond)))
}

// awaitConfirmation notifies the entry that the request is admitted, and waits for
// the confirmation byte without which it must not run.
func awaitConfirmation(interim *interimSender, body io.Reader) bool {
	interim.send(forwrd.StatusAdmitted)
	var first [1]byte
	_, err := io.ReadFull(body, first[:])
	return err == nil && first[0] == forwrd.ConfirmationByte
}

// run passes the request to the target and the response back, and reports
// whether the response was complete.
func (r *Runner) run(w http.ResponseWriter, in *http.Request, c *call.Call, interim *interimSender) bool {
	res, maybeSent, err := r.send(in, c)
	interim.stop()
	if err != nil {
		if errors.Is(err, errNoResponse) {
			w.Header().Set(header.Stalled, strconv.FormatBool(true))
		}
		r.refuse(w, r.failureRefusal(c.Context(), c.Envelope.Fingerprint, maybeSent, err), c.Envelope, c)
		return false
	}
	defer func() { _ = res.Body.Close() }()
	if wasShed(res) {
		r.refuse(w, refuse.New(reason.Overloaded).WithDetail("The target shed the request."), c.Envelope, c)
		return false
	}
	h := w.Header()
	stream.Headers(h, header.Forward(res.Header))
	r.setFeedback(h, c.Envelope, c)
	if res.ContentLength >= 0 {
		h.Set("Content-Length", strconv.FormatInt(res.ContentLength, 10))
	}
	w.WriteHeader(res.StatusCode)
	if err := stream.Copy(w, res.Body, res.ContentLength); err != nil {
		r.log.Info("gate: failed to copy the response", "Request", c.Envelope.Request, "Error", err)
		if c.Context().Err() == nil {
			r.reportFailure(c.Envelope.Fingerprint, true, err)
		}
		// Resets the stream, so that the entry sees that the response is
		// incomplete.
		panic(http.ErrAbortHandler)
	}
	stream.Trailers(w, &res.Trailer)
	r.served.Inc(1)
	r.suspects.ResponseReceived(c.Envelope.Fingerprint)
	return true
}

// outgoing builds the request that is sent to the target.
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

// failureRefusal returns the refusal for a request that got no response from
// the target. The refusal says whether the request may have run.
func (r *Runner) failureRefusal(ctx context.Context, fingerprint string, maybeSent bool, err error) refuse.Refusal {
	cause := reason.InstanceLost
	switch {
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		cause = reason.DeadlineExceeded
	case ctx.Err() != nil:
		cause = reason.Cancelled
	default:
		r.failed.Inc(1)
		if r.failedLog.Allow() {
			r.log.Warn("gate: the target didn't respond", "Error", err, "Count", r.failed.Count())
		}
		r.reportFailure(fingerprint, maybeSent, err)
	}
	ran := runst.Maybe
	if !maybeSent {
		ran = runst.Never
	}
	return refuse.New(cause).WithRan(ran)
}

// reportFailure marks the target unreachable after a refused connection, and has
// it checked for a crash after any other failure of a request that may have
// reached it.
func (r *Runner) reportFailure(fingerprint string, maybeSent bool, err error) {
	switch {
	case errors.Is(err, syscall.ECONNREFUSED):
		r.target.MarkUnreachable()
	case maybeSent:
		r.crashDetector.addFailed(fingerprint)
	}
}

// wasShed reports whether the target refused the request before it ran any of
// it.
func wasShed(res *http.Response) bool {
	return res.StatusCode == http.StatusServiceUnavailable &&
		res.Header.Get(runst.Header) == string(runst.Never)
}

// refuse sends the entry a refusal of the gate. The call is nil if the request
// didn't start to run.
func (r *Runner) refuse(w http.ResponseWriter, refusal refuse.Refusal, e envel.Envelope, c *call.Call) {
	r.refused.Inc(1)
	h := w.Header()
	r.setFeedback(h, e, c)
	h.Set(header.Refused, string(refusal.Reason))
	h.Set(runst.Header, string(refusal.Ran))
	h.Set(header.RetryAfterMillis, strconv.FormatInt(refusal.RetryAfterMillis, 10))
	w.WriteHeader(refusal.Reason.Status())
}

// setFeedback sets the headers that go back to the entry with each response:
// the thresholds, and what is left of the lent retry allowance. The call is nil
// if the request didn't start to run, so that the whole allowance is left.
func (r *Runner) setFeedback(h http.Header, e envel.Envelope, c *call.Call) {
	bounds := r.gate.Bounds(e.Team)
	bounds.Service, _ = r.target.Service()
	lowestBounds := bounds
	unusedAllowance := e.Allowance
	if c != nil {
		unusedAllowance = c.UnusedAllowance()
		lowestBounds = bounds.Lower(c.LowestBounds())
	}
	h.Set(header.Threshold, strconv.Itoa(int(bounds.Threshold)))
	h.Set(header.Lowest, lowestBounds.Encode())
	h.Set(header.UnusedAllowance, strconv.Itoa(unusedAllowance))
}
