package verbs_test

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/assert/cmp"

	"bergamotloom.example/keys"
)

const (
	// inForceTimeout is the time within which an accepted change must be in
	// force at all nodes.
	inForceTimeout = 5 * time.Second
	rotationCount  = 6
	// freezeDuration exceeds inForceTimeout, so that the keys withdrawn in the
	// meantime are no longer valid when the node resumes.
	freezeDuration  = 6500 * time.Millisecond
	outageDuration  = 2 * time.Second
	waitingRequests = 10
	requestTimeout  = 3 * time.Second
	probeInterval   = 50 * time.Millisecond
)

// fleetNode is a node's process, which may be replaced by another one at the same
// addresses.
type fleetNode struct {
	process   *exec.Cmd
	addresses struct{ Callers, Local, Peers, Operators string }
}

func (n *fleetNode) start(t *testing.T, platform string, i int, join string) {
	t.Helper()
	addressOr := func(address string) string {
		if address != "" {
			return address
		}
		return fmt.Sprintf("127.0.0.%d:0", i+2)
	}
	n.process = program(t, "node", "--platform", platform, "--centre", fmt.Sprintf("c%d", i%3),
		"--callers", addressOr(n.addresses.Callers), "--peers", addressOr(n.addresses.Peers), "--operators", addressOr(n.addresses.Operators),
		"--join", join)
	n.process.Env = append(n.process.Env, "LOOM_SECRET="+strings.Repeat("s", 40))
	out, err := n.process.StdoutPipe()
	assert.NilError(t, err)
	assert.NilError(t, n.process.Start())
	t.Cleanup(n.kill)
	line, err := bufio.NewReader(out).ReadString('\n')
	assert.NilError(t, err)
	assert.NilError(t, json.Unmarshal([]byte(line), &n.addresses))
}

func (n *fleetNode) kill() {
	_ = n.process.Process.Kill()
	_ = n.process.Wait()
}

// rotatedKey is a key that was valid from one accepted change to the next.
type rotatedKey struct {
	key         string
	withdrawnAt time.Time
}

// rotator is an operator that repeatedly gives a team a new key and withdraws the
// old one.
type rotator struct {
	operator
	mutex       sync.Mutex
	rotatedKeys []rotatedKey
}

// rotate applies a new key, and then records since when the old one is withdrawn.
func (r *rotator) rotate(t *testing.T, n int) {
	key := fmt.Sprintf("demo-key-%s-%d", r.name, n)
	content := fmt.Sprintf("Teams: [{Name: %s, Rate: 100000, Burst: 100000, Keys: [%s]}]\n", r.name, keys.Hash(key))
	if !assert.Check(t, os.WriteFile(filepath.Join(r.dir, r.name+".yaml"), []byte(content), 0o600)) {
		return
	}
	if !assert.Check(t, r.apply(t, false)) {
		return
	}
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if last := len(r.rotatedKeys) - 1; last >= 0 {
		r.rotatedKeys[last].withdrawnAt = time.Now()
	}
	r.rotatedKeys = append(r.rotatedKeys, rotatedKey{key: key})
}

// withdrawn returns the newest key that no node may accept any more, or false if
// there is none.
func (r *rotator) withdrawn() (string, bool) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	for i := len(r.rotatedKeys) - 1; i >= 0; i-- {
		withdrawnAt := r.rotatedKeys[i].withdrawnAt
		if !withdrawnAt.IsZero() && time.Since(withdrawnAt) > inForceTimeout {
			return r.rotatedKeys[i].key, true
		}
	}
	return "", false
}

func (r *rotator) newest() string {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.rotatedKeys[len(r.rotatedKeys)-1].key
}

// requestReason sends a request with a key and returns the reason of its refusal.
// There is no target, so NoInstance means that the key was accepted. The result is
// empty if the node didn't respond or gave no reason.
func requestReason(t *testing.T, address, key string) string {
	request, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://"+address+"/probe", nil)
	if err != nil {
		return ""
	}
	request.Header.Set("Authorization", "Bearer "+key)
	client := http.Client{Timeout: requestTimeout}
	response, err := client.Do(request)
	if err != nil {
		return ""
	}
	defer func() { _ = response.Body.Close() }()
	var refusal struct{ Reason string }
	body, _ := io.ReadAll(response.Body)
	_ = json.Unmarshal(body, &refusal)
	return refusal.Reason
}

// probeResult is the outcome of probing one node.
type probeResult struct {
	refused  int
	accepted []string
	reverts  []string
}

// probeNode sends requests with withdrawn keys to one node, and reads its version,
// until stop is closed.
func probeNode(t *testing.T, callers, operators string, all []*rotator, stop chan struct{}) probeResult {
	var result probeResult
	highest := int64(0)
	for {
		select {
		case <-stop:
			return result
		case <-time.After(probeInterval):
		}
		for _, r := range all {
			key, ok := r.withdrawn()
			if !ok {
				continue
			}
			switch reason := requestReason(t, callers, key); reason {
			case "KeyUnknown":
				result.refused++
			case "", "NotInForce":
			default:
				result.accepted = append(result.accepted, key+" "+reason)
			}
		}
		version, ok := versionInForce(t, operators)
		if ok && version < highest {
			result.reverts = append(result.reverts, fmt.Sprintf("%d after %d", version, highest))
		}
		if ok {
			highest = max(highest, version)
		}
	}
}

