// Package ident generates random identities: of requests, call tokens, attempts
// and transactions.
package ident

import (
	"crypto/rand"
	"encoding/hex"
)

const identityBytes = 16

// New returns a new identity of 128 random bits, as 32 hex digits.
func New() string {
	var b [identityBytes]byte
	// Read never fails: it ends the process when there is no randomness.
	_, _ = rand.Read(b[:])
	return hex.EncodeToString(b[:])
}
