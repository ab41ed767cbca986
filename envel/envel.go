// Package envel holds the metadata that is sent with a request from the entry
// node to the gate beside the selected target.
package envel

import (
	"encoding/base64"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"

	"bergamotloom.example/rank"
)

// Header is the request header that carries an envelope between nodes. Nodes
// never accept it from a caller or a target.
const Header = "Loom-Envelope"

// Limits of a well-formed envelope.
const (
	// MaxDepth is the maximum depth of a chain of calls. The caller's request
	// has depth 1.
	MaxDepth = 16
	// MaxAllowance is the maximum number of retries that a request carries.
	MaxAllowance = 10
)

// Envelope says on whose behalf and within which limits a request runs. It's a
// value, encoded as a base64 CBOR map in a header.
type Envelope struct {
	// Request is the ID of the caller's request, the same throughout the chain.
	Request string `cbor:"1,keyasint"`
	// Team is charged for the request. Weight is the team's weight in fair
	// sharing: its rate in requests a second, at least 1.
	Team   string    `cbor:"3,keyasint"`
	Weight float64   `cbor:"4,keyasint"`
	Route  string    `cbor:"5,keyasint"`
	Rank   rank.Rank `cbor:"6,keyasint"`
	// TimeoutMillis is the time left until the deadline when the attempt is
	// sent, in milliseconds.
	TimeoutMillis int64 `cbor:"7,keyasint"`
	// Allowance is the number of retries that this call and its children may
	// cause.
	Allowance int `cbor:"8,keyasint"`
	// Depth counts the calls from the caller down to this one, starting at 1.
	Depth int `cbor:"9,keyasint"`
	// Idempotent says that the request may run more than once.
	Idempotent bool `cbor:"10,keyasint"`
	// Confirm says that the gate must not run the request before the entry has
	// sent the confirmation byte, the first byte of the body.
	Confirm bool `cbor:"11,keyasint"`
	// BodyLength is the length of the caller's body in bytes, -1 if unknown.
	BodyLength int64 `cbor:"12,keyasint"`
	// AdmittedFraction is the fraction of such requests that the entry admitted
	// when it sent this one, so that the gate can infer the demand. 0 means
	// all.
	AdmittedFraction float64 `cbor:"13,keyasint"`
	// Fingerprint is the same for resends of a request, so that a request that
	// crashes its targets can be recognized. It's empty for a request without
	// an idempotency key whose body wasn't buffered.
	Fingerprint string `cbor:"14,keyasint"`
}

// IsChild reports whether the request is a call made on behalf of another one.
func (e Envelope) IsChild() bool {
	return e.Depth > 1
}

// WithAttempt returns the envelope for one attempt, with the time left and the
// allowance that it may use.
func (e Envelope) WithAttempt(timeoutMillis int64, allowance int) Envelope {
	e.TimeoutMillis = timeoutMillis
	e.Allowance = allowance
	return e
}

// WithConfirm returns the envelope of a request that waits for the confirmation
// byte.
func (e Envelope) WithConfirm() Envelope {
	e.Confirm = true
	return e
}

// Encode returns the header value.
func (e Envelope) Encode() string {
	raw, err := cbor.Marshal(e)
	if err != nil {
		// Every field is a plain value, which can always be encoded as CBOR.
		panic("envel: encoding an envelope: " + err.Error())
	}
	return base64.RawURLEncoding.EncodeToString(raw)
}

// Decode decodes a header value. It returns an error if the value is malformed
// or a limit of the envelope isn't kept.
func Decode(value string) (Envelope, error) {
	var e Envelope
	raw, err := base64.RawURLEncoding.DecodeString(value)
	if err != nil {
		return Envelope{}, errors.Wrap(err, "envel: malformed envelope")
	}
	if err := cbor.Unmarshal(raw, &e); err != nil {
		return Envelope{}, errors.Wrap(err, "envel: malformed envelope")
	}
	return e, e.validate()
}

func (e Envelope) validate() error {
	switch {
	case e.Request == "":
		return errors.New("envel: the request has no ID")
	case e.Depth < 1 || e.Depth > MaxDepth:
		return errors.Errorf("envel: depth %d is out of range 1 to %d", e.Depth, MaxDepth)
	case e.Allowance < 0 || e.Allowance > MaxAllowance:
		return errors.Errorf("envel: allowance %d is out of range 0 to %d", e.Allowance, MaxAllowance)
	case e.Rank < 0 || e.Rank >= rank.Count:
		return errors.Errorf("envel: unknown rank %d", e.Rank)
	case e.TimeoutMillis <= 0:
		return errors.Errorf("envel: timeout of %d ms is not positive", e.TimeoutMillis)
	}
	return nil
}
