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
	// keepBytes is the longest body that is kept as a claim's outcome.
	keepBytes = 16 * 1024
	// maxKeyBytes is the longest idempotency key.
	maxKeyBytes = 256
	// claimMillis bounds the time for making a claim.
	claimMillis = 3000
)

// claimRequest makes a request that must not run twice the only one with its
// idempotency key. A resend is answered with the outcome of the first one.
// Without such a key every sending is a request of its own.
func claimRequest(e *Entry, k *work) (refuse.Refusal, bool) {
	key := k.in.Header.Get(header.IdempotencyKey)
	if key == "" || k.route.Idempotent {
		return pass()
	}
	if len(key) > maxKeyBytes {
		return refuse.New(reason.BadRequest).WithDetail("The idempotency key is too long."), true
	}
	ctx, cancel := context.WithTimeout(k.context, claimMillis*time.Millisecond)
	defer cancel()
	made, refusal, ok := e.claims.Begin(ctx, k.team.Name, key, digest(k))
	if !ok {
		return refusal, true
	}
	if made.State == claim.Done {
		e.replay(k, made)
		return pass()
	}
	k.claim = &made
	e.detach(k)
	return pass()
}

// detach lets a claimed request run to its deadline even if its caller goes
// away, because a run that is cut off has no outcome to give to a resend.
func (e *Entry) detach(k *work) {
	left := time.Duration(k.deadline-e.clock.Now()) * time.Millisecond
	ctx, cancel := context.WithTimeout(context.WithoutCancel(k.context), left)
	k.context = ctx
	k.finally = cancel
}

// replay answers a resend with the outcome of the request that ran.
func (e *Entry) replay(k *work, made claim.Claim) {
	h := k.writer.Header()
	stream.Headers(h, made.Header)
	h.Set(runst.Header, string(runst.Once))
	k.writer.WriteHeader(made.Status)
	if _, err := k.writer.Write(made.Body); err != nil {
		e.log.Debug("entry: a caller didn't take its answer", "Error", err)
	}
	k.answered = true
}

// endRefused records that a claimed request got no answer.
func (e *Entry) endRefused(k *work, r refuse.Refusal) {
	if k.claim == nil {
		return
	}
	state := claim.Unsure
	if r.Ran == runst.Never {
		state = claim.Released
	}
	e.claims.End(k.claim.WithState(state))
}

// endServed records the outcome of a claimed request.
func (e *Entry) endServed(k *work, got reply.Reply, kept *keeper) {
	if !kept.whole || kept.long {
		e.claims.End(k.claim.WithState(claim.Unsure))
		return
	}
	e.claims.End(k.claim.WithOutcome(got.Status, got.Header, kept.bytes))
}

// digest tells requests apart that come with the same idempotency key.
func digest(k *work) string {
	h := sha256.New()
	for _, part := range []string{k.in.Method, k.in.RequestURI, strconv.FormatInt(k.in.ContentLength, 10)} {
		_, _ = io.WriteString(h, part+"\x00")
	}
	if k.in.GetBody != nil {
		// A kept body is read from memory and doesn't fail.
		if body, err := k.in.GetBody(); err == nil {
			_, _ = io.Copy(h, body)
		}
	}
	return hex.EncodeToString(h.Sum(nil))
}

// keeper passes a body on and keeps its beginning.
type keeper struct {
	body  io.Reader
	bytes []byte
	long  bool
	whole bool
}

func newKeeper(body io.Reader) *keeper {
	return &keeper{body: body}
}

// Read reads on and keeps what fits.
func (p *keeper) Read(b []byte) (int, error) {
	n, err := p.body.Read(b)
	if len(p.bytes)+n > keepBytes {
		p.long = true
	} else {
		p.bytes = append(p.bytes, b[:n]...)
	}
	p.whole = errors.Is(err, io.EOF)
	return n, err
}

// readOn reads the rest of a short body whose receiver has gone.
func (p *keeper) readOn() {
	if p.whole || p.long {
		return
	}
	_, _ = io.CopyN(io.Discard, p, keepBytes)
}
