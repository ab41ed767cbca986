package hops

import (
	"context"
	"io"
	"net/http"

	"bergamotloom.example/accept"
	"bergamotloom.example/body"
	"bergamotloom.example/duplex"
	"bergamotloom.example/heads"
	"bergamotloom.example/intake"
	"bergamotloom.example/output"
	"bergamotloom.example/reason"
	"bergamotloom.example/runst"
	"bergamotloom.example/socket"
	"bergamotloom.example/trip"
)

// gate admits requests and runs them at the target.
type gate interface {
	Do(ctx context.Context, r *http.Request, h http.Header, b body.Body, t trip.Trip) output.Output
	Load() (running, waiting int)
	Slowness() float64
}

// Handler serves the requests that other nodes send to the gate.
func Handler(g gate, i *intake.Intake) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		o, b := serve(g, i, w, r)
		defer b.Release()
		o = o.WithCause(r.Context())
		duplex.Discard(w, r)
		duplex.Allow(w, r)
		RemoveOwnHeaders(o.Header)
		running, waiting := g.Load()
		addLoad(w.Header(), running, waiting, g.Slowness())
		w.Header().Set(runst.Header, string(o.Ran))
		if o.HasResponse() {
			o.Write(w)
			return
		}
		cause := o.Reason
		if cause == reason.Evacuated {
			cause = reason.Leaving
			w.Header().Set(evacuatedHeader, "1")
		}
		w.Header().Set(reasonHeader, string(cause))
		w.WriteHeader(o.Reason.Status())
		// The reason is in the headers already if the detail can't be written.
		_, _ = io.WriteString(w, o.Detail)
	})
}

// serve returns the outcome of a request and its body, which must be released.
func serve(g gate, i *intake.Intake, w http.ResponseWriter, r *http.Request) (output.Output, body.Body) {
	if accept.IsExcess(r.Context()) {
		return output.Refused(reason.Overloaded, "too many connections are open at the gate"), body.Body{}
	}
	t, err := trip.Decode(r.Header.Get(trip.Header))
	if err != nil {
		return output.Refused(reason.BadRequest, err.Error()), body.Body{}
	}
	b, err := i.Read(w, r, t.LeftMillis)
	if err != nil {
		return intake.Refuse(err), b
	}
	if socket.ClosedByPeer(r) {
		return output.Refused(reason.Cancelled, "the sender has gone"), b
	}
	heads.RemoveHopHeaders(r.Header)
	return g.Do(r.Context(), r, r.Header, b, t), b
}
