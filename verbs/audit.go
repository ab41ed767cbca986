package verbs

import (
	"context"
	"fmt"
	"time"

	"github.com/pkg/errors"
)

// auditTrail prints who changed or tried to change the configuration.
type auditTrail struct {
	platformFlags
	Timeout time.Duration `default:"10s" help:"Longest time for the whole command."`
}

func auditVerb() Verb {
	return Verb{
		Name:    "audit",
		Help:    "Print the trail of changes, accepted and refused, oldest first.",
		Command: &auditTrail{},
	}
}

// Run prints one line for each change.
func (a *auditTrail) Run(s *session) error {
	configuration, done, err := a.open()
	if err != nil {
		return err
	}
	defer done()
	ctx, cancel := context.WithTimeout(s.context, a.Timeout)
	defer cancel()
	lines, err := configuration.Audit(ctx)
	if err != nil {
		return err
	}
	for _, l := range lines {
		if _, err := fmt.Fprintln(s.out, l); err != nil {
			return errors.Wrap(err, "printing the trail")
		}
	}
	return nil
}
