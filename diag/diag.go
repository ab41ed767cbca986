// Package diag holds a diagnostic about the configuration's files.
package diag

import (
	"cmp"
	"fmt"
	"slices"
)

// Diagnostic describes a problem and its position. Line and Column count from
// 1; they are 0 if the problem concerns the whole file.
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

// Place returns the position as "file:line:column", or the file alone if the
// problem concerns the whole file.
func (d Diagnostic) Place() string {
	if d.Line == 0 {
		return d.File
	}
	return fmt.Sprintf("%s:%d:%d", d.File, d.Line, d.Column)
}

// Sort sorts diagnostics by file, line and column.
func Sort(all []Diagnostic) {
	slices.SortStableFunc(all, func(a, b Diagnostic) int {
		return cmp.Or(cmp.Compare(a.File, b.File), cmp.Compare(a.Line, b.Line), cmp.Compare(a.Column, b.Column))
	})
}
