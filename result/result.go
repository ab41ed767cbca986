// Package result holds what became of a change that an operator asked for.
package result

import (
	"fmt"
	"strings"

	"bergamotloom.example/diag"
	"bergamotloom.example/stored"
)

// Result is the known outcome of a change. It's accepted, refused for problems
// or conflicts, or there was nothing to change.
type Result struct {
	// Version is that of the accepted change, else the one in force that the
	// change was checked against.
	Version  int64
	Accepted bool
	// Problems are those of the files as they would have become.
	Problems []diag.Diagnostic
	// Conflicts are the files that somebody else changed since, as they are.
	Conflicts []stored.File
}

// Refused tells whether the change was refused.
func (r Result) Refused() bool {
	return len(r.Problems) > 0 || len(r.Conflicts) > 0
}

// Why returns in one line why the change was refused, empty if it wasn't.
func (r Result) Why() string {
	if len(r.Conflicts) > 0 {
		return strings.Join(r.ConflictLines(), "; ")
	}
	if len(r.Problems) > 0 {
		return problemsLine(r.Problems)
	}
	return ""
}

// problemsLine tells the first problem and how many there are besides.
func problemsLine(problems []diag.Diagnostic) string {
	first := problems[0].String()
	if len(problems) == 1 {
		return first
	}
	return fmt.Sprintf("%s, and %d more", first, len(problems)-1)
}

// ConflictLines says of each conflict who changed what, and when.
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
