package verbs

import (
	"context"
	"crypto/rand"
	"fmt"
	"strings"
	"time"

	"github.com/pkg/errors"

	"bergamotloom.example/edit"
	"bergamotloom.example/folder"
	"bergamotloom.example/pause"
	"bergamotloom.example/result"
	"bergamotloom.example/store"
)

// maxWhoBytes bounds the name in a line of the audit trail.
const maxWhoBytes = 64

// apply changes the configuration in the table to that of a folder.
type apply struct {
	Dir string `arg:"" help:"Folder of configuration files."`
	platformFlags
	Who     string        `env:"LOOM_WHO,USER" default:"unknown" help:"Name for the audit trail."`
	Nodes   []string      `env:"LOOM_OPERATOR_PORTS" placeholder:"ADDRESS" help:"Operator addresses of the nodes to wait for."`
	Timeout time.Duration `default:"30s" help:"Timeout of a change, and of the wait for the nodes after it."`
	Watch   bool          `help:"Keep running and apply each change of the folder."`
	Every   time.Duration `default:"500ms" help:"How often the folder is read with --watch."`
}

func applyVerb() Verb {
	return Verb{
		Name:    "apply",
		Help:    "Apply a folder of configuration files.",
		Command: &apply{},
	}
}

// Validate rejects flag values out of range. Kong calls it after parsing.
func (a *apply) Validate() error {
	switch {
	case a.Timeout <= 0:
		return errors.Errorf("--timeout=%s: must be above 0", a.Timeout)
	case a.Every <= 0:
		return errors.Errorf("--every=%s: must be above 0", a.Every)
	case strings.TrimSpace(a.Who) == "" || len(a.Who) > maxWhoBytes:
		return errors.Errorf("--who=%q: must be a name of 1 to %d bytes", a.Who, maxWhoBytes)
	}
	return nil
}

// Run applies the folder once, or with --watch until the context ends.
func (a *apply) Run(s *session) error {
	configuration, closeClient, err := a.open()
	if err != nil {
		return err
	}
	defer closeClient()
	if a.Watch {
		return a.watch(s, configuration)
	}
	f, e, err := a.read()
	if err != nil {
		return usageError{err}
	}
	_, err = a.applyOnce(s, configuration, f, e)
	return err
}

// read reads the folder and returns it with the edit that it contains.
func (a *apply) read() (folder.Folder, edit.Edit, error) {
	f, problems, err := folder.Read(a.Dir)
	if err != nil {
		return f, edit.Edit{}, err
	}
	return f, f.Edit(rand.Text(), a.Who).WithProblems(problems), nil
}

// applyOnce submits an edit, prints its outcome and waits for the nodes. It also
// reports whether the outcome is known.
func (a *apply) applyOnce(s *session, configuration *store.Store, f folder.Folder, e edit.Edit) (outcomeKnown bool, err error) {
	outcome, err := a.submit(s.context, configuration, e)
	if err != nil {
		return false, err
	}
	if outcome.Refused() {
		return true, refusalError(outcome)
	}
	if _, err := f.Accept(e, outcome.Version); err != nil {
		return true, errors.WithMessagef(err, "version %d is accepted, but not recorded in the folder", outcome.Version)
	}
	report := fmt.Sprintf("nothing to change: version %d is in the table", outcome.Version)
	if outcome.Accepted {
		report = fmt.Sprintf("accepted: version %d, changed %s, removed %s", outcome.Version, listOr(e.Changed(), "nothing"), listOr(e.Removed, "nothing"))
	}
	fmt.Fprintln(s.out, report)
	return true, a.waitForNodes(s, outcome.Version)
}

// refusalError says why a change was refused and what to do next.
func refusalError(outcome result.Result) error {
	if len(outcome.Conflicts) > 0 {
		lines := append(outcome.ConflictLines(), "fetch, merge and apply again")
		return errors.New("refused: " + strings.Join(lines, "\n  "))
	}
	return usageError{errors.WithMessagef(problemsError(outcome.Problems), "refused, checked with version %d", outcome.Version)}
}

func (a *apply) submit(ctx context.Context, configuration *store.Store, e edit.Edit) (result.Result, error) {
	ctx, cancel := context.WithTimeout(ctx, a.Timeout)
	defer cancel()
	return configuration.Submit(ctx, e)
}

// waitForNodes waits until the version is in force at the given nodes, and returns
// an error that names the nodes where it isn't.
func (a *apply) waitForNodes(s *session, version int64) error {
	if len(a.Nodes) == 0 {
		return nil
	}
	ctx, cancel := context.WithTimeout(s.context, a.Timeout)
	defer cancel()
	pending := awaitNodes(ctx, a.Nodes, version)
	fmt.Fprintf(s.out, "in force: version %d at %d of %d nodes\n", version, len(a.Nodes)-len(pending), len(a.Nodes))
	if len(pending) == 0 {
		return nil
	}
	lines := []string{fmt.Sprintf("version %d is accepted, but not yet in force everywhere", version)}
	for _, n := range pending {
		lines = append(lines, n.String())
	}
	return errors.New(strings.Join(lines, "\n  "))
}

// watch applies each state of the folder that didn't change for one interval. A
// refused state isn't submitted again until the folder changes. A state whose
// outcome isn't known is submitted again.
func (a *apply) watch(s *session, configuration *store.Store) error {
	submittedDigest, lastDigest := "", ""
	for {
		f, e, err := a.read()
		if err != nil {
			s.log.Warn("apply: " + err.Error())
		}
		digest := e.Digest()
		ready := err == nil && digest == lastDigest && digest != submittedDigest
		if ready && a.applyWatched(s, configuration, f, e) {
			submittedDigest = digest
		}
		lastDigest = digest
		if !pause.For(s.context, a.Every) {
			return nil
		}
	}
}

// applyWatched applies one state of a watched folder, logs an error, and tells
// whether the outcome is known.
func (a *apply) applyWatched(s *session, configuration *store.Store, f folder.Folder, e edit.Edit) bool {
	if e.Empty() && len(e.Problems) == 0 {
		// There is nothing to submit.
		return true
	}
	outcomeKnown, err := a.applyOnce(s, configuration, f, e)
	if err != nil {
		s.log.Warn("apply: " + err.Error())
	}
	return outcomeKnown
}
