// Package edit holds a change to the configuration that an operator submits.
package edit

import (
	"fmt"
	"maps"
	"slices"
	"strings"

	"bergamotloom.example/diag"
	"bergamotloom.example/shasum"
)

// Edit is the difference between an operator's folder and the version that the
// folder was made from. It's a value.
type Edit struct {
	// Token identifies the submission; each has its own.
	Token string
	Who   string
	// Contents holds new and changed files by name, Removed the names of
	// removed files.
	Contents map[string][]byte
	Removed  []string
	// BaseDigests holds the digests of the changed and removed files that the edit
	// was made from; a new file has none.
	BaseDigests map[string]string
	// Problems are the problems of the folder; an edit with any is refused.
	Problems []diag.Diagnostic
}

// WithProblems returns the edit with problems of its folder.
func (e Edit) WithProblems(problems []diag.Diagnostic) Edit {
	e.Problems = problems
	return e
}

// Empty reports whether there is nothing to change.
func (e Edit) Empty() bool {
	return len(e.Contents) == 0 && len(e.Removed) == 0
}

// Changed returns the names of the new and changed files in order.
func (e Edit) Changed() []string {
	return slices.Sorted(maps.Keys(e.Contents))
}

// Onto returns the contents with the edit applied to them.
func (e Edit) Onto(contents map[string][]byte) map[string][]byte {
	after := maps.Clone(contents)
	maps.Copy(after, e.Contents)
	for _, name := range e.Removed {
		delete(after, name)
	}
	return after
}

// WithoutFile returns the edit without one file.
func (e Edit) WithoutFile(name string) Edit {
	e.Contents = maps.Clone(e.Contents)
	delete(e.Contents, name)
	e.Removed = slices.DeleteFunc(slices.Clone(e.Removed), func(n string) bool { return n == name })
	return e
}

// Digest identifies the contents of the edit, whoever submits it.
func (e Edit) Digest() string {
	var text strings.Builder
	for _, name := range e.Changed() {
		fmt.Fprintf(&text, "changed %s %s\n", name, shasum.Of(e.Contents[name]))
	}
	for _, name := range slices.Sorted(slices.Values(e.Removed)) {
		fmt.Fprintf(&text, "removed %s\n", name)
	}
	for _, p := range e.Problems {
		fmt.Fprintf(&text, "problem %s\n", p)
	}
	return shasum.Of([]byte(text.String()))
}
