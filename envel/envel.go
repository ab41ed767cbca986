// Package envel holds what travels with a request from the entry node to the
// gate beside the chosen target.
package envel

import (
	"encoding/base64"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"

	"bergamotloom.example/rank"
)

// Header is the request header that carries an envelope between nodes. It's
// never taken from a caller or a target.
const Header = "Loom-Envelope"

// Limits that a well-formed envelope keeps.
const (
	// MaxDepth is the deepest chain of calls, the caller's own being 1.
	MaxDepth = 16
	// MaxAllowance is the largest number of retries that a request carries.
	MaxAllowance = 10
)

// Envelope says on whose behalf and within which bounds a request runs. It's a
// value; on the wire it's a CBOR map in a header, in base64.
type Envelope struct {
	// Request is the identity of the caller's request, the same through the
	// chain.
	Request string `cbor:"1,keyasint"`
	// Team is charged for the request and Weight is its part in fairness: the
	// team's rate in requests a second.
	Team   string    `cbor:"3,keyasint"`
	Weight float64   `cbor:"4,keyasint"`
	Route  string    `cbor:"5,keyasint"`
	Rank   rank.Rank `cbor:"6,keyasint"`
	// TimeoutMillis is the time left for the request, in milliseconds.
	TimeoutMillis int64 `cbor:"7,keyasint"`
	// Allowance is the number of retries lent to this call and its children.
	Allowance int `cbor:"8,keyasint"`
	// Depth counts the calls from the caller down to this one, from 1.
	Depth int `cbor:"9,keyasint"`
	// Idempotent says that the request may run more than once.
	Idempotent bool `cbor:"10,keyasint"`
	// Confirm says that the gate must not run the request before the entry
	// has sent the confirmation byte, which is the first of the body.
	Confirm bool `cbor:"11,keyasint"`
	// BodyLength is the length of the caller's body in bytes, -1 if unknown.
	BodyLength int64 `cbor:"12,keyasint"`
	// AdmittedFraction is the share of such requests that the entry let pass when it
	// sent this one, so that the gate knows the demand behind it; 0 is all.
	AdmittedFraction float64 `cbor:"13,keyasint"`
	// Fingerprint is the same for resends of the same request, so that a
	// request which crashes its targets is known again.
	Fingerprint string `cbor:"14,keyasint"`
}

// IsChild tells whether the request is a call made on behalf of another one.
func (e Envelope) IsChild() bool {
	return e.Depth > 1
}

// WithAttempt returns the envelope for one sending, with the time that's left
// and the allowance that's lent to it.
func (e Envelope) WithAttempt(timeoutMillis int64, allowance int) Envelope {
	e.TimeoutMillis = timeoutMillis
	e.Allowance = allowance
	return e
}

// WithConfirm returns the envelope of a request that waits for the
// confirmation byte.
func (e Envelope) WithConfirm() Envelope {
	e.Confirm = true
	return e
}

// Encode returns the header's value.
func (e Envelope) Encode() string {
	raw, err := cbor.Marshal(e)
	if err != nil {
		// Every field is a plain value, which always has a CBOR form.
		panic("envel: an envelope has no CBOR form: " + err.Error())
	}
	return base64.RawURLEncoding.EncodeToString(raw)
}

// Decode reads a header's value and checks its bounds.
func Decode(value string) (Envelope, error) {
	var e Envelope
	raw, err := base64.RawURLEncoding.DecodeString(value)
	if err != nil {
		return Envelope{}, errors.Wrap(err, "envel: malformed envelope")
	}
	if err := cbor.Unmarshal(raw, &e); err != nil {
		return Envelope{}, errors.Wrap(err, "envel: malformed envelope")
	}
	return e, e.check()
}

func (e Envelope) check() error {
	switch {
	case e.Request == "":
		return errors.New("envel: the request has no identity")
	case e.Depth < 1 || e.Depth > MaxDepth:
		return errors.Errorf("envel: depth %d isn't within 1 to %d", e.Depth, MaxDepth)
	case e.Allowance < 0 || e.Allowance > MaxAllowance:
		return errors.Errorf("envel: allowance %d isn't within 0 to %d", e.Allowance, MaxAllowance)
	case e.Rank < 0 || e.Rank >= rank.Count:
		return errors.Errorf("envel: unknown rank %d", e.Rank)
	case e.TimeoutMillis <= 0:
		return errors.Errorf("envel: timeout of %d ms", e.TimeoutMillis)
	}
	return nil
}
