package verbs

import (
	"fmt"

	"github.com/pkg/errors"

	"bergamotloom.example/keys"
)

// key groups the commands for API keys of callers.
type key struct {
	New keyNew `cmd:"" help:"Print a new key for a caller and its hash for the configuration."`
}

// keyNew prints a new key, which isn't stored anywhere.
type keyNew struct{}

func keyVerb() Verb {
	return Verb{
		Name:    "key",
		Help:    "Create keys for callers.",
		Command: &key{},
	}
}

// Run prints the key, which goes to the caller, and the hash, which goes into
// the configuration.
func (k *keyNew) Run(s *session) error {
	fresh := keys.New()
	_, err := fmt.Fprintf(s.out, "Key:  %s\nHash: %s\n", fresh, keys.Hash(fresh))
	return errors.Wrap(err, "printing the key")
}
