// Package shasum names contents of the configuration by their SHA-256.
package shasum

import (
	"crypto/sha256"
	"encoding/hex"
)

// shownDigits is how much of a digest people get to see.
const shownDigits = 12

// Of returns the digest of a content in hexadecimal digits.
func Of(content []byte) string {
	sum := sha256.Sum256(content)
	return hex.EncodeToString(sum[:])
}

// Short returns the beginning of a digest, for people to compare.
func Short(digest string) string {
	return digest[:min(len(digest), shownDigits)]
}
