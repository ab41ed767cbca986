package verbs

import (
	"fmt"

	"github.com/pkg/errors"

	loom "bergamotloom.example"
)

type version struct{}

func versionVerb() Verb {
	return Verb{
		Name:    "version",
		Help:    "Print the version.",
		Command: &version{},
	}
}

// Run prints the version, for example "bergamotloom 0.1.0".
func (v *version) Run(s *session) error {
	_, err := fmt.Fprintln(s.out, "bergamotloom", loom.Version)
	return errors.Wrap(err, "printing the version")
}