// versionInForce returns the version in force at a node, or false if there is none.
func versionInForce(t *testing.T, operators string) (int64, bool) {
	request, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://"+operators+"/loom/state", nil)
	if err != nil {
		return 0, false
	}
	client := http.Client{Timeout: time.Second}
	response, err := client.Do(request)
	if err != nil {
		return 0, false
	}
	defer func() { _ = response.Body.Close() }()
	var state struct {
		Version int64
		InForce bool
	}
	err = json.NewDecoder(response.Body).Decode(&state)
	return state.Version, err == nil && state.InForce
}

// TestAcceptedChangeIsInForceAndNeverReverts rotates keys from two folders at the
// same time, while the platform loses responses, returns stale reads and has
// outages, and nodes are killed, replaced and frozen. No node may accept a key that
// was withdrawn more than five seconds ago.
func TestAcceptedChangeIsInForceAndNeverReverts(t *testing.T) {
	t.Parallel()
	platform := startPlatform(t)
	nodes := make([]*fleetNode, 4)
	for i := range nodes {
		nodes[i] = &fleetNode{}
		nodes[i].start(t, platform, i, nodes[0].addresses.Peers)
	}
	base := &operator{name: "base", dir: t.TempDir(), platform: platform, acceptedVersions: make(map[string]bool)}
	configuration := "Services: [{Name: s}]\nRoutes: [{Name: probe, Match: /probe, Service: s, Rank: Normal, Timeout: 300ms}]\n"
	assert.NilError(t, os.WriteFile(filepath.Join(base.dir, "base.yaml"), []byte(configuration), 0o600))
	assert.NilError(t, base.apply(t, false))
	all := []*rotator{newRotator(t, "ana", platform), newRotator(t, "bea", platform)}
	stop, results := make(chan struct{}), make([]probeResult, len(nodes))
	var probing sync.WaitGroup
	for i, n := range nodes {
		probing.Go(func() { results[i] = probeNode(t, n.addresses.Callers, n.addresses.Operators, all, stop) })
	}
	injectFaults(t, platform, nodes, all)
	setSwitches(t, platform, `{"OlderReadsMillis": 0, "LoseAnswers": 0}`)
	time.Sleep(inForceTimeout)
	for i, n := range nodes {
		for _, r := range all {
			assert.Check(t, cmp.Equal(requestReason(t, n.addresses.Callers, r.newest()), "NoInstance"), "node %d: %s", i, r.name)
		}
	}
	time.Sleep(time.Second)
	close(stop)
	probing.Wait()
	for i, r := range results {
		t.Logf("node %d: %d refusals of withdrawn keys", i, r.refused)
		assert.Check(t, len(r.accepted) == 0, "node %d accepted withdrawn keys: %s", i, r.accepted)
		assert.Check(t, len(r.reverts) == 0, "node %d reverted to older versions: %s", i, r.reverts)
		assert.Check(t, r.refused > 0)
	}
}

func newRotator(t *testing.T, name, platform string) *rotator {
	t.Helper()
	return &rotator{operator: operator{name: name, dir: t.TempDir(), platform: platform, acceptedVersions: make(map[string]bool)}}
}

// unfreeze resumes a frozen node, at which requests wait with keys that were
// withdrawn while it was frozen.
func unfreeze(t *testing.T, n *fleetNode, all []*rotator) {
	t.Helper()
	var requests sync.WaitGroup
	for range waitingRequests {
		for _, r := range all {
			key, ok := r.withdrawn()
			assert.Check(t, ok)
			requests.Go(func() {
				reason := requestReason(t, n.addresses.Callers, key)
				assert.Check(t, reason == "KeyUnknown" || reason == "NotInForce", "key %s at a resumed node: reason %q", key, reason)
			})
		}
	}
	time.Sleep(probeInterval)
	assert.Check(t, n.process.Process.Signal(syscall.SIGCONT))
	requests.Wait()
}

// injectFaults makes both operators rotate their keys at the same time, repeatedly.
// In round n, n%4 is the fault: 0 none, 1 a node is replaced, 2 a node is frozen, 3 a
// node is replaced in an outage of the platform.
func injectFaults(t *testing.T, platform string, nodes []*fleetNode, all []*rotator) {
	t.Helper()
	random := rand.New(rand.NewPCG(3, 3))
	replace := func(i int) {
		nodes[i].kill()
		nodes[i].start(t, platform, i, nodes[(i+1)%len(nodes)].addresses.Peers)
	}
	for n := range rotationCount {
		setSwitches(t, platform, fmt.Sprintf(`{"LoseAnswers": %d, "OlderReadsMillis": %d}`, random.IntN(3), random.IntN(400)))
		i := random.IntN(len(nodes))
		if n%4 == 2 {
			assert.Check(t, nodes[i].process.Process.Signal(syscall.SIGSTOP))
		}
		var rotating sync.WaitGroup
		for _, r := range all {
			rotating.Go(func() { r.rotate(t, n) })
		}
		if n%4 == 1 {
			replace(i)
		}
		rotating.Wait()
		switch n % 4 {
		case 2:
			time.Sleep(freezeDuration)
			unfreeze(t, nodes[i], all)
		case 3:
			// Long enough for the nodes to read the accepted version before
			// the outage.
			time.Sleep(1500 * time.Millisecond)
			setSwitches(t, platform, `{"Outage": true}`)
			replace(i)
			time.Sleep(outageDuration)
			setSwitches(t, platform, `{"Outage": false}`)
		}
	}
}
