package entry

import (
	"encoding/hex"
	"io"
	"strconv"

	"bergamotloom.example/ident"

	"github.com/cespare/xxhash/v2"

	"bergamotloom.example/envel"
	"bergamotloom.example/header"
	"bergamotloom.example/reason"
	"bergamotloom.example/refuse"
)

// setIdentity creates the request's envelope. A call made by a target keeps the
// identity of its parent.
func setIdentity(_ *Entry, x *exchange) (refuse.Refusal, bool) {
	e := envel.Envelope{
		Request:     ident.New(),
		Team:        x.team.Name,
		Weight:      max(x.team.Rate, 1),
		Route:       x.route.Name,
		Rank:        x.route.Rank,
		Depth:       1,
		Idempotent:  x.route.Idempotent,
		BodyLength:  x.request.ContentLength,
		Fingerprint: fingerprint(x),
	}
	if x.parent != nil {
		e.Request = x.parent.Envelope.Request
		e.Depth = x.parent.Envelope.Depth + 1
		// A call is as important as the request that it's made for.
		e.Rank = x.parent.Envelope.Rank
		e.AdmittedFraction = x.parent.Envelope.AdmittedFraction
	}
	if e.Depth > envel.MaxDepth {
		return refuse.New(reason.BadRequest).WithDetail("The chain of calls is too deep."), true
	}
	x.envelope = e
	// Lets the caller identify its request to the operators of the targets.
	x.writer.Header().Set(header.Request, e.Request)
	return proceed()
}

// fingerprint returns a hash of the team, method, URI, idempotency key, content
// length and, if it was buffered, body, which is the same for resends of a
// request. A request without an idempotency key whose body wasn't buffered has
// no fingerprint.
func fingerprint(x *exchange) string {
	key := x.request.Header.Get(header.IdempotencyKey)
	if key == "" && x.request.ContentLength != 0 && x.request.GetBody == nil {
		return ""
	}
	h := xxhash.New()
	for _, part := range []string{x.team.Name, x.request.Method, x.request.RequestURI, key, strconv.FormatInt(x.request.ContentLength, 10)} {
		_, _ = h.WriteString(part)
		_, _ = h.Write([]byte{0})
	}
	if x.request.GetBody != nil {
		// The buffered body is read from memory, which doesn't fail.
		if body, err := x.request.GetBody(); err == nil {
			_, _ = io.Copy(h, body)
		}
	}
	return hex.EncodeToString(h.Sum(nil))
}
