package entry

import (
	"context"
	"net/http"

	"github.com/pkg/errors"
	"github.com/rcrowley/go-metrics"

	"bergamotloom.example/duplex"
	"bergamotloom.example/header"
	"bergamotloom.example/reason"
	"bergamotloom.example/refuse"
	"bergamotloom.example/reply"
	"bergamotloom.example/runst"
	"bergamotloom.example/stream"
)

// deliver sends the request and streams the response back.
func deliver(e *Entry, x *exchange) (refuse.Refusal, bool) {
	response := e.send(x)
	defer response.Close()
	e.overload.learn(x.route.Name, x.team.Name, response.Lowest)
	if !response.Served() {
		r, refused := e.refusalFor(x, response)
		e.recordRefusal(x, r)
		return r, refused
	}
	duplex.Allow(x.writer, x.request)
	h := x.writer.Header()
	stream.Headers(h, response.Header)
	x.writer.WriteHeader(response.Status)
	err := e.copyResponse(x, response)
	if err != nil {
		e.log.Info("entry: response ended early", "Request", x.envelope.Request, "Error", err)
		metrics.GetOrRegisterCounter("Entry.Broken", e.registry).Inc(1)
		// Closes the connection before the end of the body, so that the caller
		// sees that the response is incomplete.
		panic(http.ErrAbortHandler)
	}
	stream.Trailers(x.writer, response.Trailer)
	metrics.GetOrRegisterCounter("Entry.Served", e.registry).Inc(1)
	x.responded = true
	return proceed()
}

// copyResponse streams the body to the caller and records the outcome of a
// claimed request. A response that is short enough to store is read to its end
// even if the caller has disconnected, so that a resend finds the outcome.
func (e *Entry) copyResponse(x *exchange, response reply.Reply) error {
	if x.claim == nil {
		return stream.Copy(x.writer, response.Body, response.Length)
	}
	recorded := newBodyRecorder(response.Body)
	err := stream.Copy(x.writer, recorded, response.Length)
	if err != nil {
		recorded.readRest()
	}
	e.recordOutcome(x, response, recorded)
	return err
}

// send dispatches the request. The retries of a call made by a target come out
// of the allowance of its parent, those of other requests out of the allowance
// from grantAllowance and the node's retry budget.
func (e *Entry) send(x *exchange) reply.Reply {
	outgoing := x.request.WithContext(x.context)
	outgoing.Header = header.Forward(x.request.Header)
	if x.parent == nil {
		response, unused := e.dispatch.Send(x.context, "", x.route.Service, x.envelope, x.deadlineMillis, x.allowance, func() bool { return e.grantRetry(x) }, outgoing)
		e.overload.returnRetries(unused.Left())
		return response
	}
	childAllowance := x.parent.BeginChild()
	response, unused := e.dispatch.Send(x.context, e.ownService(), x.route.Service, x.envelope, x.deadlineMillis, childAllowance, nil, outgoing)
	x.parent.EndChild(unused)
	x.parent.RecordBounds(response.Lowest)
	if !response.Served() || response.Status >= http.StatusInternalServerError {
		x.parent.ChildFailed(x.envelope.Fingerprint)
	}
	return response
}

// refusalFor returns the refusal for a request without a response. Causes that
// only the entry sees take precedence over the peer's reason: an oversized
// body, the deadline, and a caller that disconnected.
func (e *Entry) refusalFor(x *exchange, response reply.Reply) (refuse.Refusal, bool) {
	r := response.Refusal
	switch {
	case x.body != nil && x.body.exceeded:
		r.Reason = reason.BodyTooLarge
	case errors.Is(x.context.Err(), context.DeadlineExceeded):
		r.Reason = reason.DeadlineExceeded
	case x.request.Context().Err() != nil:
		r.Reason = reason.Cancelled
	}
	if r.Ran == "" {
		r.Ran = runst.Maybe
	}
	return r, true
}
