// Package folder reads and writes an operator's folder of configuration files.
//
// The folder's dot file records on which version in the table each file is
// based. It distinguishes a removed file from one that never existed, and
// detects files that another operator has changed since.
package folder

import (
	"fmt"
	"maps"
	"os"
	"path/filepath"
	"slices"

	"github.com/goccy/go-yaml"
	"github.com/pkg/errors"

	"bergamotloom.example/diag"
	"bergamotloom.example/edit"
	"bergamotloom.example/loader"
	"bergamotloom.example/shasum"
	"bergamotloom.example/snap"
	"bergamotloom.example/stored"
)

const (
	// BaseName is the name of the dot file.
	BaseName = ".bergamotloom.yaml"

	filePermission = 0o644
)

// Folder is an operator's folder as it was read. It's used by value.
type Folder struct {
	dir      string
	contents map[string][]byte
	base     base
}

// base is the content of the dot file.
type base struct {
	Version int64    `yaml:"Version"`
	Files   []origin `yaml:"Files"`
}

// origin is the version on which one file is based.
type origin struct {
	Name    string `yaml:"Name"`
	Version int64  `yaml:"Version"`
	Digest  string `yaml:"Digest"`
}

// Read reads the folder. Files that don't belong in it are reported as
// problems, except those whose names begin with a dot, which are ignored.
func Read(dir string) (Folder, []diag.Diagnostic, error) {
	f := Folder{dir: dir, contents: make(map[string][]byte)}
	entries, err := os.ReadDir(dir)
	if err != nil {
		return f, nil, errors.Wrap(err, "reading the folder")
	}
	var problems []diag.Diagnostic
	for _, e := range entries {
		switch name := e.Name(); {
		case name[0] == '.':
		case e.IsDir():
			problems = append(problems, diag.Diagnostic{File: name, Text: "is a folder: files lie side by side"})
		case !loader.IsConfigFile(name):
			problems = append(problems, diag.Diagnostic{File: name, Text: "isn't named .yaml or .yml; a name that begins with a dot is ignored"})
		default:
			f.contents[name], err = os.ReadFile(filepath.Join(dir, name))
			if err != nil {
				return f, nil, errors.Wrap(err, "reading the folder")
			}
		}
	}
	f.base, err = readBase(filepath.Join(dir, BaseName))
	return f, problems, err
}

func readBase(path string) (base, error) {
	content, err := os.ReadFile(path)
	if errors.Is(err, os.ErrNotExist) {
		return base{}, nil
	}
	if err != nil {
		return base{}, errors.Wrap(err, "reading the dot file")
	}
	var b base
	if err := yaml.UnmarshalWithOptions(content, &b, yaml.Strict()); err != nil {
		return base{}, errors.Errorf("%s is damaged: move it away and fetch again", BaseName)
	}
	return b, nil
}

// Contents returns a copy of the files' contents by name.
func (f Folder) Contents() map[string][]byte {
	return maps.Clone(f.contents)
}

// Version returns the newest version that Fetch or Accept recorded, or 0.
func (f Folder) Version() int64 {
	return f.base.Version
}

// Edit returns the differences between the folder and the version on which it's
// based, as an edit with this token by the operator who.
func (f Folder) Edit(token, who string) edit.Edit {
	e := edit.Edit{Token: token, Who: who, Contents: make(map[string][]byte), BaseDigests: make(map[string]string)}
	for _, o := range f.base.Files {
		e.BaseDigests[o.Name] = o.Digest
		if _, ok := f.contents[o.Name]; !ok {
			e.Removed = append(e.Removed, o.Name)
		}
	}
	for name, content := range f.contents {
		if e.BaseDigests[name] != shasum.Of(content) {
			e.Contents[name] = content
		}
	}
	return e
}

