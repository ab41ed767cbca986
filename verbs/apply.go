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

const longestWho = 64

// apply makes the table's configuration what a folder says.
type apply struct {
	Dir string `arg:"" help:"Folder of configuration files."`
	platformFlags
	Who     string        `env:"LOOM_WHO,USER" default:"unknown" help:"Name for the audit trail."`
	Nodes   []string      `env:"LOOM_OPERATOR_PORTS" placeholder:"ADDRESS" help:"Operators' addresses of nodes to wait for."`
	Timeout time.Duration `default:"30s" help:"Longest time for a change, and again for the wait for nodes."`
	Watch   bool          `help:"Go on and apply each change of the folder."`
	Every   time.Duration `default:"500ms" help:"How often the folder is read with --watch."`
}

func applyVerb() Verb {
	return Verb{
		Name:    "apply",
		Help:    "Apply a folder of configuration files.",
		Command: &apply{},
	}
}

// Validate refuses settings that can't be meant; kong calls it.
func (a *apply) Validate() error {
	switch {
	case a.Timeout <= 0:
		return errors.Errorf("--timeout=%s: must be above 0", a.Timeout)
	case a.Every <= 0:
		return errors.Errorf("--every=%s: must be above 0", a.Every)
	case strings.TrimSpace(a.Who) == "" || len(a.Who) > longestWho:
		return errors.Errorf("--who=%q: must be a name of 1 to %d bytes", a.Who, longestWho)
	}
	return nil
}

// Run applies the folder once, or for as long as it's watched.
func (a *apply) Run(s *session) error {
	configuration, done, err := a.open()
	if err != nil {
		return err
	}
	defer done()
	if a.Watch {
		return a.watch(s, configuration)
	}
	f, e, err := a.read()
	if err != nil {
		return usageError{err}
	}
	_, err = a.once(s, configuration, f, e)
	return err
}

// read reads the folder and what differs in it.
func (a *apply) read() (folder.Folder, edit.Edit, error) {
	f, problems, err := folder.Read(a.Dir)
	if err != nil {
		return f, edit.Edit{}, err
	}
	return f, f.Edit(rand.Text(), a.Who).WithProblems(problems), nil
}

// once submits an edit, reports its outcome and waits for the nodes. It also
// tells whether the outcome is known.
func (a *apply) once(s *session, configuration *store.Store, f folder.Folder, e edit.Edit) (known bool, err error) {
	found, err := a.submit(s.context, configuration, e)
	if err != nil {
		return false, err
	}
	if found.Refused() {
		return true, refusal(found)
	}
	if _, err := f.Accept(e, found.Version); err != nil {
		return true, errors.WithMessagef(err, "version %d is accepted, but", found.Version)
	}
	report := fmt.Sprintf("nothing to change: version %d is in the table", found.Version)
	if found.Accepted {
		report = fmt.Sprintf("accepted: version %d, changed %s, removed %s", found.Version, listOr(e.Changed(), "nothing"), listOr(e.Removed, "nothing"))
	}
	fmt.Fprintln(s.out, report)
	return true, a.await(s, found.Version)
}

// refusal says why a change was refused and what to do.
func refusal(found result.Result) error {
	if len(found.Conflicts) > 0 {
		lines := append(found.ConflictLines(), "fetch, merge and apply again")
		return errors.New("refused: " + strings.Join(lines, "\n  "))
	}
	return usageError{errors.WithMessagef(problemsError(found.Problems), "refused, checked with version %d", found.Version)}
}

func (a *apply) submit(ctx context.Context, configuration *store.Store, e edit.Edit) (result.Result, error) {
	ctx, cancel := context.WithTimeout(ctx, a.Timeout)
	defer cancel()
	return configuration.Submit(ctx, e)
}

// await waits for the nodes that were given, and names those that are late.
func (a *apply) await(s *session, version int64) error {
	if len(a.Nodes) == 0 {
		return nil
	}
	ctx, cancel := context.WithTimeout(s.context, a.Timeout)
	defer cancel()
	late := awaitNodes(ctx, a.Nodes, version)
	fmt.Fprintf(s.out, "in force: version %d at %d of %d nodes\n", version, len(a.Nodes)-len(late), len(a.Nodes))
	if len(late) == 0 {
		return nil
	}
	lines := []string{fmt.Sprintf("version %d is accepted, but not yet in force everywhere", version)}
	for _, n := range late {
		lines = append(lines, n.String())
	}
	return errors.New(strings.Join(lines, "\n  "))
}

// watch applies each state of the folder that has stood for one interval. A
// refused one isn't tried again until the folder changes; one whose outcome
// isn't known is.
func (a *apply) watch(s *session, configuration *store.Store) error {
	settled, last := "", ""
	for {
		f, e, err := a.read()
		if err != nil {
			s.log.Warn("apply: " + err.Error())
		}
		state := e.Digest()
		ready := err == nil && state == last && state != settled
		if ready && a.attempt(s, configuration, f, e) {
			settled = state
		}
		last = state
		if !pause.For(s.context, a.Every) {
			return nil
		}
	}
}

// attempt applies one state of a watched folder, and tells whether its outcome
// is known.
func (a *apply) attempt(s *session, configuration *store.Store, f folder.Folder, e edit.Edit) bool {
	if e.Empty() && len(e.Problems) == 0 {
		return true
	}
	known, err := a.once(s, configuration, f, e)
	if err != nil {
		s.log.Warn("apply: " + err.Error())
	}
	return known
}
