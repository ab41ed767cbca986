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

// fetch brings a folder up to the version in force.
type fetch struct {
	Dir string `arg:"" help:"Folder of configuration files."`
	platformFlags
	Timeout time.Duration `default:"10s" help:"Longest time for the whole command."`
}

func fetchVerb() Verb {
	return Verb{
		Name:    "fetch",
		Help:    "Bring a folder up to the version in force, keeping what was edited.",
		Command: &fetch{},
	}
}

// Run prints which files were updated, and fails if some were changed on both
// sides.
func (h *fetch) Run(s *session) error {
	f, _, err := folder.Read(h.Dir)
	if err != nil {
		return usageError{err}
	}
	return h.within(s, h.Timeout, func(ctx context.Context, configuration *store.Store) error {
		read, err := configuration.Read(ctx)
		if err != nil {
			return err
		}
		return h.update(s, f, read)
	})
}

func (h *fetch) update(s *session, f folder.Folder, read snap.Snapshot) error {
	if read.Version < f.Version() {
		return errors.Errorf("the table answered with version %d, but the folder has met %d: try again", read.Version, f.Version())
	}
	updated, clashing, err := f.Fetch(read)
	if err != nil {
		return err
	}
	fmt.Fprintf(s.out, "version %d: updated %s\n", read.Version, listOr(updated, "nothing"))
	if len(clashing) == 0 {
		return nil
	}
	return errors.Errorf("changed on both sides: %s; compare each with its .NAME.theirs, then apply yours over it",
		strings.Join(clashing, ", "))
}
