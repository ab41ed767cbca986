// Package ident generates random IDs of requests, call tokens, attempts and
// transactions.
package ident

import (
	"crypto/rand"
	"encoding/hex"
)

const idBytes = 16

// New returns a new ID of 128 random bits, as 32 hex digits.
func New() string {
	var b [idBytes]byte
	// Read returns no error: it ends the process if the system has no randomness.
	_, _ = rand.Read(b[:])
	return hex.EncodeToString(b[:])
}
