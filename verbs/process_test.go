package verbs_test

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"bergamotloom.example/audit"
	"bergamotloom.example/clock"
	"bergamotloom.example/remote"
	"bergamotloom.example/store"
	"bergamotloom.example/verbs"
)

const asProgram = "LOOM_TEST_AS_PROGRAM"

// TestMain lets the test binary stand for the program in processes of its own.
func TestMain(m *testing.M) {
	if os.Getenv(asProgram) != "" {
		os.Exit(verbs.Main(context.Background(), os.Args[1:], os.Stdout, os.Stderr))
	}
	os.Exit(m.Run())
}

func program(t *testing.T, args ...string) *exec.Cmd {
	t.Helper()
	c := exec.CommandContext(t.Context(), os.Args[0], args...)
	c.Env = append(os.Environ(), asProgram+"=1")
	return c
}

// startPlatform starts the stand-in as a process and returns its address.
func startPlatform(t *testing.T) string {
	t.Helper()
	c := program(t, "standin", "platform")
	out, err := c.StdoutPipe()
	assert.NilError(t, err)
	assert.NilError(t, c.Start())
	t.Cleanup(func() {
		_ = c.Process.Kill()
		_ = c.Wait()
	})
	address, err := bufio.NewReader(out).ReadString('\n')
	assert.NilError(t, err)
	return strings.TrimSpace(address)
}

func flip(t *testing.T, platform, switches string) {
	t.Helper()
	request, err := http.NewRequestWithContext(t.Context(), http.MethodPost, platform+"/switches", strings.NewReader(switches))
	assert.NilError(t, err)
	answer, err := http.DefaultClient.Do(request)
	assert.NilError(t, err)
	assert.NilError(t, answer.Body.Close())
	assert.Equal(t, answer.StatusCode, http.StatusOK)
}

func trail(t *testing.T, platform string) (*store.Store, []audit.Line) {
	t.Helper()
	client, err := remote.New(platform, time.Second)
	assert.NilError(t, err)
	t.Cleanup(client.Close)
	kept := store.New(client.Table(), clock.New())
	lines, err := kept.Audit(t.Context(), 0)
	assert.NilError(t, err)
	return kept, lines
}

// operator is someone with a folder who applies it, and is killed or frozen
// while it runs.
type operator struct {
	name     string
	dir      string
	platform string
	random   *rand.Rand
	// told holds the versions that apply reported as accepted.
	told map[string]bool
}

var acceptedPattern = regexp.MustCompile(`accepted: version (\d+)`)

func (o *operator) write(t *testing.T, slots int) {
	t.Helper()
	content := fmt.Sprintf("Services: [{Name: %s, Slots: %d}]\n", o.name, slots)
	assert.Check(t, os.WriteFile(filepath.Join(o.dir, o.name+".yaml"), []byte(content), 0o600))
}

// apply runs the command; it may kill it or freeze it for a while.
func (o *operator) apply(t *testing.T, disturb bool) error {
	var out bytes.Buffer
	c := program(t, "apply", o.dir, "--platform", o.platform, "--who", o.name, "--call-timeout", "300ms", "--timeout", "20s")
	c.Stdout, c.Stderr = &out, &out
	if err := c.Start(); err != nil {
		return err
	}
	if disturb {
		time.Sleep(time.Duration(20+o.random.IntN(120)) * time.Millisecond)
		if o.random.IntN(2) == 0 {
			_ = c.Process.Kill()
		} else {
			_ = c.Process.Signal(syscall.SIGSTOP)
			time.Sleep(time.Duration(o.random.IntN(500)) * time.Millisecond)
			_ = c.Process.Signal(syscall.SIGCONT)
		}
	}
	err := c.Wait()
	if m := acceptedPattern.FindStringSubmatch(out.String()); m != nil {
		o.told[m[1]] = true
	}
	if err != nil && !disturb {
		return fmt.Errorf("%s: %w: %s", o.name, err, out.String())
	}
	return nil
}

