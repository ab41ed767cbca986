// Package claim holds the row that makes a request with an idempotency key run
// at most once: who claimed it, and its outcome.
package claim

import (
	"crypto/sha256"
	"encoding/hex"
	"net/http"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"
)

// rowKeyPrefix is the prefix of the row keys.
const rowKeyPrefix = "claims/"

// The states of a claim.
const (
	// Running: a node may be sending the request, or died while doing so.
	Running = "Running"
	// Released: the request certainly didn't run; it may be claimed again.
	Released = "Released"
	// Done: the request ran, and its outcome is stored.
	Done = "Done"
	// Unsure: the request may have run, and its outcome isn't known.
	Unsure = "Unsure"
)

// Claim is the row of one request. It's a value: the With methods return
// changed copies.
type Claim struct {
	// Key is the row's key, and Version its version in the table, 0 before the
	// first write. They aren't part of the row's value.
	Key     string `cbor:"-"`
	Version int64  `cbor:"-"`

	State string
	// Attempt is the unique ID of one try to claim the key and is never reused.
	// It isn't an attempt to send the request.
	Attempt string
	// Digest is a hash of the method, URI, content length and, if it was
	// buffered, body.
	Digest string
	// MadeMillis is when the claim was made, in milliseconds since 1970.
	MadeMillis int64
	// Status, Header and Body are the outcome when the state is Done. If the
	// body is too long to store, the state is Unsure instead.
	Status int         `cbor:",omitempty"`
	Header http.Header `cbor:",omitempty"`
	Body   []byte      `cbor:",omitempty"`
}

// New returns the claim of a request that is about to run.
func New(team, idempotencyKey, attempt, digest string, nowMillis int64) Claim {
	return Claim{
		Key:        RowKey(team, idempotencyKey),
		State:      Running,
		Attempt:    attempt,
		Digest:     digest,
		MadeMillis: nowMillis,
	}
}

// RowKey returns the row key for a team's idempotency key. The hash keeps text
// from the caller out of the table.
func RowKey(team, idempotencyKey string) string {
	sum := sha256.Sum256([]byte(team + "\x00" + idempotencyKey))
	return rowKeyPrefix + hex.EncodeToString(sum[:])
}

// WithVersion returns the claim with its version in the table.
func (c Claim) WithVersion(version int64) Claim {
	c.Version = version
	return c
}

// WithState returns the claim in a state without an outcome.
func (c Claim) WithState(state string) Claim {
	c.State = state
	c.Status, c.Header, c.Body = 0, nil, nil
	return c
}

// WithOutcome returns the claim of a request that ran and got a response.
func (c Claim) WithOutcome(status int, header http.Header, body []byte) Claim {
	c.State = Done
	c.Status, c.Header, c.Body = status, header, body
	return c
}

// Encode returns the row's value.
func (c Claim) Encode() []byte {
	value, err := cbor.Marshal(c)
	if err != nil {
		// Every field can be encoded as CBOR.
		panic("claim: encoding a claim: " + err.Error())
	}
	return value
}

// Decode decodes a row's value and adds its key and version. It returns an
// error if the value is malformed.
func Decode(key string, value []byte, version int64) (Claim, error) {
	var c Claim
	if err := cbor.Unmarshal(value, &c); err != nil {
		return Claim{}, errors.Wrap(err, "claim: malformed row")
	}
	c.Key, c.Version = key, version
	return c, nil
}
