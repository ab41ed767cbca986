package folder_test

import (
	"fmt"
	"os"
	"path/filepath"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"bergamotloom.example/folder"
	"bergamotloom.example/snap"
	"bergamotloom.example/stored"
)

func read(t *rapid.T, dir string) folder.Folder {
	f, problems, err := folder.Read(dir)
	assert.NilError(t, err)
	assert.Equal(t, len(problems), 0)
	return f
}

// changeFile edits or removes a file in the folder or in the table.
func changeFile(t *rapid.T, dir string, table *snap.Snapshot) {
	name := fmt.Sprintf("f%d.yaml", rapid.IntRange(0, 2).Draw(t, "file"))
	content := []byte(rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "content"))
	switch rapid.IntRange(0, 3).Draw(t, "way") {
	case 0:
		assert.NilError(t, os.WriteFile(filepath.Join(dir, name), content, 0o600))
	case 1:
		_ = os.Remove(filepath.Join(dir, name))
	case 2:
		table.Version++
		table.Files[name] = stored.New(name, content).WithChange(table.Version, "x", "now")
	default:
		table.Version++
		table.Files[name] = stored.NewRemoved(name).WithChange(table.Version, "x", "now")
	}
}

// TestFetchKeepsEditsAndBringsTheRest compares each file after a fetch with the
// edits in the folder and the content of the table.
func TestFetchKeepsEditsAndBringsTheRest(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		dir, err := os.MkdirTemp("", "folder")
		assert.NilError(t, err)
		defer func() { _ = os.RemoveAll(dir) }()
		table := snap.Snapshot{Files: make(map[string]stored.File)}
		for range 6 {
			for range rapid.IntRange(1, 4).Draw(t, "edits") {
				changeFile(t, dir, &table)
			}
			before := read(t, dir)
			localEdit := before.Edit("", "")
			_, conflicts, err := before.Fetch(table)
			assert.NilError(t, err)
			after := read(t, dir)
			expected := table.Contents()
			for name, content := range localEdit.Contents {
				expected[name] = content
			}
			for _, name := range localEdit.Removed {
				delete(expected, name)
			}
			assert.DeepEqual(t, after.Contents(), expected)
			assert.Equal(t, after.Version(), table.Version)
			for _, name := range conflicts {
				copied, err := os.ReadFile(filepath.Join(dir, "."+name+".theirs"))
				assert.Equal(t, err != nil, table.Files[name].Removed)
				assert.Equal(t, string(copied), string(table.Files[name].Content))
			}
			accepted, err := after.Accept(after.Edit("", ""), table.Version)
			assert.NilError(t, err)
			assert.Assert(t, accepted.Edit("", "").Empty())
			for _, name := range conflicts {
				_, err := os.Stat(filepath.Join(dir, "."+name+".theirs"))
				assert.ErrorIs(t, err, os.ErrNotExist)
			}
			apply(after, &table)
		}
	})
}

// apply writes the folder's edits to the table.
func apply(f folder.Folder, table *snap.Snapshot) {
	e := f.Edit("", "")
	table.Version++
	for name, content := range e.Contents {
		table.Files[name] = stored.New(name, content).WithChange(table.Version, "me", "now")
	}
	for _, name := range e.Removed {
		table.Files[name] = stored.NewRemoved(name).WithChange(table.Version, "me", "now")
	}
}
