package fleet_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"bergamotloom.example/clock"
	"bergamotloom.example/fleet"
	"bergamotloom.example/header"
	"bergamotloom.example/keys"
	"bergamotloom.example/layout"
	"bergamotloom.example/load"
	"bergamotloom.example/plan"
	"bergamotloom.example/proc"
	"bergamotloom.example/sender"
	"bergamotloom.example/tally"

	// The tests run the whole program. This import makes a change of any of its
	// packages invalidate their cached results.
	_ "bergamotloom.example/verbs"
)

const (
	apiKey        = "loom_test-key"
	readyTimeout  = 15 * time.Second
	defaultConfig = `Teams:
  - {Name: Lakes, Rate: 100000, Burst: 100000, Keys: ["HASH"]}
Services:
  - {Name: stock, Slots: 50}
Routes:
  - {Name: Stock, Match: /stock/*, Service: stock, Rank: Critical, Idempotent: true, Timeout: 60s, Retries: 2}
  - {Name: Book, Match: /book/*, Service: stock, Rank: Critical, Timeout: 60s, Retries: 2}
`
)

// binary is the program, built once for all tests of the package.
var binary string

func TestMain(m *testing.M) {
	os.Exit(buildAndRun(m))
}

func buildAndRun(m *testing.M) int {
	directory, err := os.MkdirTemp("", "fleet")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer func() { _ = os.RemoveAll(directory) }()
	if binary, err = proc.Build(context.Background(), directory); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	return m.Run()
}

// start runs a fleet and waits until the default configuration is in force on
// all nodes.
func start(t *testing.T, l layout.Layout) *fleet.Fleet {
	t.Helper()
	f := startWithConfig(t, l, defaultConfig)
	waitReady(t, f)
	return f
}

// startWithConfig runs a fleet and applies a configuration, in which HASH is
// replaced by the hash of the API key.
func startWithConfig(t *testing.T, l layout.Layout, content string) *fleet.Fleet {
	t.Helper()
	f, err := fleet.Start(t.Context(), binary, t.TempDir(), l)
	t.Cleanup(func() {
		if t.Failed() {
			for _, in := range f.Instances {
				if in.Node != nil {
					t.Logf("log of %s:\n%s", in.Name, in.Node.LogTail())
				}
			}
		}
		f.Close()
	})
	assert.NilError(t, err)
	applyConfig(t, f, strings.ReplaceAll(content, "HASH", keys.Hash(apiKey)))
	return f
}

func applyConfig(t *testing.T, f *fleet.Fleet, content string) {
	t.Helper()
	folder := t.TempDir()
	assert.NilError(t, os.WriteFile(filepath.Join(folder, "a.yaml"), []byte(content), 0o600))
	out, code, err := f.RunCommand(t.Context(), "apply", folder, "--platform", f.Platform.ReadyLine(), "--who", "test")
	assert.NilError(t, err)
	assert.Equal(t, code, 0, out)
}

// waitReady waits until each node serves a request and sees all instances as
// ready.
func waitReady(t *testing.T, f *fleet.Fleet) {
	t.Helper()
	for _, in := range f.Instances {
		poll.WaitOn(t, func(poll.LogT) poll.Result {
			state := getBody(t, in.Operators, "/loom/state")
			// The node is in the state twice: as Self and in MemberList.
			ready := strings.Count(state, `"Ready": true`) - 1
			if ready < len(f.Instances) {
				return poll.Continue("%s sees %d ready instances", in.Name, ready)
			}
			// bytes=0 asks for an empty body. A refusal has a body.
			if got := getBody(t, in.Callers, "/stock/ready?bytes=0"); got != "" {
				return poll.Continue("%s responds with %q", in.Name, got)
			}
			return poll.Success()
		}, poll.WithTimeout(readyTimeout), poll.WithDelay(20*time.Millisecond))
	}
}

// getBody returns the body of the response, or the text of the error.
func getBody(t *testing.T, address, path string) string {
	t.Helper()
	request, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://"+address+path, http.NoBody)
	assert.NilError(t, err)
	request.Header.Set(header.Authorization, "Bearer "+apiKey)
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return err.Error()
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return err.Error()
	}
	return string(body)
}

// newPlan returns a plan of requests to these nodes, without routes.
func newPlan(t *testing.T, ratePerSecond, seconds float64, nodes ...string) plan.Plan {
	t.Helper()
	return plan.New(t.Name()+strconv.FormatInt(time.Now().UnixNano(), 36), 1).
		WithNodes(nodes...).
		WithTeam("Lakes", apiKey, 1).
		WithPhase(seconds, ratePerSecond)
}

// sendPlan checks a plan, sends its requests and returns their outcomes.
func sendPlan(t *testing.T, p plan.Plan) *tally.Tally {
	t.Helper()
	assert.NilError(t, p.Check())
	s := sender.New(p.TimeoutMillis)
	defer s.Close()
	return load.New(p, clock.New(), s).Run(t.Context())
}
