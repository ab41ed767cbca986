package verbs

import (
	"context"
	"fmt"
	"strings"
	"time"

	"github.com/pkg/errors"

	"bergamotloom.example/folder"
	"bergamotloom.example/snap"
	"bergamotloom.example/store"
)

// fetch updates a folder to the version in force.
type fetch struct {
	Dir string `arg:"" help:"Folder of configuration files."`
	platformFlags
	Timeout time.Duration `default:"10s" help:"Timeout of the whole command."`
}

func fetchVerb() Verb {
	return Verb{
		Name:    "fetch",
		Help:    "Update a folder to the version in force, keeping local edits.",
		Command: &fetch{},
	}
}

// Run prints which files were updated, and returns an error if some were changed
// on both sides.
func (h *fetch) Run(s *session) error {
	f, _, err := folder.Read(h.Dir)
	if err != nil {
		return usageError{err}
	}
	return h.within(s, h.Timeout, func(ctx context.Context, configuration *store.Store) error {
		snapshot, err := configuration.Read(ctx)
		if err != nil {
			return err
		}
		return h.update(s, f, snapshot)
	})
}

func (h *fetch) update(s *session, f folder.Folder, snapshot snap.Snapshot) error {
	if snapshot.Version < f.Version() {
		return errors.Errorf("the table returned version %d, but the folder already has version %d: try again", snapshot.Version, f.Version())
	}
	updated, conflicting, err := f.Fetch(snapshot)
	if err != nil {
		return err
	}
	fmt.Fprintf(s.out, "version %d: updated %s\n", snapshot.Version, listOr(updated, "nothing"))
	if len(conflicting) == 0 {
		return nil
	}
	return errors.Errorf("changed on both sides: %s; compare each with its .NAME.theirs, then apply yours over it",
		strings.Join(conflicting, ", "))
}
