package entry

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"io"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"bergamotloom.example/claim"
	"bergamotloom.example/header"
	"bergamotloom.example/reason"
	"bergamotloom.example/refuse"
	"bergamotloom.example/reply"
	"bergamotloom.example/runst"
	"bergamotloom.example/stream"
)

const (
	// maxStoredBodyBytes is the longest response body that is stored with a
	// claim.
	maxStoredBodyBytes = 16 * 1024
	// maxIdempotencyKeyBytes is the longest idempotency key.
	maxIdempotencyKeyBytes = 256
	// claimTimeoutMillis bounds the time for making a claim.
	claimTimeoutMillis = 3000
)

// claimRequest claims the idempotency key of a request that must not run twice.
// A resend with the same key gets the stored outcome of the first request.
// Without a key, or on an idempotent route, nothing is claimed and each send
// may run.
func claimRequest(e *Entry, x *exchange) (refuse.Refusal, bool) {
	key := x.request.Header.Get(header.IdempotencyKey)
	if key == "" || x.route.Idempotent {
		return proceed()
	}
	if len(key) > maxIdempotencyKeyBytes {
		return refuse.New(reason.BadRequest).WithDetail("The idempotency key is too long."), true
	}
	ctx, cancel := context.WithTimeout(x.context, claimTimeoutMillis*time.Millisecond)
	defer cancel()
	claimed, refusal, ok := e.claims.Begin(ctx, x.team.Name, key, digest(x))
	if !ok {
		return refusal, true
	}
	if claimed.State == claim.Done {
		e.replayOutcome(x, claimed)
		return proceed()
	}
	x.claim = &claimed
	e.detach(x)
	return proceed()
}

// detach lets a claimed request run until its deadline even if the caller
// disconnects, because a cancelled run has no outcome to return to a resend.
func (e *Entry) detach(x *exchange) {
	remaining := time.Duration(x.deadlineMillis-e.clock.Now()) * time.Millisecond
	ctx, cancel := context.WithTimeout(context.WithoutCancel(x.context), remaining)
	x.context = ctx
	x.cleanup = cancel
}

// replayOutcome responds to a resend with the stored outcome of the request
// that ran.
func (e *Entry) replayOutcome(x *exchange, claimed claim.Claim) {
	h := x.writer.Header()
	stream.Headers(h, claimed.Header)
	h.Set(runst.Header, string(runst.Once))
	x.writer.WriteHeader(claimed.Status)
	if _, err := x.writer.Write(claimed.Body); err != nil {
		e.log.Debug("entry: failed to send a stored response to the caller", "Error", err)
	}
	x.responded = true
}

// recordRefusal ends the claim of a request without a response: as released if
// the request certainly never ran, otherwise as unsure.
func (e *Entry) recordRefusal(x *exchange, r refuse.Refusal) {
	if x.claim == nil {
		return
	}
	state := claim.Unsure
	if r.Ran == runst.Never {
		state = claim.Released
	}
	e.claims.End(x.claim.WithState(state))
}

// recordOutcome ends the claim with the response, or as unsure if the body was
// incomplete or longer than maxStoredBodyBytes.
func (e *Entry) recordOutcome(x *exchange, response reply.Reply, recorded *bodyRecorder) {
	if !recorded.complete || recorded.tooLong {
		e.claims.End(x.claim.WithState(claim.Unsure))
		return
	}
	e.claims.End(x.claim.WithOutcome(response.Status, response.Header, recorded.bytes))
}

// digest returns a hash of the method, URI, content length and, if it was
// buffered, body. It tells apart different requests with the same idempotency
// key.
func digest(x *exchange) string {
	h := sha256.New()
	for _, part := range []string{x.request.Method, x.request.RequestURI, strconv.FormatInt(x.request.ContentLength, 10)} {
		_, _ = io.WriteString(h, part+"\x00")
	}
	if x.request.GetBody != nil {
		// The buffered body is read from memory, which doesn't fail.
		if body, err := x.request.GetBody(); err == nil {
			_, _ = io.Copy(h, body)
		}
	}
	return hex.EncodeToString(h.Sum(nil))
}

// bodyRecorder passes a body on and records up to maxStoredBodyBytes of it.
type bodyRecorder struct {
	body     io.Reader
	bytes    []byte
	tooLong  bool
	complete bool
}

func newBodyRecorder(body io.Reader) *bodyRecorder {
	return &bodyRecorder{body: body}
}

// Read reads from the body and records what fits.
func (r *bodyRecorder) Read(b []byte) (int, error) {
	n, err := r.body.Read(b)
	if len(r.bytes)+n > maxStoredBodyBytes {
		r.tooLong = true
	} else {
		r.bytes = append(r.bytes, b[:n]...)
	}
	r.complete = errors.Is(err, io.EOF)
	return n, err
}

// readRest reads the rest of a short body whose receiver has disconnected.
func (r *bodyRecorder) readRest() {
	if r.complete || r.tooLong {
		return
	}
	_, _ = io.CopyN(io.Discard, r, maxStoredBodyBytes)
}
