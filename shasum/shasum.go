// Package shasum computes SHA-256 digests of configuration contents.
package shasum

import (
	"crypto/sha256"
	"encoding/hex"
)

// shortDigits is the length of an abbreviated digest.
const shortDigits = 12

// Of returns the digest of a content in hexadecimal digits.
func Of(content []byte) string {
	sum := sha256.Sum256(content)
	return hex.EncodeToString(sum[:])
}

// Short returns an abbreviated digest for display.
func Short(digest string) string {
	return digest[:min(len(digest), shortDigits)]
}
