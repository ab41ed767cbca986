// Package diag holds one problem found in the configuration's files.
package diag

import (
	"cmp"
	"fmt"
	"slices"
)

// Diagnostic says what is wrong and where. Line and Column count from 1; they
// are 0 when the whole file is meant.
type Diagnostic struct {
	File   string
	Line   int
	Column int
	Text   string
}

// String returns the problem as "file:line:column: text".
func (d Diagnostic) String() string {
	return fmt.Sprintf("%s: %s", d.Place(), d.Text)
}

// Place returns the position as "file:line:column".
func (d Diagnostic) Place() string {
	if d.Line == 0 {
		return d.File
	}
	return fmt.Sprintf("%s:%d:%d", d.File, d.Line, d.Column)
}

// Sort puts problems in the order of their places.
func Sort(all []Diagnostic) {
	slices.SortStableFunc(all, func(a, b Diagnostic) int {
		return cmp.Or(cmp.Compare(a.File, b.File), cmp.Compare(a.Line, b.Line), cmp.Compare(a.Column, b.Column))
	})
}
