// Package folder reads and writes an operator's folder of configuration files.
//
// The folder's dot file tells from which version of the table each file was
// made. With it a removed file is told from one that was never there, and a
// file that somebody else has changed since is noticed.
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

// Folder is an operator's folder as it was read. It's a value.
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

// origin tells what one file was made from.
type origin struct {
	Name    string `yaml:"Name"`
	Version int64  `yaml:"Version"`
	Digest  string `yaml:"Digest"`
}

// Read reads the folder. Files that don't belong into it are problems; those
// whose names begin with a dot are ignored.
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

// Contents returns the files' contents by name.
func (f Folder) Contents() map[string][]byte {
	return maps.Clone(f.contents)
}

// Version returns the newest version that the folder has met.
func (f Folder) Version() int64 {
	return f.base.Version
}

// Edit returns what differs between the folder and what it was made from.
func (f Folder) Edit(token, who string) edit.Edit {
	e := edit.Edit{Token: token, Who: who, Contents: make(map[string][]byte), Bases: make(map[string]string)}
	for _, o := range f.base.Files {
		e.Bases[o.Name] = o.Digest
		if _, ok := f.contents[o.Name]; !ok {
			e.Removed = append(e.Removed, o.Name)
		}
	}
	for name, content := range f.contents {
		if e.Bases[name] != shasum.Of(content) {
			e.Contents[name] = content
		}
	}
	return e
}

// Accept notes that the edit's files are in the table as they are here, and
// clears away what Fetch put beside them.
func (f Folder) Accept(e edit.Edit, version int64) (Folder, error) {
	origins := f.origins()
	for name, content := range e.Contents {
		origins[name] = origin{Name: name, Version: version, Digest: shasum.Of(content)}
	}
	for _, name := range e.Removed {
		delete(origins, name)
	}
	for _, name := range append(e.Changed(), e.Removed...) {
		if err := place(filepath.Join(f.dir, theirsName(name)), stored.NewRemoved(name)); err != nil {
			return f, err
		}
	}
	return f.withBase(origins, max(version, f.base.Version))
}

// Fetch brings the folder up to a version. Files that weren't edited here
// become as they are there. Of a file that was changed on both sides the
// other's content is put beside it, in a dot file, and its name is returned:
// once the operator has merged the two, the next change goes over it.
func (f Folder) Fetch(s snap.Snapshot) (updated, clashing []string, err error) {
	origins, mine := f.origins(), f.Edit("", "")
	for _, name := range slices.Sorted(maps.Keys(s.Files)) {
		theirs := s.Files[name]
		if filepath.Base(name) != name || !loader.IsConfigFile(name) {
			return nil, nil, errors.Errorf("the table holds a file %q, which can't be in a folder", name)
		}
		if theirs.Digest == origins[name].Digest {
			continue
		}
		path := filepath.Join(f.dir, name)
		if f.edited(mine, theirs) {
			clashing = append(clashing, name)
			path = filepath.Join(f.dir, theirsName(name))
		} else {
			updated = append(updated, name)
		}
		if err := place(path, theirs); err != nil {
			return nil, nil, err
		}
		note(origins, theirs)
	}
	_, err = f.withBase(origins, s.Version)
	return updated, clashing, err
}

// edited tells whether the file was edited here into something else than it
// is there.
func (f Folder) edited(mine edit.Edit, theirs stored.File) bool {
	content, here := f.contents[theirs.Name]
	if !here {
		return slices.Contains(mine.Removed, theirs.Name) && !theirs.Removed
	}
	_, changed := mine.Contents[theirs.Name]
	return changed && (theirs.Removed || shasum.Of(content) != theirs.Digest)
}

// place writes a file of the table to the folder, or removes it.
func place(path string, f stored.File) error {
	if !f.Removed {
		return errors.Wrap(replace(path, f.Content), "writing to the folder")
	}
	err := os.Remove(path)
	if errors.Is(err, os.ErrNotExist) {
		return nil
	}
	return errors.Wrap(err, "removing from the folder")
}

func note(origins map[string]origin, f stored.File) {
	if f.Removed {
		delete(origins, f.Name)
		return
	}
	origins[f.Name] = origin{Name: f.Name, Version: f.Version, Digest: f.Digest}
}

func theirsName(name string) string {
	return fmt.Sprintf(".%s.theirs", name)
}

func (f Folder) origins() map[string]origin {
	origins := make(map[string]origin, len(f.base.Files))
	for _, o := range f.base.Files {
		origins[o.Name] = o
	}
	return origins
}

// withBase writes the dot file and returns the folder with it.
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

// replace writes a file so that readers see the old or the new one whole.
func replace(path string, content []byte) error {
	temporary := filepath.Join(filepath.Dir(path), "."+filepath.Base(path)+".new")
	if err := os.WriteFile(temporary, content, filePermission); err != nil {
		return err
	}
	return os.Rename(temporary, path)
}
