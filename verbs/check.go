package verbs

import (
	"fmt"
	"strings"

	"github.com/pkg/errors"

	"bergamotloom.example/config"
	"bergamotloom.example/diag"
	"bergamotloom.example/folder"
	"bergamotloom.example/loader"
)

// check reads a folder and reports all problems, without network access.
type check struct {
	Dir string `arg:"" help:"Folder of configuration files."`
}

func checkVerb() Verb {
	return Verb{
		Name:    "check",
		Help:    "Check a folder of configuration files, without network access.",
		Command: &check{},
	}
}

// Run prints a one-line summary, or fails with every problem.
func (c *check) Run(s *session) error {
	f, problems, err := folder.Read(c.Dir)
	if err != nil {
		return usageError{err}
	}
	loaded, more := loader.New().Load(f.Version(), f.Contents())
	problems = append(problems, more...)
	if len(problems) > 0 {
		diag.Sort(problems)
		return usageError{problemsError(problems)}
	}
	_, err = fmt.Fprintf(s.out, "valid: %s\n", summary(len(f.Contents()), loaded))
	return errors.Wrap(err, "printing the summary")
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
