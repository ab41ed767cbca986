// Package keys generates callers' API keys and their hashes. The configuration,
// the table and the nodes hold only hashes, which grant no access.
package keys

import (
	"crypto/rand"
	"crypto/sha256"
	"encoding/base64"
	"encoding/hex"
	"strings"

	"bergamotloom.example/shasum"
)

const (
	hashPrefix = "sha256-"
	keyPrefix  = "loom_"
	keyBytes   = 32
)

// New returns a random API key of 256 bits. An unsalted hash is enough to store
// it, because such a key can't be guessed.
func New() string {
	random := make([]byte, keyBytes)
	// Read returns no error: it ends the process if the system has no randomness.
	_, _ = rand.Read(random)
	return keyPrefix + base64.RawURLEncoding.EncodeToString(random)
}

// Hash returns the hash of an API key in the form used in the configuration.
func Hash(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hashPrefix + hex.EncodeToString(sum[:])
}

// IsHash reports whether the text has the form that Hash returns.
func IsHash(text string) bool {
	digits, ok := strings.CutPrefix(text, hashPrefix)
	if !ok || len(digits) != hex.EncodedLen(sha256.Size) || digits != strings.ToLower(digits) {
		return false
	}
	_, err := hex.DecodeString(digits)
	return err == nil
}

// Short returns an abbreviated hash for display, without its prefix.
func Short(hash string) string {
	return shasum.Short(strings.TrimPrefix(hash, hashPrefix))
}
