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

// setIdentity gives the request its envelope. A call of a target carries on
// the identity of its parent.
func setIdentity(_ *Entry, k *work) (refuse.Refusal, bool) {
	e := envel.Envelope{
		Request:     ident.New(),
		Team:        k.team.Name,
		Weight:      max(k.team.Rate, 1),
		Route:       k.route.Name,
		Rank:        k.route.Rank,
		Depth:       1,
		Idempotent:  k.route.Idempotent,
		BodyLength:  k.in.ContentLength,
		Fingerprint: fingerprint(k),
	}
	if k.parent != nil {
		e.Request = k.parent.Envelope.Request
		e.Depth = k.parent.Envelope.Depth + 1
		// A call matters as much as the request that it's made for.
		e.Rank = k.parent.Envelope.Rank
		e.AdmittedFraction = k.parent.Envelope.AdmittedFraction
	}
	if e.Depth > envel.MaxDepth {
		return refuse.New(reason.BadRequest).WithDetail("The chain of calls is too deep."), true
	}
	k.envelope = e
	// The caller can name its request by this to those who run the targets.
	k.writer.Header().Set(header.Request, e.Request)
	return pass()
}

// fingerprint is the same for resends of the same request, by the team, the
// line, the idempotency key and the body. A request with a long body and no
// idempotency key has none.
func fingerprint(k *work) string {
	key := k.in.Header.Get(header.IdempotencyKey)
	if key == "" && k.in.ContentLength != 0 && k.in.GetBody == nil {
		return ""
	}
	h := xxhash.New()
	for _, part := range []string{k.team.Name, k.in.Method, k.in.RequestURI, key, strconv.FormatInt(k.in.ContentLength, 10)} {
		_, _ = h.WriteString(part)
		_, _ = h.Write([]byte{0})
	}
	if k.in.GetBody != nil {
		// A kept body is read from memory and doesn't fail.
		if body, err := k.in.GetBody(); err == nil {
			_, _ = io.Copy(h, body)
		}
	}
	return hex.EncodeToString(h.Sum(nil))
}
