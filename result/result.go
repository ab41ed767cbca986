// Package result holds the outcome of an operator's change to the configuration.
package result

import (
	"fmt"
	"strings"

	"bergamotloom.example/diag"
	"bergamotloom.example/stored"
)

// Result is the outcome of a change: accepted, refused because of problems or
// conflicts, or nothing to change.
type Result struct {
	// Version is the version of the accepted change, otherwise the version in
	// force that the change was checked against.
	Version  int64
	Accepted bool
	// Problems are the problems of the files with the change applied.
	Problems []diag.Diagnostic
	// Conflicts are the files that somebody else has changed since the edit
	// was begun, in their present state.
	Conflicts []stored.File
}

// Refused tells whether the change was refused.
func (r Result) Refused() bool {
	return len(r.Problems) > 0 || len(r.Conflicts) > 0
}

// RefusalReason returns the reason of the refusal in one line, empty if the
// change wasn't refused.
func (r Result) RefusalReason() string {
	if len(r.Conflicts) > 0 {
		return strings.Join(r.ConflictLines(), "; ")
	}
	if len(r.Problems) > 0 {
		return problemsLine(r.Problems)
	}
	return ""
}

// problemsLine returns the first problem and the number of further ones.
func problemsLine(problems []diag.Diagnostic) string {
	first := problems[0].String()
	if len(problems) == 1 {
		return first
	}
	return fmt.Sprintf("%s, and %d more", first, len(problems)-1)
}

// ConflictLines returns a line for each conflict: the file, who changed it and
// when.
func (r Result) ConflictLines() []string {
	var lines []string
	for _, f := range r.Conflicts {
		verb := "changed"
		if f.Removed {
			verb = "removed"
		}
		lines = append(lines, fmt.Sprintf("%s was %s by %s at %s (version %d)", f.Name, verb, f.Who, f.When, f.Version))
	}
	return lines
}
