package verbs

import (
	"context"
	"fmt"
	"io"
	"strings"
	"time"

	"github.com/pkg/errors"

	"bergamotloom.example/config"
	"bergamotloom.example/diag"
	"bergamotloom.example/differ"
	"bergamotloom.example/folder"
	"bergamotloom.example/lint"
	"bergamotloom.example/loader"
	"bergamotloom.example/snap"
	"bergamotloom.example/store"
)

// check reads a folder and reports all problems, without network access unless it
// compares the folder with the version in force.
type check struct {
	Dir         string        `arg:"" help:"Folder of configuration files."`
	Strict      bool          `help:"Exit with 2 if there are warnings."`
	Against     string        `xor:"against" placeholder:"DIR" help:"Print what differs from this other folder."`
	InForce     bool          `xor:"against" help:"Print what an apply of the folder would change in the version in force."`
	Platform    string        `env:"LOOM_PLATFORM" placeholder:"URL" help:"Address of the platform, for --in-force."`
	CallTimeout time.Duration `default:"2s" env:"LOOM_PLATFORM_TIMEOUT" help:"Timeout of one call to the platform."`
	Timeout     time.Duration `default:"10s" help:"Timeout of reading the version in force."`
}

func checkVerb() Verb {
	return Verb{
		Name:    "check",
		Help:    "Check a folder of configuration files, and print what differs from another version.",
		Command: &check{},
	}
}

// Validate rejects flag values out of range. Kong calls it after parsing.
func (c *check) Validate() error {
	switch {
	case c.Timeout <= 0:
		return errors.Errorf("--timeout=%s: must be above 0", c.Timeout)
	case c.InForce && c.Platform == "":
		return errors.New("--in-force needs --platform")
	}
	return nil
}

// Run prints a one-line summary, the warnings and the differences, or fails with every
// problem.
func (c *check) Run(s *session) error {
	f, loaded, warnings, err := readValid(c.Dir)
	if err != nil {
		return err
	}
	fmt.Fprintf(s.out, "valid: %s\n", summary(len(f.Contents()), loaded))
	for _, w := range warnings {
		fmt.Fprintf(s.out, "warning: %s\n", w)
	}
	if err := c.printDifferences(s, f, loaded); err != nil {
		return err
	}
	if c.Strict && len(warnings) > 0 {
		return usageError{errors.New(count(len(warnings), "warning"))}
	}
	return nil
}

// readValid reads and loads a folder, and returns the warnings about it. It fails with
// every problem.
func readValid(dir string) (folder.Folder, *config.Config, []diag.Diagnostic, error) {
	f, problems, err := folder.Read(dir)
	if err != nil {
		return f, nil, nil, usageError{err}
	}
	l := loader.New()
	loaded, more := l.Load(f.Version(), f.Contents())
	problems = append(problems, more...)
	if len(problems) > 0 {
		diag.Sort(problems)
		return f, nil, nil, usageError{problemsError(problems)}
	}
	return f, loaded, lint.New(loaded, l.Place).Findings(), nil
}

// printDifferences prints what differs from the other folder or the version in force, if
// either was asked for.
func (c *check) printDifferences(s *session, f folder.Folder, loaded *config.Config) error {
	switch {
	case c.InForce:
		platform := platformFlags{Platform: c.Platform, CallTimeout: c.CallTimeout}
		return platform.within(s, c.Timeout, func(ctx context.Context, configuration *store.Store) error {
			snapshot, err := configuration.Read(ctx)
			if err != nil {
				return err
			}
			return printApplied(s.out, f, snapshot)
		})
	case c.Against != "":
		_, other, _, err := readValid(c.Against)
		if err != nil {
			return errors.WithMessagef(err, "--against %s", c.Against)
		}
		printLines(s.out, differ.New(other, loaded).Lines())
	}
	return nil
}

// printApplied prints what an apply of the folder would change in the version in force.
// Files that were applied from other folders, and that this one doesn't hold or change,
// stay as they are.
func printApplied(out io.Writer, f folder.Folder, snapshot snap.Snapshot) error {
	before, problems := loader.New().Load(snapshot.Version, snapshot.Contents())
	if len(problems) > 0 {
		return errors.WithMessagef(problemsError(problems), "version %d in force", snapshot.Version)
	}
	after, problems := loader.New().Load(snapshot.Version, f.Edit("", "").Onto(snapshot.Contents()))
	if len(problems) > 0 {
		return usageError{errors.WithMessagef(problemsError(problems), "merged with version %d", snapshot.Version)}
	}
	printLines(out, differ.New(before, after).Lines())
	return nil
}

func printLines(out io.Writer, lines []string) {
	if len(lines) == 0 {
		lines = []string{"no difference"}
	}
	fmt.Fprintln(out, strings.Join(lines, "\n"))
}

// summary counts the files, teams, services and routes of a configuration.
func summary(files int, c *config.Config) string {
	return strings.Join([]string{
		count(files, "file"),
		count(len(c.Teams()), "team"),
		count(len(c.Services()), "service"),
		count(len(c.Routes()), "route"),
	}, ", ")
}

// count returns a number with its noun, in the plural unless the number is 1.
func count(n int, noun string) string {
	if n == 1 {
		return "1 " + noun
	}
	return fmt.Sprintf("%d %ss", n, noun)
}

// problemsError returns an error that lists problems of the configuration, one per
// line.
func problemsError(problems []diag.Diagnostic) error {
	var text strings.Builder
	text.WriteString(count(len(problems), "problem"))
	for _, p := range problems {
		text.WriteString("\n  " + p.String())
	}
	return errors.New(text.String())
}
