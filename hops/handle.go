package hops

import (
	"context"
	"io"
	"net/http"
	"os"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"bergamotloom.example/accept"
	"bergamotloom.example/duplex"
	"bergamotloom.example/heads"
	"bergamotloom.example/output"
	"bergamotloom.example/reason"
	"bergamotloom.example/runst"
	"bergamotloom.example/socket"
	"bergamotloom.example/trip"
)

// bufferedBodyBytes of a request's body are read before it's forwarded, so that
// a slow sender doesn't occupy a slot of a target.
const bufferedBodyBytes = 256 << 10

// gate admits requests and runs them at the target.
type gate interface {
	Do(ctx context.Context, r *http.Request, h http.Header, body []byte, writeRest func(io.Writer) error, length int64, t trip.Trip) output.Output
	Load() (running, waiting int)
}

// Handler serves the requests that other nodes send to the gate.
func Handler(g gate) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		o := serve(g, w, r).WithCause(r.Context())
		duplex.Discard(w, r)
		duplex.Allow(w, r)
		RemoveOwnHeaders(o.Header)
		running, waiting := g.Load()
		w.Header().Set(loadHeader, strconv.Itoa(running)+","+strconv.Itoa(waiting))
		w.Header().Set(runst.Header, string(o.Ran))
		if o.HasResponse() {
			o.Write(w)
			return
		}
		w.Header().Set(reasonHeader, string(o.Reason))
		w.WriteHeader(o.Reason.Status())
		// The reason is in the headers already if the detail can't be written.
		_, _ = io.WriteString(w, o.Detail)
	})
}

func serve(g gate, w http.ResponseWriter, r *http.Request) output.Output {
	if accept.IsExcess(r.Context()) {
		return output.Refused(reason.Overloaded, "too many connections are open at the gate")
	}
	t, err := trip.Decode(r.Header.Get(trip.Header))
	if err != nil {
		return output.Refused(reason.BadRequest, err.Error())
	}
	body, writeRest, length, err := ReadBody(w, r, t.LeftMillis)
	if err != nil {
		return RefuseBody(err)
	}
	if socket.ClosedByPeer(r) {
		return output.Refused(reason.Cancelled, "the sender has gone")
	}
	heads.RemoveHopHeaders(r.Header)
	return g.Do(r.Context(), r, r.Header, body, writeRest, length, t)
}

// ReadBody reads up to bufferedBodyBytes of a request's body. If the body is
// longer, writeRest writes the rest; else it's nil. Length is the length of the
// whole body in bytes, or -1 if body and the rest are in chunked encoding.
// ReadBody fails if the body can't be read, or if that takes longer than leftMillis, as
// its sender may have stalled. RefuseBody gives the refusal for its error.
func ReadBody(w http.ResponseWriter, r *http.Request, leftMillis float64) (body []byte, writeRest func(io.Writer) error, length int64, err error) {
	if r.Body == nil || r.Body == http.NoBody || r.ContentLength == 0 {
		return nil, nil, 0, nil
	}
	duplex.Track(r)
	c := http.NewResponseController(w)
	// An error says that reading can't be limited.
	_ = c.SetReadDeadline(time.Now().Add(time.Duration(leftMillis * float64(time.Millisecond))))
	defer func() {
		if err == nil {
			// The server goes on reading, to notice that the sender has gone, and would take
			// a passed deadline for that.
			_ = c.SetReadDeadline(time.Time{})
		}
	}()
	if r.ContentLength > 0 && r.ContentLength <= bufferedBodyBytes {
		body = make([]byte, r.ContentLength)
		_, err = io.ReadFull(r.Body, body)
		return body, nil, r.ContentLength, err
	}
	body, err = io.ReadAll(io.LimitReader(r.Body, bufferedBodyBytes))
	if err != nil {
		return nil, nil, 0, err
	}
	if len(body) < bufferedBodyBytes {
		return body, nil, int64(len(body)), nil
	}
	if r.ContentLength > 0 {
		return body, func(w io.Writer) error {
			copied, err := io.Copy(w, r.Body)
			if err == nil && copied != r.ContentLength-bufferedBodyBytes {
				err = io.ErrUnexpectedEOF
			}
			return err
		}, r.ContentLength, nil
	}
	return heads.EncodeChunk(body), func(w io.Writer) error { return heads.CopyChunks(w, r.Body) }, -1, nil
}

// RefuseBody returns the refusal of a request whose body couldn't be read.
func RefuseBody(err error) output.Output {
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return output.Refused(reason.DeadlineExceeded, "the body wasn't complete in time")
	}
	return output.Refused(reason.BadRequest, "the body broke off")
}
