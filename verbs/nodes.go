package verbs

import (
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"net/http"
	"slices"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"

	"bergamotloom.example/pause"
)

const (
	nodeTimeout      = time.Second
	nodePollInterval = 100 * time.Millisecond
	// maxConcurrentReads bounds the connections that are open at the same time.
	maxConcurrentReads = 32
	nodeStatePath      = "/loom/state"
)

// nodeState is the state of the configuration at one node.
type nodeState struct {
	address string
	version int64
	inForce bool
	err     error
}

// String returns the state in a readable form.
func (n nodeState) String() string {
	if n.err != nil {
		return fmt.Sprintf("node %s: not known (%v)", n.address, n.err)
	}
	if !n.inForce {
		return fmt.Sprintf("node %s: version %d, not in force yet", n.address, n.version)
	}
	return fmt.Sprintf("node %s: version %d", n.address, n.version)
}

// readNodes reads the states of all nodes from their operator ports.
func readNodes(ctx context.Context, addresses []string) []nodeState {
	states := make([]nodeState, len(addresses))
	group := &errgroup.Group{}
	group.SetLimit(maxConcurrentReads)
	for i, a := range addresses {
		group.Go(func() error {
			states[i] = readNode(ctx, a)
			return nil
		})
	}
	_ = group.Wait()
	return states
}

func readNode(ctx context.Context, address string) nodeState {
	ctx, cancel := context.WithTimeout(ctx, nodeTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+nodeStatePath, nil)
	if err != nil {
		return nodeState{address: address, err: errors.New("invalid address")}
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return nodeState{address: address, err: errors.New("no answer")}
	}
	defer func() { _ = response.Body.Close() }()
	var state struct {
		Version int64
		InForce bool
	}
	if err := json.NewDecoder(response.Body).Decode(&state); err != nil || response.StatusCode != http.StatusOK {
		return nodeState{address: address, err: errors.Errorf("status %d", response.StatusCode)}
	}
	return nodeState{address: address, version: state.Version, inForce: state.InForce}
}

// awaitNodes waits until the version, or a newer one, is in force at all nodes
// or ctx ends, and returns the nodes where it isn't.
func awaitNodes(ctx context.Context, addresses []string, version int64) []nodeState {
	for {
		pending := slices.DeleteFunc(readNodes(ctx, addresses), func(n nodeState) bool {
			return n.err == nil && n.inForce && n.version >= version
		})
		if len(pending) == 0 || !pause.For(ctx, nodePollInterval) {
			return pending
		}
	}
}

func sortedNames(contents map[string][]byte) []string {
	return slices.Sorted(maps.Keys(contents))
}