// TestOperatorsAreKilledAndFrozen runs three operators' commands as processes
// against a platform that loses answers, and then reads its trail.
func TestOperatorsAreKilledAndFrozen(t *testing.T) {
	t.Parallel()
	platform := startPlatform(t)
	flip(t, platform, `{"LoseAnswers": 12, "OlderReadsMillis": 60}`)
	var running sync.WaitGroup
	operators := make([]*operator, 3)
	for i := range operators {
		o := &operator{
			name: fmt.Sprintf("o%d", i), dir: t.TempDir(), platform: platform,
			random: rand.New(rand.NewPCG(1, uint64(i))), told: make(map[string]bool),
		}
		operators[i] = o
		running.Go(func() {
			for n := 1; n <= 8; n++ {
				o.write(t, n)
				assert.Check(t, o.apply(t, true))
			}
			// A killed apply may have changed the table without the folder
			// knowing. Fetch finds out, and fails if the file was edited since.
			_ = program(t, "fetch", o.dir, "--platform", platform).Run()
			assert.Check(t, o.apply(t, false))
		})
	}
	running.Wait()
	// Older reads are the operators' trouble: the checks need what the table
	// holds now, the last change included.
	flip(t, platform, `{"OlderReadsMillis": 0}`)
	kept, lines := trail(t, platform)
	version, seen := int64(0), make(map[string]string)
	for _, l := range lines {
		if l.Refused == "" {
			version++
			assert.Equal(t, l.After, version)
			seen[fmt.Sprint(l.After)] = l.Who
		}
	}
	whole, err := kept.Whole(t.Context())
	assert.NilError(t, err)
	assert.Equal(t, whole.Version, version)
	told := 0
	for _, o := range operators {
		told += len(o.told)
		for v := range o.told {
			assert.Equal(t, seen[v], o.name, "version %s", v)
		}
		assert.Equal(t, string(whole.Contents[o.name+".yaml"]), fmt.Sprintf("Services: [{Name: %s, Slots: 8}]\n", o.name))
	}
	t.Logf("%d lines, %d accepted, %d untold", len(lines), version, int(version)-told)
	assert.Assert(t, version > 3)
}

// TestWatchFollowsTheFolder edits a watched folder, wrongly too, and during an
// outage.
func TestWatchFollowsTheFolder(t *testing.T) {
	t.Parallel()
	platform := startPlatform(t)
	dir := t.TempDir()
	edit := func(content string) {
		assert.NilError(t, os.WriteFile(filepath.Join(dir, "a.yaml"), []byte(content), 0o600))
	}
	watch := program(t, "apply", dir, "--watch", "--every", "20ms", "--timeout", "200ms", "--platform", platform, "--who", "w")
	assert.NilError(t, watch.Start())
	t.Cleanup(func() {
		_ = watch.Process.Kill()
		_ = watch.Wait()
	})
	await := func(lines int) {
		t.Helper()
		poll.WaitOn(t, func(poll.LogT) poll.Result {
			if _, found := trail(t, platform); len(found) >= lines {
				return poll.Success()
			}
			return poll.Continue("waiting for %d lines", lines)
		}, poll.WithTimeout(10*time.Second))
	}
	edit("Services: [{Name: a, Slots: 1}]\n")
	await(1)
	edit("Services: [{Name: a, Slots: 0}]\n")
	await(2)
	flip(t, platform, `{"Outage": true}`)
	edit("Services: [{Name: a, Slots: 2}]\n")
	time.Sleep(500 * time.Millisecond)
	flip(t, platform, `{"Outage": false}`)
	await(3)
	time.Sleep(100 * time.Millisecond)
	_, lines := trail(t, platform)
	var outcomes []string
	for _, l := range lines {
		outcomes = append(outcomes, fmt.Sprintf("%d-%d %t", l.Before, l.After, l.Refused == ""))
	}
	assert.DeepEqual(t, outcomes, []string{"0-1 true", "1-1 false", "1-2 true"})
}