// Accept records an edit that the table accepted as the given version, and
// removes the copies that Fetch wrote for conflicts in its files.
func (f Folder) Accept(e edit.Edit, version int64) (Folder, error) {
	origins := f.origins()
	for name, content := range e.Contents {
		origins[name] = origin{Name: name, Version: version, Digest: shasum.Of(content)}
	}
	for _, name := range e.Removed {
		delete(origins, name)
	}
	for _, name := range append(e.Changed(), e.Removed...) {
		if err := writeOrRemove(filepath.Join(f.dir, conflictName(name)), stored.NewRemoved(name)); err != nil {
			return f, err
		}
	}
	return f.withBase(origins, max(version, f.base.Version))
}

// Fetch updates the folder to a version. Files that weren't edited in the
// folder get the table's content. If a file was changed in both, the
// table's content is written to a dot file beside it and the name is returned
// in conflicts: once the operator has merged the two, the next submitted change
// replaces the table's content.
func (f Folder) Fetch(s snap.Snapshot) (updated, conflicts []string, err error) {
	origins, localEdit := f.origins(), f.Edit("", "")
	for _, name := range slices.Sorted(maps.Keys(s.Files)) {
		tableFile := s.Files[name]
		if filepath.Base(name) != name || !loader.IsConfigFile(name) {
			return nil, nil, errors.Errorf("the table holds a file %q, which can't be in a folder", name)
		}
		if tableFile.Digest == origins[name].Digest {
			continue
		}
		path := filepath.Join(f.dir, name)
		if f.hasConflict(localEdit, tableFile) {
			conflicts = append(conflicts, name)
			path = filepath.Join(f.dir, conflictName(name))
		} else {
			updated = append(updated, name)
		}
		if err := writeOrRemove(path, tableFile); err != nil {
			return nil, nil, err
		}
		setOrigin(origins, tableFile)
	}
	_, err = f.withBase(origins, s.Version)
	return updated, conflicts, err
}

// hasConflict tells whether the file was edited in the folder and differs from
// the table's.
func (f Folder) hasConflict(localEdit edit.Edit, tableFile stored.File) bool {
	content, exists := f.contents[tableFile.Name]
	if !exists {
		return slices.Contains(localEdit.Removed, tableFile.Name) && !tableFile.Removed
	}
	_, changed := localEdit.Contents[tableFile.Name]
	return changed && (tableFile.Removed || shasum.Of(content) != tableFile.Digest)
}

// writeOrRemove writes a file of the table to the path, or removes it there.
func writeOrRemove(path string, f stored.File) error {
	if !f.Removed {
		return errors.Wrap(replace(path, f.Content), "writing to the folder")
	}
	err := os.Remove(path)
	if errors.Is(err, os.ErrNotExist) {
		return nil
	}
	return errors.Wrap(err, "removing from the folder")
}

// setOrigin records that the file in the folder is based on this file of the
// table.
func setOrigin(origins map[string]origin, f stored.File) {
	if f.Removed {
		delete(origins, f.Name)
		return
	}
	origins[f.Name] = origin{Name: f.Name, Version: f.Version, Digest: f.Digest}
}

// conflictName returns the name of the dot file with the table's content of a
// file that was changed on both sides.
func conflictName(name string) string {
	return fmt.Sprintf(".%s.theirs", name)
}

func (f Folder) origins() map[string]origin {
	origins := make(map[string]origin, len(f.base.Files))
	for _, o := range f.base.Files {
		origins[o.Name] = o
	}
	return origins
}

// withBase writes the dot file and returns the folder with the new origins.
func (f Folder) withBase(origins map[string]origin, version int64) (Folder, error) {
	f.base = base{Version: version}
	for _, name := range slices.Sorted(maps.Keys(origins)) {
		f.base.Files = append(f.base.Files, origins[name])
	}
	content, err := yaml.Marshal(f.base)
	if err != nil {
		return f, errors.Wrap(err, "writing the dot file")
	}
	return f, errors.Wrap(replace(filepath.Join(f.dir, BaseName), content), "writing the dot file")
}

// replace writes a file atomically: readers see the whole old or the whole new
// content.
func replace(path string, content []byte) error {
	temporary := filepath.Join(filepath.Dir(path), "."+filepath.Base(path)+".new")
	if err := os.WriteFile(temporary, content, filePermission); err != nil {
		return err
	}
	return os.Rename(temporary, path)
}
