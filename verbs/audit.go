package verbs

import (
	"context"
	"fmt"
	"time"

	"github.com/pkg/errors"

	"bergamotloom.example/store"
)

// auditTrail prints the audit trail of the configuration.
type auditTrail struct {
	platformFlags
	Last    int64         `default:"1000" help:"Print the lines of this many latest versions."`
	Timeout time.Duration `default:"10s" help:"Timeout of the whole command."`
}

func auditVerb() Verb {
	return Verb{
		Name:    "audit",
		Help:    "Print the trail of changes, accepted and refused, oldest first.",
		Command: &auditTrail{},
	}
}

// Validate rejects flag values out of range. Kong calls it after parsing.
func (a *auditTrail) Validate() error {
	if a.Last < 1 {
		return errors.Errorf("--last=%d: must be at least 1", a.Last)
	}
	return nil
}

// Run prints one line for each accepted or refused change.
func (a *auditTrail) Run(s *session) error {
	return a.within(s, a.Timeout, func(ctx context.Context, configuration *store.Store) error {
		version, err := configuration.Version(ctx)
		if err != nil {
			return err
		}
		lines, err := configuration.Audit(ctx, version-a.Last+1)
		if err != nil {
			return err
		}
		for _, l := range lines {
			if _, err := fmt.Fprintln(s.out, l); err != nil {
				return errors.Wrap(err, "printing the audit trail")
			}
		}
		return nil
	})
}
