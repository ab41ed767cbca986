package entry

import (
	"context"
	"net/http"

	"github.com/pkg/errors"
	"github.com/rcrowley/go-metrics"

	"bergamotloom.example/header"
	"bergamotloom.example/reason"
	"bergamotloom.example/refuse"
	"bergamotloom.example/reply"
	"bergamotloom.example/runst"
	"bergamotloom.example/stream"
)

// deliver sends the request and streams the answer back.
func deliver(e *Entry, k *work) (refuse.Refusal, bool) {
	got := e.send(k)
	defer got.Close()
	e.filter.learn(k.route.Name, k.team.Name, got.Lowest)
	if !got.Served() {
		r, refused := e.failed(k, got)
		e.endRefused(k, r)
		return r, refused
	}
	h := k.writer.Header()
	stream.Headers(h, got.Header)
	k.writer.WriteHeader(got.Status)
	err := e.copyAnswer(k, got)
	if err != nil {
		e.log.Info("entry: an answer broke off", "Request", k.envelope.Request, "Error", err)
		metrics.GetOrRegisterCounter("Entry.Broken", e.registry).Inc(1)
		// Closes the connection without the end of the body, so that the
		// caller sees that the answer isn't whole.
		panic(http.ErrAbortHandler)
	}
	stream.Trailers(k.writer, got.Trailer)
	metrics.GetOrRegisterCounter("Entry.Served", e.registry).Inc(1)
	k.answered = true
	return pass()
}

// copyAnswer streams the body to the caller, and keeps the outcome of a
// request that was claimed. Such a one is read to its end even when its caller
// has gone, so that a resend finds the outcome.
func (e *Entry) copyAnswer(k *work, got reply.Reply) error {
	if k.claim == nil {
		return stream.Copy(k.writer, got.Body, got.Length)
	}
	kept := newKeeper(got.Body)
	err := stream.Copy(k.writer, kept, got.Length)
	if err != nil {
		kept.readOn()
	}
	e.endServed(k, got, kept)
	return err
}

// send passes the request on, charged to its parent if it has one.
func (e *Entry) send(k *work) reply.Reply {
	out := k.in.WithContext(k.context)
	out.Header = header.Forward(k.in.Header)
	if k.parent == nil {
		got, unused := e.dispatch.Send(k.context, "", k.route.Service, k.envelope, k.deadline, k.allowance, out)
		e.filter.giveBack(unused.Left())
		return got
	}
	lent := k.parent.BeginChild()
	got, unused := e.dispatch.Send(k.context, e.service(), k.route.Service, k.envelope, k.deadline, lent, out)
	k.parent.EndChild(unused)
	k.parent.RecordBounds(got.Lowest)
	if !got.Served() || got.Status >= http.StatusInternalServerError {
		k.parent.ChildFailed(k.envelope.Fingerprint)
	}
	return got
}

// failed says why there is no answer, by what the entry knows better than the
// hop: the caller's own doings and the deadline.
func (e *Entry) failed(k *work, got reply.Reply) (refuse.Refusal, bool) {
	r := got.Refusal
	switch {
	case k.body != nil && k.body.exceeded:
		r.Reason = reason.BodyTooLarge
	case errors.Is(k.context.Err(), context.DeadlineExceeded):
		r.Reason = reason.DeadlineExceeded
	case k.in.Context().Err() != nil:
		r.Reason = reason.Cancelled
	}
	if r.Ran == "" {
		r.Ran = runst.Maybe
	}
	return r, true
}
