package verbs_test

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"
)

const (
	blockStart = "```console run"
	blockEnd   = "```"
)

// TestPagesMatchCommandOutput runs the blocks marked "console run" of each page in
// order, in a folder with the examples, and compares the page with the output. With
// -update the page is rewritten.
func TestPagesMatchCommandOutput(t *testing.T) {
	pages, err := filepath.Glob("../docs/*.md")
	assert.NilError(t, err)
	root, err := filepath.Abs("..")
	assert.NilError(t, err)
	for _, p := range append(pages, "../README.md") {
		page, err := os.ReadFile(p)
		if err != nil || !strings.Contains(string(page), blockStart) {
			continue
		}
		t.Run(filepath.Base(p), func(t *testing.T) {
			r := newRunCase(t, filepath.Join(root, "examples"), "examples", root)
			t.Chdir(r.dir)
			printed := r.runPage(t, string(page))
			t.Chdir(filepath.Join(root, "verbs"))
			golden.Assert(t, printed, filepath.Join("..", p))
		})
	}
}

// runPage runs the commands of a page and returns the page with their current
// output.
func (r *runCase) runPage(t *testing.T, page string) string {
	t.Helper()
	inBlock, printed := false, ""
	for line := range strings.Lines(page) {
		text := strings.TrimSpace(line)
		switch {
		case text == blockStart:
			inBlock = true
		case inBlock && text == blockEnd:
			inBlock = false
			printed += r.text()
			r.out.Reset()
		case inBlock:
			if command, ok := strings.CutPrefix(text, "$ "); ok {
				r.run(t, command)
			}
			continue
		}
		printed += line
	}
	return printed
}
