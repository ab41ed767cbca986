// Package snap holds a snapshot of the whole configuration in the table.
package snap

import (
	"fmt"
	"maps"
	"slices"
	"strings"

	"bergamotloom.example/change"
	"bergamotloom.example/shasum"
	"bergamotloom.example/stored"
)

// Snapshot is one version with its files, including removed ones.
type Snapshot struct {
	Version int64
	// RowVersion is the write count of the table row that names the version in
	// force; a change is accepted only if that row hasn't been written since.
	RowVersion int64
	// Who is the name of the operator who made the version, When the time in
	// UTC as 2006-01-02T15:04:05.000000Z.
	Who   string
	When  string
	Files map[string]stored.File
}

// Contents returns the contents of the files that aren't removed.
func (s Snapshot) Contents() map[string][]byte {
	contents := make(map[string][]byte, len(s.Files))
	for name, f := range s.Files {
		if !f.Removed {
			contents[name] = f.Content
		}
	}
	return contents
}

// Change returns a change that holds the whole version.
func (s Snapshot) Change() change.Change {
	return change.Change{Version: s.Version, Whole: true, Contents: s.Contents()}
}

// Digest returns a digest of the state of every file, which detects a mix of two
// versions.
func (s Snapshot) Digest() string {
	var text strings.Builder
	for _, name := range slices.Sorted(maps.Keys(s.Files)) {
		f := s.Files[name]
		fmt.Fprintf(&text, "%s %d %t %s\n", name, f.Version, f.Removed, f.Digest)
	}
	return shasum.Of([]byte(text.String()))
}
