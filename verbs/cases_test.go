package verbs_test

import (
	"bytes"
	"fmt"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"

	"bergamotloom.example/clock"
	"bergamotloom.example/faults"
	"bergamotloom.example/plat"
	"bergamotloom.example/verbs"
)

// runCase is one test case, which runs in a copy of its folder.
type runCase struct {
	dir       string
	variables *strings.Replacer
	out       bytes.Buffer
}

// varyingOutput lists output that differs between runs, and its replacement.
var varyingOutput = []struct {
	pattern     *regexp.Regexp
	replacement string
}{
	{regexp.MustCompile(`loom_[\w-]{43}`), "<key>"},
	{regexp.MustCompile(`Hash: sha256-[0-9a-f]+`), "Hash: <hash>"},
	{regexp.MustCompile(`20\d\d-\d\d-\d\dT[\d:.]+Z`), "<time>"},
	{regexp.MustCompile(`http://127\.0\.0\.1:\d+`), "<platform>"},
	{regexp.MustCompile(`node 127\.0\.0\.1:\d{2,}`), "node <node>"},
}

// TestCases runs each folder's commands against a platform of its own, and
// compares what they print with the folder's expected output.
func TestCases(t *testing.T) {
	cases, err := filepath.Glob("testdata/cases/*/cmd")
	assert.NilError(t, err)
	assert.Assert(t, len(cases) > 0)
	root, err := filepath.Abs("..")
	assert.NilError(t, err)
	for _, c := range cases {
		name := filepath.Base(filepath.Dir(c))
		t.Run(name, func(t *testing.T) {
			r := newRunCase(t, filepath.Dir(c), ".", root)
			commands, err := os.ReadFile(c)
			assert.NilError(t, err)
			t.Chdir(r.dir)
			for line := range strings.Lines(string(commands)) {
				r.run(t, strings.TrimSpace(line))
			}
			t.Chdir(filepath.Join(root, "verbs"))
			golden.Assert(t, r.text(), filepath.Join("cases", name, "expected"))
		})
	}
}

// newRunCase starts a stand-in for the platform and an operator port that always
// reports version 1, and copies the folder source to destination in the folder of
// the case.
func newRunCase(t *testing.T, source, destination, root string) *runCase {
	t.Helper()
	dir := t.TempDir()
	assert.NilError(t, os.CopyFS(filepath.Join(dir, destination), os.DirFS(source)))
	platform := httptest.NewServer(plat.New(clock.New(), faults.New()).Handler())
	t.Cleanup(platform.Close)
	node := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = fmt.Fprint(w, `{"Version":1,"InForce":true}`)
	}))
	t.Cleanup(node.Close)
	t.Setenv("LOOM_PLATFORM", platform.URL)
	t.Setenv("LOOM_WHO", "tester")
	return &runCase{dir: dir, variables: strings.NewReplacer(
		"$PLATFORM", platform.URL, "$NODE", node.Listener.Addr().String(), "$ROOT", root)}
}

// run executes one line of a case: a shell-like command or the program.
func (r *runCase) run(t *testing.T, line string) {
	t.Helper()
	fmt.Fprintf(&r.out, "$ %s\n", line)
	words := strings.Fields(r.variables.Replace(line))
	switch words[0] {
	case "#":
	case "rm":
		assert.NilError(t, os.Remove(words[1]))
	case "cp":
		content, err := os.ReadFile(words[1])
		assert.NilError(t, err)
		assert.NilError(t, os.WriteFile(words[2], content, 0o600))
	case "echo":
		content, file, ok := strings.Cut(strings.TrimPrefix(line, "echo "), " > ")
		assert.Assert(t, ok, line)
		content = strings.Trim(content, "'") + "\n"
		assert.NilError(t, os.WriteFile(file, []byte(content), 0o600))
	case "mkdir":
		assert.NilError(t, os.Mkdir(words[1], 0o700))
	case "cat":
		content, err := os.ReadFile(words[1])
		assert.NilError(t, err)
		r.out.Write(content)
	case "ls":
		entries, err := os.ReadDir(words[1])
		assert.NilError(t, err)
		for _, e := range entries {
			fmt.Fprintln(&r.out, e.Name())
		}
	case "bergamotloom":
		if code := verbs.Main(t.Context(), words[1:], &r.out, &r.out); code != 0 {
			fmt.Fprintf(&r.out, "exit %d\n", code)
		}
	default:
		t.Fatalf("unknown command %q", line)
	}
}

// text returns the output so far, with varying parts replaced.
func (r *runCase) text() string {
	text := r.out.String()
	for _, c := range varyingOutput {
		text = c.pattern.ReplaceAllString(text, c.replacement)
	}
	return text
}
